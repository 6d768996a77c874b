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

// replyGracePeriod is how long the entry still waits for replies to the starts of an ended submission, so that the
// sidecar gets its acknowledgement and its slots are counted as held until then.
const replyGracePeriod = 5 * time.Second

// state is the phase of a submission.
type state uint8

const (
	running state = iota
	// closing means that the submission has failed, and that the sidecars are asked which of its starts ran.
	closing
	ended
	// released means that the answer was dropped to free memory.
	released
)

// Handle is a submission in the table of its home. After its end only the answer and the identity are kept.
type Handle struct {
	table      *Table
	id         string
	member     string
	digest     [sha256.Size]byte
	expiry     time.Time
	totalTasks int
	done       chan struct{}

	mu        sync.Mutex
	state     state
	delivered bool
	status    int
	body      []byte
	// execution is nil after the end.
	execution *execution
	decisions decisions
	// endEvent is set by finish and cleared by unlock.
	endEvent *endEvent
}

func newHandle(
	t *Table, s submission.Submission, requirements placement.Task, memberLimitSlots int, now time.Time,
) *Handle {
	h := &Handle{
		table: t, id: s.ID(), member: s.Member(), digest: s.Digest(), expiry: s.Ticket().Expiry(),
		totalTasks: len(s.Inputs()), done: make(chan struct{}),
	}
	e := &execution{
		handle: h, submission: s, accepted: now, memberLimitSlots: memberLimitSlots,
		tasks: make([]task, h.totalTasks), outputs: make([][]byte, h.totalTasks),
		remainingTasks: h.totalTasks, reservedBytes: inputBytes(s),
	}
	e.requirements = requirements.WithAllowance(e.hasAllowance)
	e.deadline = s.Deadline()

	if h.expiry.Before(e.deadline) {
		e.deadline = h.expiry
	}

	if h.totalTasks > 1 {
		e.requirements = e.requirements.WithSpread(&e.spread)
	}

	for i := range e.tasks {
		e.tasks[i].execution, e.tasks[i].index = e, i
	}

	h.execution = e

	return h
}

// Done returns a channel that is closed once the submission has an answer.
func (h *Handle) Done() <-chan struct{} { return h.done }

// ID returns the ticket in its text form, which is the name of the submission.
func (h *Handle) ID() string { return h.id }

// Member returns the member that sent the submission.
func (h *Handle) Member() string { return h.member }

// Answer returns the HTTP status and the JSON body, or 0 and nil before the submission has ended.
func (h *Handle) Answer() (status int, body []byte) {
	h.mu.Lock()
	defer h.mu.Unlock()

	if h.state == released {
		return fault.AnswerReleased.Status(), fault.Marshal(
			fault.New(fault.AnswerReleased, "the answer was delivered before, and has been dropped to free memory"), h.id)
	}

	return h.status, h.body
}

// Cancel fails the submission and has its running tasks cancelled at the backend servers.
func (h *Handle) Cancel() { h.fail(fault.New(fault.Cancelled, "the caller cancelled the submission")) }

// RecordDelivery records that a caller has received the answer, which may then be dropped if memory is short.
func (h *Handle) RecordDelivery() {
	h.mu.Lock()
	firstDelivery := !h.delivered && h.state == ended && h.status == http.StatusOK
	h.delivered = h.delivered || firstDelivery
	h.mu.Unlock()

	if firstDelivery {
		h.table.answerMemory.addDelivered(h)
	}
}

// Progress returns how many of the tasks have ended.
func (h *Handle) Progress() (ended, total int) {
	h.mu.Lock()
	defer h.mu.Unlock()

	if h.execution == nil {
		return h.totalTasks, h.totalTasks
	}

	return h.totalTasks - h.execution.remainingTasks, h.totalTasks
}

// checkDigest returns an error if the ticket is used again with a different body.
func (h *Handle) checkDigest(s submission.Submission) error {
	if h.digest != s.Digest() {
		return fault.New(fault.Conflict, "the ticket was already used with a different body")
	}

	return nil
}

// enqueue queues the tasks of a submission that is in the table.
func (h *Handle) enqueue(now time.Time) {
	e := h.execution
	e.ctx, e.cancel = context.WithCancel(context.Background())

	if _, isRequest := e.submission.Form().(submission.Request); isRequest {
		h.table.retryBudget.RecordRequest(now)
	}

	h.mu.Lock()

	q := &h.table.queue
	q.mu.Lock()
	for i := range e.tasks {
		k := &e.tasks[i]
		k.item = q.tasks.Push(h.member, e.submission.Kind(), e.memberLimitSlots, e.requirements.Slots(), k, now)
	}
	q.mu.Unlock()

	e.timer = time.AfterFunc(e.deadline.Sub(now), h.failOnDeadline)
	h.mu.Unlock()
	h.table.wake()
}

// finishComplete ends a submission whose tasks all have an output. The caller holds mu.
func (h *Handle) finishComplete() {
	h.finish(http.StatusOK, marshalAnswer(h.id, h.execution.outputs), nil)
}

// finish sets the answer and releases the execution. The caller holds mu.
func (h *Handle) finish(status int, body []byte, cause error) {
	e := h.execution
	h.state, h.status, h.body, h.execution = ended, status, body, nil
	e.timer.Stop()

	answerBytes := int64(0)
	if status == http.StatusOK {
		answerBytes = int64(len(body))
	}

	h.table.answerMemory.add(answerBytes - e.reservedBytes)

	if e.unresolvedStarts == 0 {
		e.cancel()
	} else {
		time.AfterFunc(replyGracePeriod, e.cancel)
	}

	h.endEvent = &endEvent{handle: h, execution: e, cause: cause}
}

// unlock releases mu, and then publishes the end of the submission if it ended while mu was held.
func (h *Handle) unlock() {
	e := h.endEvent
	h.endEvent = nil
	h.mu.Unlock()

	if e != nil {
		e.publish()
	}
}
