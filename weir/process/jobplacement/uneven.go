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

// orderByEnd orders servers by their rank, whether the tasks would be late there, and their expected end. Servers with the
// same end keep the random order.
func (d Demand) orderByEnd(servers []Server) {
	for i := range servers {
		s := &servers[i]
		run := float64(max(d.runTime, time.Millisecond)) * s.runRatio()
		s.late = d.remaining > 0 && run > float64(d.remaining)
		s.step = math.Round(math.Log(run) / endStep)
	}

	slices.SortFunc(servers, func(a, b Server) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), compareBool(a.late, b.late), cmp.Compare(a.step, b.step),
			cmp.Compare(b.score, a.score))
	})

	d.leaveFaster(servers)
}

// leaveFaster moves the servers that are as slow as the slowest one that the job needs to the front: the job ends no earlier
// with the faster ones, which are left to other jobs.
func (d Demand) leaveFaster(servers []Server) {
	remaining := d.tasks

	for _, slowest := range servers {
		if remaining -= slowest.freeTasks; remaining > 0 {
			continue
		}

		slices.SortStableFunc(servers, func(a, b Server) int {
			return compareBool(!a.endsWith(slowest), !b.endsWith(slowest))
		})

		return
	}
}

// endsWith reports whether tasks at the server are expected to end as those at another one.
func (s Server) endsWith(other Server) bool {
	return s.rank == other.rank && s.late == other.late && s.step == other.step
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
