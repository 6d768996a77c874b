package caller

import (
	"context"

	"github.com/skylarkweir/skylarkweir/weir/request/fault"
)

// Slots bounds how many requests are decoded and decided at once.
type Slots struct{ free chan struct{} }

// NewSlots returns n slots.
func NewSlots(n int) *Slots { return &Slots{make(chan struct{}, n)} }

// Acquire waits for a slot until the context ends.
func (s *Slots) Acquire(ctx context.Context) error {
	select {
	case s.free <- struct{}{}:
		return nil
	default:
	}

	select {
	case s.free <- struct{}{}:
		return nil
	case <-ctx.Done():
		return fault.Wrap(fault.Overloaded, ctx.Err(), "no slot became free")
	}
}

// Release gives a slot back.
func (s *Slots) Release() { <-s.free }

// Used returns the number of slots in use.
func (s *Slots) Used() int { return len(s.free) }
