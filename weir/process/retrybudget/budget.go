// Package retrybudget bounds the retries of an entry to a share of its requests.
package retrybudget

import (
	"sync"
	"time"
)

const (
	// share is the number of retries that each request allows: 10 %.
	retriesPerRequest = 0.1
	// floor is the number of retries allowed each second regardless of requests, so that a quiet entry can retry.
	minRetriesPerSecond = 1.0
	// burst bounds the unused budget, so that a long quiet time does not pay for a storm of retries.
	maxTokens = 20.0
)

// Budget is a token bucket. The zero value works and starts with one retry.
type Budget struct {
	mu     sync.Mutex
	tokens float64
	// filled is when the floor was last added; the zero time means never.
	lastRefill time.Time
}

// Request notes a request.
func (b *Budget) RecordRequest(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()

	b.refill(now)
	b.tokens = min(b.tokens+retriesPerRequest, maxTokens)
}

// Spend takes one retry, and returns false if none is left.
func (b *Budget) AllowRetry(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()

	b.refill(now)

	if b.tokens < 1 {
		return false
	}

	b.tokens--

	return true
}

func (b *Budget) refill(now time.Time) {
	if b.lastRefill.IsZero() {
		b.tokens = 1
	} else if elapsed := now.Sub(b.lastRefill); elapsed > 0 {
		b.tokens = min(b.tokens+elapsed.Seconds()*minRetriesPerSecond, maxTokens)
	}

	b.lastRefill = now
}
