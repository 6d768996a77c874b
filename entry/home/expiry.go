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
type expirySchedule struct {
	mu sync.Mutex
	// due holds the submissions by the second in which they are dropped.
	handlesBySecond map[int64][]*Handle
	// next is the first second that was not swept yet; zero before the first sweep.
	nextSecond int64
	// swept is the latest expiry of a dropped submission. An older ticket is refused even if the clock steps back,
	// since its submission may have been held and run.
	latestExpired time.Time
}

// check refuses an expired ticket.
func (e *expirySchedule) checkTicket(expiry, now time.Time) error {
	e.mu.Lock()
	defer e.mu.Unlock()

	if !now.Before(expiry) || !expiry.After(e.latestExpired) {
		return fault.New(fault.TicketExpired, "the ticket expired at %s", expiry.UTC().Format(time.RFC3339))
	}

	return nil
}

func (e *expirySchedule) add(h *Handle) {
	e.mu.Lock()
	defer e.mu.Unlock()

	if e.handlesBySecond == nil {
		e.handlesBySecond = map[int64][]*Handle{}
	}

	second := max(h.expiry.Add(expiryMargin).Unix()+1, e.nextSecond)
	e.handlesBySecond[second] = append(e.handlesBySecond[second], h)
}

func (e *expirySchedule) run(ctx context.Context, t *Table) {
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
	for _, h := range t.expiry.takeDue(now) {
		t.remove(h)
	}

	t.answerMemory.compact()
}

// sweep returns the submissions that are due.
func (e *expirySchedule) takeDue(now time.Time) (due []*Handle) {
	e.mu.Lock()
	defer e.mu.Unlock()

	for second, handles := range e.handlesBySecond {
		if second > now.Unix() {
			continue
		}

		for _, h := range handles {
			if h.expiry.After(e.latestExpired) {
				e.latestExpired = h.expiry
			}
		}

		due = append(due, handles...)
		delete(e.handlesBySecond, second)
	}

	e.nextSecond = now.Unix() + 1

	return due
}

// drop removes an expired submission. One that has not ended by now fails.
func (t *Table) remove(h *Handle) {
	h.fail(fault.New(fault.TicketExpired, "the ticket expired"))

	d := t.shardOf(h.id)
	d.mu.Lock()
	delete(d.handles, h.id)
	d.mu.Unlock()
	t.count.Add(-1)

	h.mu.Lock()
	hasAnswer := h.state == ended && h.status == http.StatusOK
	h.mu.Unlock()

	if hasAnswer {
		t.answerMemory.add(-h.releaseAnswer())
	}
}
