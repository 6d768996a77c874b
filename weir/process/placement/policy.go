package placement

import (
	"math/rand/v2"

	"github.com/skylarkweir/skylarkweir/weir/process/fleet"
)

// Policy is Random, TwoChoices or JoinIdleQueue. A nil Policy means TwoChoices.
type Policy interface {
	policy()
}

// Random chooses any candidate that has free slots or whose run queue accepts the task.
type Random struct{}

// TwoChoices chooses the less loaded of two random candidates. If neither can start the task at once, it scans the
// others.
type TwoChoices struct{}

// JoinIdleQueue chooses any candidate that is estimated to have free slots. If there is none, it chooses any candidate
// whose run queue accepts the task.
type JoinIdleQueue struct{}

func (Random) policy()        {}
func (TwoChoices) policy()    {}
func (JoinIdleQueue) policy() {}

// randomIterator returns each worker once, in random order and without allocation.
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

	// A stride that is coprime to the number of workers visits each of them once.
	stride := 1 + random.IntN(n)
	for gcd(stride, n) != 1 {
		stride = 1 + random.IntN(n)
	}

	return randomIterator{workers: workers, index: random.IntN(n), stride: stride, remaining: n}
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
