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

// Handle is a submission in the home table.
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
	// RefuseTicket ensures that a submission that is not in the table never runs. It returns false if it is in the
	// table.
	RefuseTicket(id string, t ticket.Ticket) bool
}

// Operation is a request of a caller or an operator about one submission.
type Operation string

// Operations, as Forward messages name them.
const (
	Submit  Operation = "submit"
	State   Operation = "state"
	Cancel  Operation = "cancel"
	Explain Operation = "explain"
)

// Local executes operations on submissions whose home is this entry or that were handed over to it.
type Local struct {
	issuer   *TicketIssuer
	table    Table
	replica  *ledger.Replica
	limiter  *ConcurrencyLimiter
	maxTasks int

	// submitMu is read-locked while a submission is inserted into the table, so that none is inserted after Leave
	// returned.
	submitMu sync.RWMutex
	leaving  bool
}

// NewLocal returns a Local that decodes and inserts as many submissions at the same time as the limiter admits.
func NewLocal(
	issuer *TicketIssuer, table Table, replica *ledger.Replica, limiter *ConcurrencyLimiter, maxTasks int,
) *Local {
	return &Local{issuer: issuer, table: table, replica: replica, limiter: limiter, maxTasks: maxTasks}
}

// Leave refuses new submissions from now on. Resubmissions of those in the table are still answered.
func (l *Local) Leave() {
	l.submitMu.Lock()
	defer l.submitMu.Unlock()

	l.leaving = true
}

// Owns reports whether this entry executes operations on the submission: it is in the table, or this entry is the home
// of its ticket.
func (l *Local) Owns(id string, t ticket.Ticket) bool {
	if t.Incarnation() == l.issuer.Incarnation() {
		return true
	}

	_, found := l.table.Find(id)

	return found
}

// Submit inserts the submission, or finds it if it was inserted before, and waits for its answer if the body asks for
// it.
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
		// The caller disconnected. The submission continues, and its answer is kept.
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

	// Once its ticket has expired, the record of a submission may be dropped. Inserted again, the submission could run
	// a second time.
	if !time.Now().Before(t.Expiry()) {
		return nil, fault.New(fault.TicketExpired, "the ticket expired while the request was processed")
	}

	if _, found := l.table.Find(id); found {
		return l.table.Submit(s)
	}

	switch {
	case t.Incarnation() != l.issuer.Incarnation():
		// For another home, only submissions that were handed over are answered, and new ones are not inserted.
		return nil, fault.New(fault.TicketExpired, "the entry no longer holds the submission")
	case l.leaving:
		return nil, fault.New(fault.Leaving, "the entry is leaving")
	}

	return l.table.Submit(s)
}

// State returns the answer of the submission if it has ended, and its progress otherwise.
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

// Cancel ends the submission unless it has ended, and returns its state. A submission that has not arrived yet never
// runs.
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

// Explain returns the ticket, the eligible workers, the state and the decisions of a submission for operators.
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

// Serve executes an operation that another entry forwarded. The second result is false if this entry is not the home
// that the sender addressed.
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
			// An earlier try with this ticket may have been accepted.
			return Refuse(fault.WithRan(err, fault.RanUnknown), f.GetSubmission()), true
		}

		return l.Submit(ctx, f.GetSubmission(), t, b), true
	case State:
		return l.State(f.GetSubmission()), true
	case Cancel:
		return l.Cancel(f.GetSubmission(), t), true
	case Explain:
		return l.Explain(f.GetSubmission(), t), true
	default:
		err := fault.New(fault.InvalidRequest, "unknown operation %q", f.GetOperation())

		return Refuse(err, f.GetSubmission()), true
	}
}

// Decode decodes a body once the limiter admits it.
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
