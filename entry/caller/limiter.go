package caller

import (
	"context"

	"github.com/skylarkweir/skylarkweir/weir/request/fault"
)

// ConcurrencyLimiter bounds how many requests are decoded, or inserted into the home table, at the same time.
type ConcurrencyLimiter struct{ inUse chan struct{} }

// NewConcurrencyLimiter returns a limiter that admits n requests at a time.
func NewConcurrencyLimiter(n int) *ConcurrencyLimiter {
	return &ConcurrencyLimiter{make(chan struct{}, n)}
}

// Acquire waits until the limiter admits the request or the context ends.
func (l *ConcurrencyLimiter) Acquire(ctx context.Context) error {
	select {
	case l.inUse <- struct{}{}:
		return nil
	default:
	}

	select {
	case l.inUse <- struct{}{}:
		return nil
	case <-ctx.Done():
		return fault.Wrap(fault.Overloaded, ctx.Err(), "the request ended while it waited to be processed")
	}
}

// Release ends the admission of a request.
func (l *ConcurrencyLimiter) Release() { <-l.inUse }

// InUse returns the number of admitted requests.
func (l *ConcurrencyLimiter) InUse() int { return len(l.inUse) }
