// Package retrybudget limits the retries of an entry to a share of its requests, so that retries do not amplify an
// overload.
package retrybudget

import (
	"sync"
	"time"
)

const (
	// retriesPerRequest is the part of a retry that each request adds to the budget: retries are at most 10 % of requests.
	retriesPerRequest = 0.1
	// minRetriesPerSecond is allowed regardless of requests, so that an entry with few requests can retry.
	minRetriesPerSecond = 1.0
	// maxTokens limits the unused budget, so that a long time with few retries does not allow a large burst of them.
	maxTokens = 20.0
)

// Budget is a token bucket; a retry takes one token. The zero value is ready for use and starts with one token.
type Budget struct {
	mu sync.Mutex
	// share is the part of a retry that each request adds, zero for retriesPerRequest.
	share  float64
	tokens float64
	// lastRefill is when the tokens of minRetriesPerSecond were last added; it is zero before the first time.
	lastRefill time.Time
}

// New returns a budget to which each request adds share retries.
func New(share float64) *Budget { return &Budget{share: share} }

// RecordRequest adds the share of a retry that a request allows.
func (b *Budget) RecordRequest(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()

	b.refill(now)
	share := b.share
	if share == 0 {
		share = retriesPerRequest
	}

	b.tokens = min(b.tokens+share, maxTokens)
}

// AllowRetry takes one token for a retry. It returns false if there is none, and the request must not be retried.
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
