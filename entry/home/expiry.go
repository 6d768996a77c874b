package home

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/skylarkweir/skylarkweir/weir/request/fault"
)

const (
	// sweepInterval is how often expired submissions are dropped.
	sweepInterval = time.Second
	// expiryMargin keeps a submission beyond its ticket, like the sidecars keep its starts.
	expiryMargin = 30 * time.Second
)

// expiry drops submissions after their tickets have expired. The zero value works.
type expiry struct {
	mu sync.Mutex
	// due holds the submissions by the second in which they are dropped.
	due map[int64][]*Held
	// next is the first second that was not swept yet; zero before the first sweep.
	next int64
	// swept is the latest expiry of a dropped submission. An older ticket is refused even if the clock steps back,
	// since its submission may have been held and run.
	swept time.Time
}

// check refuses an expired ticket.
func (e *expiry) check(at, now time.Time) error {
	e.mu.Lock()
	defer e.mu.Unlock()

	if !now.Before(at) || !at.After(e.swept) {
		return fault.New(fault.TicketExpired, "the ticket expired at %s", at.UTC().Format(time.RFC3339))
	}

	return nil
}

func (e *expiry) add(h *Held) {
	e.mu.Lock()
	defer e.mu.Unlock()

	if e.due == nil {
		e.due = map[int64][]*Held{}
	}

	s := max(h.expiry.Add(expiryMargin).Unix()+1, e.next)
	e.due[s] = append(e.due[s], h)
}

func (e *expiry) run(ctx context.Context, t *Table) {
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()

	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			t.Sweep(now)
		}
	}
}

// Sweep drops the submissions whose tickets expired a while before now. Run does so every second.
func (t *Table) Sweep(now time.Time) {
	for _, h := range t.expiry.sweep(now) {
		t.drop(h)
	}

	t.memory.compact()
}

// sweep returns the submissions that are due.
func (e *expiry) sweep(now time.Time) (due []*Held) {
	e.mu.Lock()
	defer e.mu.Unlock()

	for s, all := range e.due {
		if s > now.Unix() {
			continue
		}

		for _, h := range all {
			if h.expiry.After(e.swept) {
				e.swept = h.expiry
			}
		}

		due = append(due, all...)
		delete(e.due, s)
	}

	e.next = now.Unix() + 1

	return due
}

// drop removes an expired submission. One that has not ended by now fails.
func (t *Table) drop(h *Held) {
	h.fail(fault.New(fault.TicketExpired, "the ticket expired"))

	d := t.shard(h.id)
	d.mu.Lock()
	delete(d.held, h.id)
	d.mu.Unlock()
	t.count.Add(-1)

	h.mu.Lock()
	kept := h.state == ended && h.status == http.StatusOK
	h.mu.Unlock()

	if kept {
		t.memory.add(-h.release())
	}
}
