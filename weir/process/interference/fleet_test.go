package interference_test

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/skylarkweir/skylarkweir/weir/process/interference"
)

// kindSpec is a kind of a synthetic load: tasks per second at each server, the median run time, and the mean time for which
// it is absent between bursts that last as long, zero without bursts.
type kindSpec struct {
	name   string
	rate   float64
	median time.Duration
	pause  time.Duration
}

// fleet is a synthetic fleet. Tasks run slower by a factor at each server and beside other kinds, and up to twice as long
// as its CPU fills up. One task in thirty lasts seven times as long as usual.
type fleet struct {
	servers  int
	slots    int
	kinds    []kindSpec
	duration time.Duration
	// pace is the factor of run times of a kind at a server at a time, nil for 1.
	pace func(server int, kind string, at time.Duration) float64
	// share is the part of the rate of a kind at a server at a time, nil for 1.
	share func(server int, kind string, at time.Duration) float64
	// effect is the factor of the run times of a kind beside another one, nil for 1.
	effect func(kind, beside string, at time.Duration) float64
}

// kinds are those of a usual load: some arrive in bursts, so that they come with a high load.
func kinds() []kindSpec {
	return []kindSpec{
		{"a", 1.2, 150 * time.Millisecond, 0}, {"b", 0.6, 400 * time.Millisecond, 2 * time.Second},
		{"c", 2, 60 * time.Millisecond, 0}, {"d", 0.5, 500 * time.Millisecond, 3 * time.Second},
	}
}

func usualFleet() fleet {
	return fleet{
		servers: 8, slots: 6, kinds: kinds(), duration: 100 * time.Second,
		pace: func(server int, _ string, _ time.Duration) float64 { return []float64{0.7, 1, 1, 1.7}[server%4] },
	}
}

// timed is an observation at the end of its task.
type timed struct {
	at  time.Duration
	obs interference.Observation
}

type runningTask struct {
	kind    kindSpec
	mark    interference.Mark
	started time.Duration
	// left is the run time that remains without other tasks.
	left float64
}

// run returns the observations of the fleet in the order of their ends.
func (f fleet) run(seed uint64) []timed {
	var all []timed

	for n := range f.servers {
		all = append(all, f.runServer(n, rand.New(rand.NewPCG(seed, uint64(n))))...)
	}

	slices.SortStableFunc(all, func(a, b timed) int { return cmp.Compare(a.at, b.at) })

	return all
}

func (f fleet) runServer(n int, random *rand.Rand) []timed {
	var (
		occupancy interference.Occupancy
		running   []*runningTask
		ended     []timed
		now       time.Duration
	)

	arrivals := f.arrivals(n, random)

	for len(arrivals) > 0 {
		next, index := arrivals[0].at, -1

		for i, t := range running {
			if end := now + time.Duration(t.left*f.slowness(n, t, running, now)); end < next {
				next, index = end, i
			}
		}

		for _, t := range running {
			t.left -= float64(next-now) / f.slowness(n, t, running, now)
		}

		now = next

		if index < 0 {
			if len(running) < f.slots {
				k := arrivals[0].kind
				left := float64(k.median) * math.Exp(0.4*random.NormFloat64())

				if random.IntN(30) == 0 {
					left *= 7
				}

				running = append(running, &runningTask{k, occupancy.Start(k.name, 1000, now), now, left})
			}

			arrivals = arrivals[1:]

			continue
		}

		t := running[index]
		running = slices.Delete(running, index, index+1)
		s := occupancy.End(t.mark, int64(f.slots)*1000, now)
		ended = append(ended, timed{now, interference.NewObservation(t.kind.name, "server-"+strconv.Itoa(n), now-t.started, s)})
	}

	return ended
}

// slowness is the factor of the run time of a task at present.
func (f fleet) slowness(n int, t *runningTask, running []*runningTask, now time.Duration) float64 {
	x := 1 + max(0, 2*(float64(len(running))/float64(f.slots)-0.5))

	if f.pace != nil {
		x *= f.pace(n, t.kind.name, now)
	}

	seen := map[string]bool{}

	for _, other := range running {
		if f.effect != nil && other != t && !seen[other.kind.name] {
			seen[other.kind.name] = true
			x *= f.effect(t.kind.name, other.kind.name, now)
		}
	}

	return x
}

type arrivalOf struct {
	at   time.Duration
	kind kindSpec
}

func (f fleet) arrivals(n int, random *rand.Rand) []arrivalOf {
	var all []arrivalOf

	for _, k := range f.kinds {
		present, until := true, time.Duration(math.MaxInt64)
		if k.pause > 0 {
			until = time.Duration(random.ExpFloat64() * float64(k.pause))
		}

		for at := time.Duration(0); at < f.duration; {
			at += time.Duration(random.ExpFloat64() / k.rate / 2 * float64(time.Second))

			for at > until {
				present = !present
				until += time.Duration(random.ExpFloat64() * float64(k.pause))
			}

			share := 0.5
			if k.pause > 0 {
				share = 1
			}

			if f.share != nil {
				share *= f.share(n, k.name, at)
			}

			if present && random.Float64() < share {
				all = append(all, arrivalOf{at, k})
			}
		}
	}

	slices.SortStableFunc(all, func(a, b arrivalOf) int { return cmp.Compare(a.at, b.at) })

	return all
}

// learned feeds a model with the observations of a fleet, and returns it with the changes of pairs.
func learned(f fleet, seed uint64) (*interference.Model, []changeAt) {
	var changes []changeAt

	m := &interference.Model{}

	for _, o := range f.run(seed) {
		m.Observe(o.obs, o.at)

		for _, c := range m.Advance(o.at) {
			changes = append(changes, changeAt{o.at, c})
		}
	}

	return m, changes
}

type changeAt struct {
	at time.Duration
	interference.Change
}

// plantedFactor is the factor of run times of kind a beside kind b where a pair is planted.
const plantedFactor = 1.8

func planted(kind, beside string, _ time.Duration) float64 {
	if kind == "a" && beside == "b" {
		return plantedFactor
	}

	return 1
}
