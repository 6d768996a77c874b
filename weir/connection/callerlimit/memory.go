package callerlimit

import (
	"context"
	"sync/atomic"
	"time"

	"golang.org/x/sync/semaphore"
)

const (
	// smallShare is the fraction of the memory for the first part of each body, so that large bodies that wait or stall take
	// nothing from small ones.
	smallShare = 0.25
	// maxWaitingShare is the fraction of the connections that may wait for memory. Further ones are refused at once, since those
	// that wait keep their connections.
	maxWaitingShare = 0.25
	// memoryTimeout is how long a body waits for memory before it is refused.
	memoryTimeout = time.Second
)

// pool is a part of the budget of bodies.
type pool struct {
	size int64
	free *semaphore.Weighted
	// waiting is the number of bodies that wait, maxWaiting the largest number.
	waiting, maxWaiting atomic.Int64
}

// newPool returns a pool of a size in bytes, or nil if there is no limit.
func newPool(size int64, connections int) *pool {
	if size <= 0 {
		return nil
	}

	p := &pool{size: size, free: semaphore.NewWeighted(size)}

	p.maxWaiting.Store(max(1, int64(float64(connections)*maxWaitingShare)))

	return p
}

// cost returns the memory for n bytes of a body. No body costs more than the whole pool, so that each can be read alone.
func (p *pool) cost(n, multiple int64) int64 {
	if p == nil {
		return n * multiple
	}

	return min(n*multiple, p.size)
}

// acquire takes n bytes from the pool. While it is used up, it calls reclaim, which closes bodies that have stalled.
func (p *pool) acquire(n int64, c *connection, reclaim func()) error {
	if p == nil || p.free.TryAcquire(n) {
		return nil
	}

	if p.waiting.Add(1) > p.maxWaiting.Load() {
		p.waiting.Add(-1)
		reclaim()

		return ErrNoMemory
	}
	defer p.waiting.Add(-1)

	c.waiting.Store(true)

	defer func() {
		c.enter(readingBody)
		c.waiting.Store(false)
	}()

	for deadline := time.Now().Add(memoryTimeout); time.Now().Before(deadline); {
		reclaim()

		ctx, cancel := context.WithTimeout(context.Background(), minStall)
		err := p.free.Acquire(ctx, n)

		cancel()

		if err == nil {
			return nil
		}
	}

	return ErrNoMemory
}

func (p *pool) release(n int64) {
	if p != nil {
		p.free.Release(n)
	}
}
