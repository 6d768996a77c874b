package jobplacement

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// endStep is the relative difference below which two expected ends count as the same, so that the random order spreads the
// tasks of several entries over servers of the same kind.
const endStep = 0.1

// WithRunRatio returns the server with the learned ratio of the run time of the job's kind there to its usual one. It takes
// the place of the reported slowness, which contains it, unless that is far higher: then the server has turned slow, or the
// ratio is of this kind of job only, and the slowness counts as without a ratio. A ratio that is not positive is ignored.
func (s Server) WithRunRatio(ratio float64) Server {
	if ratio <= 0 {
		return s
	}

	s.learned = true

	if s.slowness < slowThreshold*ratio {
		s.slowness, s.usual = ratio, ratio
	}

	return s
}

// WithObjective returns the demand with the time that remains until the objective of the job, zero if there is none or it
// has passed.
func (d Demand) WithObjective(remaining time.Duration) Demand {
	d.remaining = remaining

	return d
}

// isUneven reports whether servers are known to differ. Otherwise the order is that of a uniform fleet.
func isUneven(servers []Server) bool {
	return slices.ContainsFunc(servers, func(s Server) bool { return s.learned })
}

// expectedEnd says when tasks of a job would end at a server.
type expectedEnd struct {
	// rank separates the servers that are used only when those of a lower rank are full.
	rank float64
	// late is true if the tasks would end after the objective.
	late bool
	// step is the logarithm of the run time, in units of endStep.
	step float64
	// draw is the random order weighted by free capacity.
	draw float64
}

// orderByEnd orders servers by their rank, whether the tasks would be late there, and their expected end. Servers with the
// same end keep the random order.
func (d Demand) orderByEnd(servers []Server) {
	for i := range servers {
		s := &servers[i]
		run := float64(max(d.runTime, time.Millisecond)) * max(minSlowness, s.slowness*s.slowdown)
		s.end.late = d.remaining > 0 && run > float64(d.remaining)
		s.end.step = math.Round(math.Log(run) / endStep)
		s.end.rank = s.rankOffset()

		if d.prefers(*s) {
			s.end.rank -= preferredOffset
		}
	}

	slices.SortFunc(servers, func(a, b Server) int {
		return cmp.Or(cmp.Compare(a.end.rank, b.end.rank), compareBool(a.end.late, b.end.late),
			cmp.Compare(a.end.step, b.end.step), cmp.Compare(b.end.draw, a.end.draw))
	})

	d.leaveFaster(servers)
}

// leaveFaster moves the servers that are as slow as the slowest one that the job needs to the front: the job ends no earlier
// with the faster ones, which are left to other jobs. Servers that are slow because of what runs there stay behind.
func (d Demand) leaveFaster(servers []Server) {
	remaining := d.tasks

	for _, slowest := range servers {
		if remaining -= slowest.freeTasks; remaining > 0 {
			continue
		}

		isAsSlow := func(s Server) bool { return s.slowdown <= 1 && s.end.isSameAs(slowest.end) }

		slices.SortStableFunc(servers, func(a, b Server) int { return compareBool(!isAsSlow(a), !isAsSlow(b)) })

		return
	}
}

// isSameAs reports whether tasks are expected to end as at another server, apart from the random order.
func (e expectedEnd) isSameAs(other expectedEnd) bool {
	return e.rank == other.rank && e.late == other.late && e.step == other.step
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	default:
		return -1
	}
}
