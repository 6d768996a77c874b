package reservation

import (
	"math"

	"github.com/skylarkweir/skylarkweir/weir/request/job"
)

// coldLimits restrict new reservations while the backend server is cold. What is reserved, launched or runs already keeps
// its capacity. The zero value restricts nothing.
type coldLimits struct {
	// withheld is the part of the capacity that is not used.
	withheld job.Size
	// starts is the number of tasks that may have a reservation, if it is limited.
	starts       int
	limitsStarts bool
}

// Withhold leaves a part of the capacity unused by new reservations. An idle backend server still accepts one task.
func (p *Pool) Withhold(s job.Size) { p.limits = coldLimits{withheld: s} }

// LimitStarts limits the number of tasks that may have a reservation and have not been launched.
func (p *Pool) LimitStarts(n int) { p.limits = coldLimits{starts: max(0, n), limitsStarts: true} }

// LiftLimits ends what Withhold or LimitStarts has set.
func (p *Pool) LiftLimits() { p.limits = coldLimits{} }

// usable returns the capacity without what is withheld.
func (p *Pool) usable() job.Size { return p.capacity.Minus(p.limits.withheld) }

// startsToReserve returns how many more tasks may be reserved.
func (p *Pool) startsToReserve() int {
	if !p.limits.limitsStarts {
		return math.MaxInt
	}

	return max(0, p.limits.starts-p.reservedTasks())
}

func (p *Pool) reservedTasks() int {
	n := 0
	for _, h := range p.reserved {
		n += h.tasks
	}

	return n
}

// StartsLeft returns how many more tasks may be reserved, and false if that is not limited.
func (p *Pool) StartsLeft() (int, bool) { return p.startsToReserve(), p.limits.limitsStarts }

// ExceedsLimits reports whether more is allocated, or more tasks are reserved, than a cold backend server may have.
func (p *Pool) ExceedsLimits() bool {
	if p.limits.limitsStarts {
		return p.reservedTasks() > p.limits.starts
	}

	limit, withheld := p.usable(), p.limits.withheld != (job.Size{})

	return withheld && (p.allocated.Millicores() > limit.Millicores() || p.allocated.MemoryMB() > limit.MemoryMB())
}
