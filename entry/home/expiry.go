package home

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/skylarkweir/skylarkweir/weir/request/fault"
)

const (
	// sweepInterval is the time between two removals of expired submissions.
	sweepInterval = time.Second
	// expiryMargin is how long a submission is kept after its ticket has expired. Sidecars keep its starts as long.
	expiryMargin = 30 * time.Second
)

// expirySchedule lists submissions by the time of their removal. The zero value is ready to use.
type expirySchedule struct {
	mu sync.Mutex
	// handlesBySecond holds the submissions by the Unix second in which they are removed.
	handlesBySecond map[int64][]*Handle
	// nextSecond is the first second that has not been swept; zero before the first sweep.
	nextSecond int64
	// latestExpired is the latest expiry of a removed submission. Tickets that expire no later are refused even if the
	// clock steps back, since their submissions may have been held and run.
	latestExpired time.Time
}

// checkTicket returns an error if the ticket has expired.
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

// Sweep removes the submissions whose tickets expired more than expiryMargin before now. Run calls it every second.
func (t *Table) Sweep(now time.Time) {
	for _, h := range t.expiry.takeDue(now) {
		t.remove(h)
	}

	t.answerMemory.compact()
}

// takeDue removes the submissions that are due from the schedule and returns them.
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

// remove removes an expired submission from the table. If it has not ended, it fails.
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
