package home

import (
	"context"
	"crypto/sha256"
	"net/http"
	"sync"
	"time"

	"github.com/skylarkweir/skylarkweir/weir/process/placement"
	"github.com/skylarkweir/skylarkweir/weir/request/fault"
	"github.com/skylarkweir/skylarkweir/weir/request/submission"
)

// linger is how long replies to the starts of an ended submission are still awaited, so that the sidecar is
// acknowledged and its slots are counted as held.
const linger = 5 * time.Second

// state is the phase of a submission.
type state uint8

const (
	running state = iota
	// closing means that the submission fails and that it is being found out what ran.
	closing
	ended
	// released means that the answer was dropped for want of memory.
	released
)

// Held is a submission that its home holds. After its end only the answer and the identity are kept.
type Held struct {
	table  *Table
	id     string
	member string
	digest [sha256.Size]byte
	expiry time.Time
	total  int
	done   chan struct{}

	mu        sync.Mutex
	state     state
	delivered bool
	status    int
	body      []byte
	// work is nil after the end.
	work      *work
	decisions decisions
	// ending is set by finish and taken by unlock.
	ending *ending
}

func newHeld(t *Table, s submission.Submission, place placement.Task, limit int, now time.Time) *Held {
	h := &Held{
		table: t, id: s.ID(), member: s.Member(), digest: s.Digest(), expiry: s.Ticket().Expiry(),
		total: len(s.Inputs()), done: make(chan struct{}),
	}
	w := &work{
		held: h, submission: s, accepted: now, limit: limit, tasks: make([]task, h.total), outputs: make([][]byte, h.total),
		left: h.total, bytes: inputBytes(s),
	}
	w.place = place.WithAllowance(w.allowed)
	w.deadline = s.Deadline()

	if h.expiry.Before(w.deadline) {
		w.deadline = h.expiry
	}

	if h.total > 1 {
		w.place = w.place.WithSpread(&w.spread)
	}

	for i := range w.tasks {
		w.tasks[i].work, w.tasks[i].index = w, i
	}

	h.work = w

	return h
}

// Done is closed once the answer is there.
func (h *Held) Done() <-chan struct{} { return h.done }

// ID returns the text form of the ticket.
func (h *Held) ID() string { return h.id }

// Member returns the member whose submission this is.
func (h *Held) Member() string { return h.member }

// Answer returns the HTTP status and the JSON body, or 0 and nil before the submission has ended.
func (h *Held) Answer() (status int, body []byte) {
	h.mu.Lock()
	defer h.mu.Unlock()

	if h.state == released {
		return fault.AnswerReleased.Status(), fault.Marshal(fault.New(fault.AnswerReleased, "the answer was dropped for want of memory"), h.id)
	}

	return h.status, h.body
}

// Cancel ends the submission; its running tasks are ended at the backend servers.
func (h *Held) Cancel() { h.fail(fault.New(fault.Cancelled, "the caller cancelled the submission")) }

// Delivered notes that a caller has received the answer, which may then be dropped when memory is short.
func (h *Held) Delivered() {
	h.mu.Lock()
	first := !h.delivered && h.state == ended && h.status == http.StatusOK
	h.delivered = h.delivered || first
	h.mu.Unlock()

	if first {
		h.table.memory.delivered(h)
	}
}

// Progress returns how many of the tasks have ended.
func (h *Held) Progress() (ended, total int) {
	h.mu.Lock()
	defer h.mu.Unlock()

	if h.work == nil {
		return h.total, h.total
	}

	return h.total - h.work.left, h.total
}

// matches refuses a ticket that is used again with another body.
func (h *Held) matches(s submission.Submission) error {
	if h.digest != s.Digest() {
		return fault.New(fault.Conflict, "the ticket was used with another body")
	}

	return nil
}

// begin queues the tasks of a submission that was put into the table.
func (h *Held) begin(now time.Time) {
	w := h.work
	w.ctx, w.cancel = context.WithCancel(context.Background())

	if _, request := w.submission.Form().(submission.Request); request {
		h.table.budget.RecordRequest(now)
	}

	h.mu.Lock()

	q := &h.table.queue
	q.mu.Lock()
	for i := range w.tasks {
		k := &w.tasks[i]
		k.item = q.tasks.Push(h.member, w.submission.Kind(), w.limit, w.place.Slots(), k, now)
	}
	q.mu.Unlock()

	w.timer = time.AfterFunc(w.deadline.Sub(now), h.expire)
	h.mu.Unlock()
	h.table.wake()
}

// complete ends a submission of which every task has an output. The caller holds mu.
func (h *Held) complete() {
	h.finish(http.StatusOK, answer(h.id, h.work.outputs), nil)
}

// finish sets the answer and frees what the run needed. The caller holds mu.
func (h *Held) finish(status int, body []byte, cause error) {
	w := h.work
	h.state, h.status, h.body, h.work = ended, status, body, nil
	w.timer.Stop()

	kept := int64(0)
	if status == http.StatusOK {
		kept = int64(len(body))
	}

	h.table.memory.add(kept - w.bytes)

	if w.pending == 0 {
		w.cancel()
	} else {
		time.AfterFunc(linger, w.cancel)
	}

	h.ending = &ending{held: h, work: w, cause: cause}
}

// unlock releases mu. If the submission ended under it, that is announced without the lock.
func (h *Held) unlock() {
	e := h.ending
	h.ending = nil
	h.mu.Unlock()

	if e != nil {
		e.announce()
	}
}
