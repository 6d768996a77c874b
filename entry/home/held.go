package home

import (
	"context"
	"crypto/sha256"
	"net/http"
	"sync"
	"time"

	"github.com/skylarkweir/skylarkweir/weir/process/fleet"
	"github.com/skylarkweir/skylarkweir/weir/process/placement"
	"github.com/skylarkweir/skylarkweir/weir/request/fault"
	"github.com/skylarkweir/skylarkweir/weir/request/submission"
)

const (
	// closeWait bounds how long a failed submission waits for sidecars to confirm what ran.
	closeWait = 2 * time.Second
	// cancelWait is longer than a lease, so that a sidecar that has not confirmed by then cannot start a task either.
	cancelWait = 3500 * time.Millisecond
	// linger is how long replies to the starts of an ended submission are still awaited, so that the sidecar is
	// acknowledged and its slots are counted as held.
	linger = 5 * time.Second
)

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
	w.place = place.Within(w.allowed)
	w.deadline = s.Deadline()

	if h.expiry.Before(w.deadline) {
		w.deadline = h.expiry
	}

	if h.total > 1 {
		w.place = w.place.Over(&w.spread)
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
		h.table.budget.Request(now)
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

func (h *Held) expire() {
	h.fail(fault.New(fault.DeadlineExceeded, "the deadline passed before all tasks had ended"))
}

// hand notes that the task goes to the worker, and returns false if the submission has failed meanwhile.
func (h *Held) hand(k *task, w *fleet.Worker) bool {
	h.mu.Lock()
	defer h.mu.Unlock()

	if h.state != running {
		return false
	}

	k.worker = w
	k.work.pending++

	return true
}

// completed takes the output of a task.
func (h *Held) completed(k *task, output []byte) {
	h.mu.Lock()
	defer h.unlock()

	if !h.resolve(k, true) || h.state != running {
		return
	}

	w := k.work
	w.outputs[k.index] = output
	w.bytes += int64(len(output))
	h.table.memory.add(int64(len(output)))
	w.left--

	if w.left == 0 {
		h.complete()
	}
}

// stopped takes an attempt that ran without an output, or may have run. It is retried if that is allowed.
func (h *Held) stopped(k *task, ran bool, cause error, retry bool, at *fleet.Worker) (retried bool) {
	h.mu.Lock()
	if !ran && k.worker != nil {
		k.work.unknown = true
	}

	if !h.resolve(k, ran) || h.state != running {
		h.unlock()

		return false
	}

	if retry && h.retry(k, at) {
		h.unlock()

		return true
	}

	h.unlock()
	h.fail(cause)

	return false
}

// rejected takes an attempt that was not started and never will be. It returns true if the task is queued again.
func (h *Held) rejected(k *task) bool {
	h.mu.Lock()
	defer h.unlock()

	if !h.resolve(k, false) || h.state != running {
		return false
	}

	h.again(k)

	return true
}

// rejectedFor takes an attempt that was not started for a reason that ends the submission.
func (h *Held) rejectedFor(k *task, cause error) {
	h.mu.Lock()
	h.resolve(k, false)
	h.unlock()
	h.fail(cause)
}

// resolve ends the pending state of a start. It returns false if that was done before. The caller holds mu.
func (h *Held) resolve(k *task, ran bool) bool {
	if k.worker == nil {
		return false
	}

	k.worker = nil
	k.work.pending--
	k.work.ran = k.work.ran || ran

	if h.state == closing {
		h.settle(false)
	}

	return true
}

// retry queues a repeatable request again within the budget. The caller holds mu.
func (h *Held) retry(k *task, at *fleet.Worker) bool {
	if !k.work.submission.Form().Repeatable() || k.retries >= maxRetries || !h.table.budget.Spend(time.Now()) {
		return false
	}

	k.retries++
	k.avoid = at
	h.again(k)

	return true
}

// again puts the task back to the head of its flow as a new attempt. The caller holds mu.
func (h *Held) again(k *task) {
	k.attempt++

	q := &h.table.queue
	q.mu.Lock()
	q.tasks.Return(k.item)
	q.mu.Unlock()
}

// fail ends the submission as a whole: queued tasks are dropped and sent ones are closed.
func (h *Held) fail(cause error) {
	h.mu.Lock()
	defer h.unlock()

	if h.state != running {
		return
	}

	w := h.work
	h.state, w.cause = closing, cause

	q := &h.table.queue
	q.mu.Lock()
	for i := range w.tasks {
		q.tasks.Remove(w.tasks[i].item)
	}
	q.mu.Unlock()

	var at []*fleet.Worker

	for i := range w.tasks {
		if k := &w.tasks[i]; k.worker != nil && !contains(at, k.worker) {
			at = append(at, k.worker)
		}
	}

	for _, worker := range at {
		h.table.closer.add(w.ctx, worker, h)
	}

	if !h.settle(false) {
		w.timer.Stop()
		w.timer = time.AfterFunc(waitFor(cause), h.giveUp)
	}
}

// waitFor returns how long a failed submission waits for confirmations.
func waitFor(cause error) time.Duration {
	if fault.KindOf(cause) == fault.Cancelled {
		return cancelWait
	}

	return closeWait
}

// giveUp ends a submission for which the sidecars did not confirm in time what ran.
func (h *Held) giveUp() {
	h.mu.Lock()
	defer h.unlock()

	if h.state == closing {
		h.settle(true)
	}
}

// closed takes a sidecar's confirmation: of the starts handed to it, only those in started ran.
func (h *Held) closed(worker *fleet.Worker, started map[startKey]bool) {
	h.mu.Lock()
	defer h.unlock()

	if h.state != closing {
		return
	}

	w := h.work

	for i := range w.tasks {
		if k := &w.tasks[i]; k.worker == worker && h.state == closing {
			h.resolve(k, started[startKey{k.index, k.attempt}])
		}
	}
}

// settle ends a failed submission once it is known what ran, or if the wait is over. The caller holds mu.
func (h *Held) settle(late bool) bool {
	w := h.work
	// A cancellation is answered only when the sidecars have confirmed that no task starts any more. Other failures do
	// not wait for that once it is known that a task ran.
	if w.pending > 0 && !late && (!w.ran || fault.KindOf(w.cause) == fault.Cancelled) {
		return false
	}

	ran := fault.RanNone

	switch {
	case w.ran:
		ran = fault.RanSome
	case w.pending > 0 || w.unknown:
		ran = fault.RanUnknown
	}

	err := fault.WithRan(w.cause, ran)
	h.finish(fault.KindOf(err).Status(), fault.Marshal(err, h.id), err)

	return true
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

func contains(all []*fleet.Worker, w *fleet.Worker) bool {
	for _, o := range all {
		if o == w {
			return true
		}
	}

	return false
}
