package caller

import (
	"context"

	"github.com/skylarkweir/skylarkweir/weir/request/fault"
)

// Slots bounds how many requests are decoded and decided at once.
type ConcurrencyLimiter struct{ inUse chan struct{} }

// NewSlots returns n slots.
func NewConcurrencyLimiter(n int) *ConcurrencyLimiter {
	return &ConcurrencyLimiter{make(chan struct{}, n)}
}

// Acquire waits for a slot until the context ends.
func (s *ConcurrencyLimiter) Acquire(ctx context.Context) error {
	select {
	case s.inUse <- struct{}{}:
		return nil
	default:
	}

	select {
	case s.inUse <- struct{}{}:
		return nil
	case <-ctx.Done():
		return fault.Wrap(fault.Overloaded, ctx.Err(), "no slot became free")
	}
}

// Release gives a slot back.
func (s *ConcurrencyLimiter) Release() { <-s.inUse }

// Used returns the number of slots in use.
func (s *ConcurrencyLimiter) InUse() int { return len(s.inUse) }
