package repeatable

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
	"github.com/skylarkweir/skylarkweir/weir/process/interference"
	"github.com/skylarkweir/skylarkweir/weir/request/job"
)

// SeparateKinds makes the dispatcher learn which kinds slow each other down at one backend server, and keep them apart
// where there is room. The model is what is known so far; the dispatcher changes it from then on. It has to be called before
// the first job.
func (d *Dispatcher) SeparateKinds(m *interference.Model) {
	d.mu.Lock()
	defer d.mu.Unlock()

	d.interference = m
}

// InterferingPairs returns the pairs of kinds that are kept apart, none without SeparateKinds.
func (d *Dispatcher) InterferingPairs() []interference.Pair {
	d.mu.Lock()
	defer d.mu.Unlock()

	if d.interference == nil {
		return nil
	}

	return d.interference.Pairs()
}

// ModelledKinds returns the number of kinds whose interference is learned.
func (d *Dispatcher) ModelledKinds() int {
	d.mu.Lock()
	defer d.mu.Unlock()

	return d.interference.Kinds()
}

// observedTask is the index of the task of the job whose run time the model of interference learns from. It is chosen
// before the tasks run, since the ones that end first are the short ones.
func (a *activeJob) observedTask() uint32 { return uint32(a.number % uint64(len(a.placements))) }

// observeInterference learns from a task that is done. The entry may be told of one whose sidecar does not tell what ran
// beside it: its load is zero.
func (a *activeJob) observeInterference(s *sidecar, m *wire.Ended, now time.Duration) {
	model := a.dispatcher.interference
	if model == nil || m.GetIndex() != a.observedTask() || m.GetLoadPermille() == 0 {
		return
	}

	neighbours := make([]interference.Neighbour, 0, len(m.GetNeighbours()))
	for _, n := range m.GetNeighbours() {
		neighbours = append(neighbours, interference.NewNeighbour(n.GetKind(), float64(n.GetSharePermille())/1000))
	}

	model.Observe(interference.NewObservation(
		a.job.Policy().Kind(), s.name, time.Duration(m.GetRunMs())*time.Millisecond,
		interference.NewSurroundings(float64(m.GetLoadPermille())/1000, neighbours),
	), now)
}

// slowdown returns the factor by which run times grow if a task of the job starts at the backend server of a sidecar, 1 if
// none is known.
func (d *Dispatcher) slowdown(j job.Job, s *sidecar) float64 {
	if d.interference == nil {
		return 1
	}

	return d.interference.Slowdown(j.Policy().Kind(), s.report.GetRunningKinds())
}

// advanceInterference learns from the latest run times and logs which pairs of kinds were taken up or dropped.
func (d *Dispatcher) advanceInterference(now time.Duration) {
	if d.interference == nil {
		return
	}

	for _, c := range d.interference.Advance(now) {
		if c.Added() {
			describePair(d.log.Info().Str("event", "interference_found"), c, now).
				Msg("tasks of a kind run longer beside another kind; they are kept apart where there is room")
		} else {
			describePair(d.log.Info().Str("event", "interference_dropped"), c, now).
				Msg("a pair of kinds is no longer kept apart")
		}
	}
}

func describePair(line *zerolog.Event, c interference.Change, now time.Duration) *zerolog.Event {
	p := c.Pair()

	return line.Str("kind", p.Kind()).Str("beside", p.Beside()).Str("reason", string(c.Reason())).
		Float64("factor", p.Factor()).Float64("score", p.Score()).Int("tasks", p.Tasks()).Dur("in_force", now-p.Since())
}
