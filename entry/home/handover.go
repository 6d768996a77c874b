package home

import (
	"context"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
)

// Drain refuses new submissions and waits until all submissions have an answer.
func (t *Table) Drain(ctx context.Context) error {
	t.leaving.Store(true)

	for t.inflight.Load() > 0 {
		select {
		case <-ctx.Done():
			return merry.Prependf(ctx.Err(), "drain stopped with %d submissions still active", t.inflight.Load())
		case <-t.drainSignal():
		}
	}

	return nil
}

// Export returns the ended submissions, to be handed over to another entry.
func (t *Table) Export() []*wire.HeldSubmission {
	var submissions []*wire.HeldSubmission

	now := time.Now()

	for i := range t.shards {
		d := &t.shards[i]
		d.mu.Lock()

		for _, h := range d.handles {
			status, body := h.Answer()
			remaining := h.expiry.Sub(now)

			if status == 0 || remaining <= 0 {
				continue
			}

			m := wire.HeldSubmission_builder{
				Submission: h.id, Member: h.member, Digest: h.digest[:], Status: int32(status), Answer: body,
				KeepMs: remaining.Milliseconds(),
			}.Build()
			submissions = append(submissions, m)
		}
		d.mu.Unlock()
	}

	return submissions
}

// Import adds the ended submissions of another entry. They count towards the memory limit, but are never refused.
func (t *Table) Import(submissions []*wire.HeldSubmission) {
	now := time.Now()

	for _, m := range submissions {
		h := &Handle{
			table: t, id: m.GetSubmission(), member: m.GetMember(),
			expiry:     now.Add(time.Duration(m.GetKeepMs()) * time.Millisecond),
			totalTasks: 1, done: make(chan struct{}), state: ended, status: int(m.GetStatus()), body: m.GetAnswer(),
		}
		copy(h.digest[:], m.GetDigest())
		close(h.done)

		d := t.shardOf(h.id)
		d.mu.Lock()
		_, isHeld := d.handles[h.id]

		if !isHeld {
			d.put(h)
		}
		d.mu.Unlock()

		if isHeld {
			continue
		}

		t.count.Add(1)
		t.expiry.add(h)

		if h.status == http.StatusOK {
			t.answerMemory.add(int64(len(h.body)))
		}
	}
}
