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
type randomIterator struct {
	workers   []*fleet.Worker
	index     int
	stride    int
	remaining int
}

func newRandomIterator(workers []*fleet.Worker, random *rand.Rand) randomIterator {
	n := len(workers)
	if n == 0 {
		return randomIterator{}
	}

	// A step without a common divisor visits each worker once.
	step := 1 + random.IntN(n)
	for gcd(step, n) != 1 {
		step = 1 + random.IntN(n)
	}

	return randomIterator{workers: workers, index: random.IntN(n), stride: step, remaining: n}
}

func (p *randomIterator) next() *fleet.Worker {
	if p.remaining == 0 {
		return nil
	}

	w := p.workers[p.index]
	p.index = (p.index + p.stride) % len(p.workers)
	p.remaining--

	return w
}

func gcd(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}

	return a
}
