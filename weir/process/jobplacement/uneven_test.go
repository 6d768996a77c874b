package jobplacement_test

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/skylarkweir/skylarkweir/weir/process/jobplacement"
	"github.com/skylarkweir/skylarkweir/weir/request/job"
)

func speeds(n int) (speed, size float64, label string) {
	if n%3 == 0 {
		return 1.7, 1, "fast"
	}

	return 0.7, 1, "slow"
}

func uniform(int) (speed, size float64, label string) { return 1, 1, "same" }

func sizes(n int) (speed, size float64, label string) {
	return 1, 1 + 0.5*float64(n%3/2), fmt.Sprint("size-", n%3/2)
}

// Guards against other decisions or random draws than before run ratios existed, where none is known. The hash is that of
// 1000 plans and the next random number with the code of that time.
func TestUniformFleetDecidesAsBefore(t *testing.T) {
	is := is.New(t)
	h := fnv.New64a()
	r := rand.New(rand.NewPCG(11, 5))

	for range 1000 {
		var servers []jobplacement.Server

		for id := range r.Uint64N(20) + 1 {
			s := newServer(id, r.Int64N(11), r.Int64N(30), 0.5+2*r.Float64(), fmt.Sprint("label-", id%3)).WithPlaced(int(id % 2))
			if id%7 == 6 {
				s = s.AsLastResort()
			}

			servers = append(servers, s)
		}

		d := newDemand(1+r.IntN(12), job.NewConstraints("", "label-1", r.IntN(4))).WithObjective(100 * time.Millisecond)
		p := jobplacement.Choose(d, servers, r)
		requests := slices.Clone(p.Requests())

		slices.SortFunc(requests, func(a, b jobplacement.Request) int { return cmp.Compare(a.ID(), b.ID()) })
		fmt.Fprint(h, requests, p.Shortfall(), p.NeededShare(4, 1))
	}

	fmt.Fprint(h, r.Uint64())
	is.Equal(h.Sum64(), uint64(0x2a00858088cea734))
}

// Guards against ratios that are learned where only the sizes differ, or on a uniform fleet, and change decisions: the
// whole replay must be the same with and without learning.
func TestReplayWithoutDifferencesIsTheSame(t *testing.T) {
	is := is.New(t)

	for _, fleet := range []func(int) (float64, float64, string){uniform, sizes} {
		today, learning := newReplay(1, false, fullFleet, fleet), newReplay(1, true, fullFleet, fleet)
		today.run(3 * time.Second)
		learning.run(3 * time.Second)
		is.Equal(learning.starts(), today.starts())
		is.Equal(learning.took, today.took)
	}
}

// Guards against wide jobs that end with a task on a slow server which could have run on a faster one.
func TestReplayOfUnevenSpeeds(t *testing.T) {
	is := is.New(t)
	today, learning := newReplay(1, false, fullFleet, speeds), newReplay(1, true, fullFleet, speeds)

	for _, r := range []*replay{today, learning} {
		r.recordFrom = 3 * time.Second
		r.run(8 * time.Second)
	}

	// The least urgent kind gets fewer of the fast servers than before.
	for p, bound := range []time.Duration{95, 100, 105} {
		before, _ := today.result(p)
		mean, late := learning.result(p)
		t.Log(before, mean, late)
		is.True(mean < before*bound/100)
		is.True(late <= len(learning.took[p])/200)
	}
}

// Guards against a server that turned slow and is used on, and against one that has recovered and isn't used again.
func TestReplayOfServerThatTurnsSlow(t *testing.T) {
	is := is.New(t)

	// The starts at one server vary with the long tasks that it gets, so they are summed over several seeds.
	var fleets []*replay
	for seed := range uint64(10) {
		fleets = append(fleets, newReplay(seed, true, 20, uniform))
	}

	// phase returns the starts at the server and the mean over all servers.
	phase := func(speed float64, settle time.Duration) (starts, mean int) {
		for _, r := range fleets {
			r.servers[0].speed = speed
			r.run(settle)

			before := r.starts()
			r.run(3 * time.Second)
			after := r.starts()

			for n := range after {
				mean += (after[n] - before[n]) / len(before)
			}

			starts += after[0] - before[0]
		}

		t.Log(speed, starts, mean)

		return starts, mean
	}

	starts, mean := phase(1, 3*time.Second)
	is.True(starts > mean/2)

	starts, mean = phase(1.0/4, 3*time.Second)
	is.True(starts < mean/4)

	starts, mean = phase(1, 30*time.Second)
	is.True(starts > mean/2)
}

