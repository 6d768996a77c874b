package emulator

import (
	"slices"
	"strconv"
	"time"

	"github.com/skylarkweir/skylarkweir/weir/process/interference"
)

// advancePairsInterval is how often entries learn from the latest run times, as a dispatcher does.
const advancePairsInterval = 50 * time.Millisecond

// pairLoad makes the tasks of a kind run longer while tasks of another kind run at the same server. The zero value has no
// pair.
type pairLoad struct {
	kind, beside int
	factor       float64
}

// WithPair returns the load with tasks of a kind, counted from zero, that run factor times as long while a task of another
// kind runs at the same server.
func (l Load) WithPair(kind, beside int, factor float64) Load {
	l.pair = pairLoad{kind, beside, factor}

	return l
}

// Pair is a load whose tasks of the kind lookup run twice as long beside those of the kind scan. The fleet has room to keep
// them apart: the traffic uses about half of it.
func Pair(d time.Duration) Load {
	return SmallDeployment(0.55, 1, 1).WithDuration(d).WithPair(1, 2, 2)
}

// PairChange is a pair of kinds that an entry took up or dropped.
type PairChange struct {
	interference.Change

	entry int
	at    time.Duration
}

// Entry returns the number of the entry.
func (c PairChange) Entry() int { return c.entry }

// At returns the time since the start.
func (c PairChange) At() time.Duration { return c.at }

// PairChanges returns the pairs of kinds that entries took up or dropped, in order.
func (r Result) PairChanges() []PairChange { return r.pairChanges }

// Beside reports whether a task of the job ran beside the kind that slows it down, for at least half of its run time.
func (j JobResult) Beside() bool { return j.beside }

// progress is the progress of a task whose speed depends on what runs beside it.
type progress struct {
	mark interference.Mark
	// left is the run time without the other kind that remains at the time at, rate how fast it passes.
	left time.Duration
	at   time.Duration
	rate float64
	// scheduled counts the ends that were scheduled; only the last one is valid.
	scheduled int
	end       func(runTime time.Duration)
}

// run calls end with the run time of a task that has started, when it ends.
func (sm *simulation) run(n int, t *task, runTime time.Duration, end func(runTime time.Duration)) {
	if sm.load.pair.factor == 0 {
		sm.scheduleAfter(runTime, func() { end(runTime) })

		return
	}

	s := sm.servers[n]
	t.progress = progress{
		mark: s.occupancy.Start(t.activeJob.job.Policy().Kind(), t.activeJob.job.Size().Millicores(), sm.now),
		left: runTime, at: sm.now, end: end,
	}
	s.sharing = append(s.sharing, t)
	sm.updateProgress(n)
}

// updateProgress schedules the ends of the tasks anew whose speed has changed.
func (sm *simulation) updateProgress(n int) {
	pair, s := sm.load.pair, sm.servers[n]
	disturbed := slices.ContainsFunc(s.sharing, func(t *task) bool { return t.activeJob.kind == pair.beside })

	for _, t := range s.sharing {
		rate := 1.0
		if disturbed && t.activeJob.kind == pair.kind {
			rate = 1 / pair.factor
		}

		p := &t.progress
		if p.rate == rate {
			continue
		}

		p.left -= time.Duration(float64(sm.now-p.at) * p.rate)
		p.at, p.rate = sm.now, rate
		p.scheduled++
		scheduled := p.scheduled

		sm.scheduleAfter(time.Duration(float64(p.left)/rate), func() {
			if p.scheduled == scheduled {
				sm.endShared(n, t)
			}
		})
	}
}

// endShared ends a task at a server with what ran beside it.
func (sm *simulation) endShared(n int, t *task) {
	s, j := sm.servers[n], t.activeJob
	s.sharing = slices.DeleteFunc(s.sharing, func(other *task) bool { return other == t })
	around := s.occupancy.End(t.progress.mark, s.capacity.Millicores(), sm.now)
	runTime := sm.now - t.startedAt

	for _, neighbour := range around.Neighbours() {
		if j.kind == sm.load.pair.kind && neighbour.Kind() == sm.load.kinds[sm.load.pair.beside].name && neighbour.Share() >= 0.5 {
			j.beside = true
		}
	}

	// One task of each job is observed, as at the product's entries.
	if e := sm.entries[j.entry]; e.pairs != nil && t.index == int(j.number)%len(j.runTimes) {
		o := interference.NewObservation(j.job.Policy().Kind(), s.name, runTime.Truncate(time.Millisecond), around)
		sm.scheduleAfter(sm.load.messageDelay, func() { e.pairs.Observe(o, sm.now) })
	}

	t.progress.end(runTime)
	sm.updateProgress(n)
}

func newPairs(r Rule) *interference.Model {
	if _, separating := r.(Separating); separating {
		return &interference.Model{}
	}

	return nil
}

// slowdown returns the factor by which run times grow if a task of the job starts at a server, as far as the entry knows.
func (e *entry) slowdown(j *activeJob, r report) float64 {
	if e.pairs == nil {
		return 1
	}

	return e.pairs.Slowdown(j.job.Policy().Kind(), r.runningKinds)
}

// advancePairs lets the entries learn from the latest run times.
func (sm *simulation) advancePairs() {
	for n, e := range sm.entries {
		if e.pairs == nil {
			return
		}

		for _, c := range e.pairs.Advance(sm.now) {
			sm.pairChanges = append(sm.pairChanges, PairChange{c, n, sm.now})
		}
	}

	if sm.now < sm.load.duration {
		sm.scheduleAfter(advancePairsInterval, sm.advancePairs)
	}
}

// String names the pair and what happened to it.
func (c PairChange) String() string {
	return "entry " + strconv.Itoa(c.entry) + ": " + c.Pair().Kind() + " beside " + c.Pair().Beside() + " " +
		string(c.Reason()) + " at " + c.at.Round(time.Millisecond).String() + ", factor " +
		strconv.FormatFloat(c.Pair().Factor(), 'f', 2, 64)
}
