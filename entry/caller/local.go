package caller

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/skylarkweir/skylarkweir/entry/home"
	"github.com/skylarkweir/skylarkweir/weir/connection/adminapi"
	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
	"github.com/skylarkweir/skylarkweir/weir/request/fault"
	"github.com/skylarkweir/skylarkweir/weir/request/submission"
	"github.com/skylarkweir/skylarkweir/weir/request/ticket"
	"github.com/skylarkweir/skylarkweir/weir/version/ledger"
)

// Held is a submission in the home table.
type Handle interface {
	Done() <-chan struct{}
	Answer() (status int, body []byte)
	Cancel()
	RecordDelivery()
	Progress() (ended, total int)
	Decisions() []home.Decision
}

// Table is the home table.
type Table interface {
	Submit(s submission.Submission) (Handle, error)
	Find(id string) (Handle, bool)
	// RefuseTicket makes sure that a submission that is not held never runs, and returns false if it is held.
	RefuseTicket(id string, t ticket.Ticket) bool
}

// Operation is what a caller asks about one submission.
type Operation string

// The operations, as Forward names them.
const (
	Submit  Operation = "submit"
	State   Operation = "state"
	Cancel  Operation = "cancel"
	Explain Operation = "explain"
)

// Local carries out operations on submissions whose home is this entry, or which were handed over to it.
type Local struct {
	issuer   *TicketIssuer
	table    Table
	replica  *ledger.Replica
	limiter  *ConcurrencyLimiter
	maxTasks int

	// gate is held for reading while a submission enters the table, so that none enters after Leave has returned.
	submitMu sync.RWMutex
	leaving  bool
}

// NewLocal returns a Local that decides at most as many submissions at once as there are slots.
func NewLocal(issuer *TicketIssuer, table Table, replica *ledger.Replica, limiter *ConcurrencyLimiter, maxTasks int) *Local {
	return &Local{issuer: issuer, table: table, replica: replica, limiter: limiter, maxTasks: maxTasks}
}

// Leave refuses new submissions from now on.
func (l *Local) Leave() {
	l.submitMu.Lock()
	defer l.submitMu.Unlock()

	l.leaving = true
}

// Holds tells whether the submission belongs here: it is in the table, or this entry is the home of its ticket.
func (l *Local) Owns(id string, t ticket.Ticket) bool {
	if t.Incarnation() == l.issuer.Incarnation() {
		return true
	}

	_, found := l.table.Find(id)

	return found
}

// Submit enters the submission, or finds it if it was entered before, and waits for its answer if the body says so.
func (l *Local) Submit(ctx context.Context, id string, t ticket.Ticket, b Body) Reply {
	h, err := l.insert(ctx, id, t, b)
	if err != nil {
		return Refuse(err, id)
	}

	if !b.Wait() {
		select {
		case <-h.Done():
		default:
			return runningReply(id, h)
		}
	}

	select {
	case <-h.Done():
		return answerReply(h)
	case <-ctx.Done():
		// The caller has gone; the job goes on and its answer is kept.
		return runningReply(id, h)
	}
}

func (l *Local) insert(ctx context.Context, id string, t ticket.Ticket, b Body) (Handle, error) {
	if err := l.limiter.Acquire(ctx); err != nil {
		return nil, err
	}
	defer l.limiter.Release()

	s := b.Submission(id, t, time.Now())

	l.submitMu.RLock()
	defer l.submitMu.RUnlock()

	// The record of a submission may be dropped once its ticket has expired, and must not be entered anew then.
	if !time.Now().Before(t.Expiry()) {
		return nil, fault.New(fault.TicketExpired, "the ticket expired while the request was decided")
	}

	if _, found := l.table.Find(id); found {
		return l.table.Submit(s)
	}

	switch {
	case t.Incarnation() != l.issuer.Incarnation():
		// Only submissions that were handed over are answered for another home; none is entered.
		return nil, fault.New(fault.TicketExpired, "the submission is no longer held")
	case l.leaving:
		return nil, fault.New(fault.Leaving, "the entry is leaving")
	}

	return l.table.Submit(s)
}