// Guards against a server of a slow kind that is avoided like one that has turned slow, against a learned ratio that hides
// that, and against a ratio that counts for nothing.
func TestRunRatioAndSlowness(t *testing.T) {
	is := is.New(t)
	chosen := func(a, b jobplacement.Server) uint64 {
		return jobplacement.Choose(newDemand(1, job.Constraints{}), []jobplacement.Server{a, b}, random()).Requests()[0].ID()
	}

	is.Equal(chosen(newServer(1, 9, 0, 2.3).WithRunRatio(2.2), newServer(2, 9, 0, 2)), uint64(1))
	is.Equal(chosen(newServer(1, 9, 0, 3).WithRunRatio(0.6), newServer(2, 9, 0, 1).WithRunRatio(1.3)), uint64(2))
	is.Equal(chosen(newServer(1, 9, 0, 1.1).WithRunRatio(0.6), newServer(2, 9, 0, 1).WithRunRatio(1.3)), uint64(1))
}

// Guards against tasks that wait for a faster server while a slower one is free, also where they are late, which left
// granted capacity idle for a round trip; against a queue at full servers that counts neither their run times nor what is
// outstanding already.
func TestFreeServersComeBeforeFullFasterOnes(t *testing.T) {
	is := is.New(t)
	choose := func(free, queued int64, outstanding int) map[uint64]int {
		d := newDemand(1, job.Constraints{}).WithObjective(100 * time.Millisecond).WithOutstanding(outstanding)

		return requestedTasks(jobplacement.Choose(d, []jobplacement.Server{
			newServer(1, free, 0, 1).WithRunRatio(2.4), newServer(2, 0, 10, 1).WithRunRatio(0.8),
			newServer(3, 0, queued, 1).WithRunRatio(0.8),
		}, random()))
	}

	is.Equal(choose(10, 10, 0), map[uint64]int{1: 1})
	is.Equal(choose(0, 10, 0), map[uint64]int{2: 1, 3: 1})
	is.Equal(choose(0, 30, 0), map[uint64]int{1: 1, 2: 1})
	is.Equal(choose(0, 10, 2), map[uint64]int{})
}

// Guards against fast servers that are used beside a slow one which decides the end of the job, unless that is slow because
// of what runs there, and against a task that is
// late at one of several servers with about the same run time.
func TestFastCapacityAndObjective(t *testing.T) {
	is := is.New(t)
	p := jobplacement.Choose(newDemand(8, job.Constraints{}), []jobplacement.Server{
		newServer(1, 10, 0, 1).WithRunRatio(1.2), newServer(2, 5, 0, 1).WithRunRatio(0.5),
	}, random())
	is.Equal(requestedTasks(p), map[uint64]int{1: 8})

	p = jobplacement.Choose(newDemand(8, job.Constraints{}), []jobplacement.Server{
		newServer(1, 10, 0, 1).WithRunRatio(1.2).WithSlowdown(1.3), newServer(2, 5, 0, 1).WithRunRatio(0.5),
	}, random())
	is.Equal(requestedTasks(p), map[uint64]int{1: 3, 2: 5})

	for id := range uint64(20) { // the random order is by server
		servers := make([]jobplacement.Server, 20)
		for n := range servers {
			servers[n] = newServer(uint64(n), 4, 0, 1).WithRunRatio(1.02)
		}

		servers[id] = servers[id].WithRunRatio(1)
		d := jobplacement.NewDemand(1, job.NewSize(core, 1), job.Constraints{}, 200*time.Millisecond)
		p := jobplacement.Choose(d.WithObjective(201*time.Millisecond), servers, random())
		is.Equal(requestedTasks(p), map[uint64]int{id: 1})
	}
}

// BenchmarkChoose compares a plan for 8 tasks at 70 servers without and with known run ratios.
func BenchmarkChoose(b *testing.B) {
	for name, uneven := range map[string]bool{"uniform": false, "uneven": true} {
		b.Run(name, func(b *testing.B) {
			source := random()
			d := newDemand(8, job.Constraints{}).WithObjective(500 * time.Millisecond)

			for b.Loop() {
				servers := make([]jobplacement.Server, 0, 70)

				for id := range uint64(70) {
					s := newServer(id, int64(id%4), 2, 1)
					if uneven {
						s = s.WithRunRatio(0.5 + float64(id%2))
					}

					servers = append(servers, s)
				}

				jobplacement.Choose(d, servers, source)
			}
		})
	}
}
