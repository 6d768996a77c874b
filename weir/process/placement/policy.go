package placement

import (
	"math/rand/v2"

	"github.com/skylarkweir/skylarkweir/weir/process/fleet"
)

// Policy is one of Random, TwoChoices and JoinIdleQueue. A nil Policy is TwoChoices.
type Policy interface {
	policy()
}

// Random takes any candidate that has room.
type Random struct{}

// TwoChoices compares two random candidates and takes the less loaded one. If neither can start the task at once, it
// scans the others.
type TwoChoices struct{}

// JoinIdleQueue takes any candidate that has free slots by its report, and any with room if there is none.
type JoinIdleQueue struct{}

func (Random) policy()        {}
func (TwoChoices) policy()    {}
func (JoinIdleQueue) policy() {}

// picker visits workers in random order without allocating.
type picker struct {
	workers []*fleet.Worker
	at      int
	step    int
	left    int
}

func newPicker(workers []*fleet.Worker, random *rand.Rand) picker {
	n := len(workers)
	if n == 0 {
		return picker{}
	}

	// A step without a common divisor visits each worker once.
	step := 1 + random.IntN(n)
	for gcd(step, n) != 1 {
		step = 1 + random.IntN(n)
	}

	return picker{workers: workers, at: random.IntN(n), step: step, left: n}
}

func (p *picker) next() *fleet.Worker {
	if p.left == 0 {
		return nil
	}

	w := p.workers[p.at]
	p.at = (p.at + p.step) % len(p.workers)
	p.left--

	return w
}

func gcd(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}

	return a
}
