package repeatable

import (
	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
	"github.com/skylarkweir/skylarkweir/weir/process/interference"
	"github.com/skylarkweir/skylarkweir/weir/process/uptime"
)

// neighbourRecorder records what runs beside each task while an entry asks for it. It changes under the worker's mutex.
type neighbourRecorder struct {
	occupancy interference.Occupancy
	// askers is the number of sessions with entries that have asked.
	askers int
}

// ask records that the entry of a session asks for what runs beside its tasks.
func (r *neighbourRecorder) ask(s *entrySession) {
	if !s.wantsNeighbours {
		s.wantsNeighbours = true
		r.askers++
	}
}

// endSession records that a session has ended.
func (r *neighbourRecorder) endSession(s *entrySession) {
	if s.wantsNeighbours {
		s.wantsNeighbours = false
		r.askers--
	}
}

// begin records the start of a task.
func (r *neighbourRecorder) begin(t *task) {
	if r.askers > 0 {
		m := r.occupancy.Start(t.kind, t.size.Millicores(), uptime.Now())
		t.mark = &m
	}
}

// end records the end of a task, and keeps what ran beside it for the report.
func (r *neighbourRecorder) end(t *task, capacity int64) {
	if t.mark != nil {
		t.surroundings = r.occupancy.End(*t.mark, capacity, uptime.Now())
		t.mark = nil
	}
}

// runningKinds returns the kinds of the running tasks, none if no entry asks.
func (r *neighbourRecorder) runningKinds() []string {
	if r.askers == 0 {
		return nil
	}

	return r.occupancy.Running()
}

// describeNeighbours adds what ran beside a task that is done to the report of its end, if the entry has asked.
func (s *entrySession) describeNeighbours(m *wire.Ended, t *task) {
	if !s.wantsNeighbours || m.GetResult() != wire.Result_RESULT_DONE {
		return
	}

	all := make([]*wire.Neighbour, 0, len(t.surroundings.Neighbours()))
	for _, n := range t.surroundings.Neighbours() {
		all = append(all, wire.Neighbour_builder{Kind: n.Kind(), SharePermille: permille(n.Share())}.Build())
	}

	m.SetNeighbours(all)
	m.SetLoadPermille(permille(t.surroundings.Load()))
}

func permille(share float64) uint32 { return uint32(1000*share + 0.5) }