// State returns the answer of a submission that has ended, and its progress before.
func (l *Local) State(id string) Reply {
	h, found := l.table.Find(id)
	if !found {
		return Refuse(fault.New(fault.UnknownSubmission, "the home does not hold this submission"), id)
	}

	select {
	case <-h.Done():
		return answerReply(h)
	default:
		return runningReply(id, h)
	}
}

// Cancel ends the submission unless it has ended, and returns its state. One that has not arrived never runs.
func (l *Local) Cancel(id string, t ticket.Ticket) Reply {
	if t.Incarnation() == l.issuer.Incarnation() && l.table.RefuseTicket(id, t) {
		err := fault.New(fault.Cancelled, "the submission was cancelled before it arrived")

		return Refuse(fault.WithRan(err, fault.RanNone), id)
	}

	if h, found := l.table.Find(id); found {
		h.Cancel()
	}

	return l.State(id)
}

// Explain tells operators what is known about a submission.
func (l *Local) Explain(id string, t ticket.Ticket) Reply {
	e := adminapi.Explanation{
		Submission: id, Home: t.Home().String(), Incarnation: t.Incarnation(), Sequence: t.Sequence(),
		Member: t.Member(), Position: t.Position(), Expiry: t.Expiry().UTC(),
	}

	workers, _ := l.replica.State().WorkersAt(t.Position())
	for _, w := range workers {
		e.Workers = append(e.Workers, w.Name())
	}

	if h, found := l.table.Find(id); found {
		e.Held, e.State = true, stateRunning
		e.Ended, e.Total = h.Progress()

		for _, d := range h.Decisions() {
			e.Decisions = append(e.Decisions, adminapi.Decision{
				Time: d.Time().UTC(), Event: d.Event(), Task: d.Task(), Choice: d.Choice(), Reason: d.Reason(),
			})
		}

		select {
		case <-h.Done():
			e.Status, _ = h.Answer()
			e.State = stateOf(e.Status)
		default:
		}
	}

	body, _ := json.Marshal(e)

	return Reply{status: 200, body: body}
}

// Serve carries out an operation that another entry has forwarded. The second result is false if this entry is not
// the home that the sender means.
func (l *Local) Serve(ctx context.Context, f *wire.Forward) (Reply, bool) {
	if f.GetIncarnation() != l.issuer.Incarnation() {
		return Reply{}, false
	}

	t, err := l.issuer.Verify(f.GetSubmission(), f.GetMember())
	if err != nil {
		return Refuse(err, f.GetSubmission()), true
	}

	if !l.Owns(f.GetSubmission(), t) {
		return Reply{}, false
	}

	switch Operation(f.GetOperation()) {
	case Submit:
		b, err := l.Decode(ctx, f.GetForm(), f.GetBody())
		if err != nil {
			return Refuse(err, f.GetSubmission()), true
		}

		return l.Submit(ctx, f.GetSubmission(), t, b), true
	case State:
		return l.State(f.GetSubmission()), true
	case Cancel:
		return l.Cancel(f.GetSubmission(), t), true
	case Explain:
		return l.Explain(f.GetSubmission(), t), true
	default:
		err := fault.New(fault.InvalidRequest, "operation %q is not known", f.GetOperation())

		return Refuse(err, f.GetSubmission()), true
	}
}

// Decode reads a body while holding a slot.
func (l *Local) Decode(ctx context.Context, form string, data []byte) (Body, error) {
	if err := l.limiter.Acquire(ctx); err != nil {
		return Body{}, err
	}
	defer l.limiter.Release()

	return DecodeBody(form, data, l.maxTasks)
}

func answerReply(h Handle) Reply {
	status, body := h.Answer()

	return NewReply(status, body, func(complete bool) {
		if complete {
			h.RecordDelivery()
		}
	})
}
