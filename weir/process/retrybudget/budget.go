// Package retrybudget bounds the retries of an entry to a share of its requests.
package retrybudget

import (
	"sync"
	"time"
)

const (
	// share is the number of retries that each request allows: 10 %.
	share = 0.1
	// floor is the number of retries allowed each second regardless of requests, so that a quiet entry can retry.
	floor = 1.0
	// burst bounds the unused budget, so that a long quiet time does not pay for a storm of retries.
	burst = 20.0
)

// Budget is a token bucket. The zero value works and starts with one retry.
type Budget struct {
	mu     sync.Mutex
	tokens float64
	// filled is when the floor was last added; the zero time means never.
	filled time.Time
}

// Request notes a request.
func (b *Budget) Request(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()

	b.fill(now)
	b.tokens = min(b.tokens+share, burst)
}

// Spend takes one retry, and returns false if none is left.
func (b *Budget) Spend(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()

	b.fill(now)

	if b.tokens < 1 {
		return false
	}

	b.tokens--

	return true
}

func (b *Budget) fill(now time.Time) {
	if b.filled.IsZero() {
		b.tokens = 1
	} else if elapsed := now.Sub(b.filled); elapsed > 0 {
		b.tokens = min(b.tokens+elapsed.Seconds()*floor, burst)
	}

	b.filled = now
}
