package caller

import (
	"context"
	"time"

	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
	"github.com/skylarkweir/skylarkweir/weir/request/fault"
	"github.com/skylarkweir/skylarkweir/weir/request/ticket"
)

const (
	// forwardGrace is how long after the deadline of a submission its home may answer. The home waits up to 5 s for the
	// outcomes of tasks on a lost worker.
	forwardGrace = 10 * time.Second
	// stateTimeout bounds operations that do not wait for the submission to end.
	stateTimeout = 5 * time.Second
	// maxSuccessors bounds a chain of homes that each handed over their submissions to the next.
	maxSuccessors = 8
)

// Peers forwards operations to other entries.
type Peers interface {
	// Forward executes f at the given entry. An error means that the entry is lost, unless the context has ended. The
	// second result is false if the entry that answered is not the home.
	Forward(ctx context.Context, to *wire.Entry, f *wire.Forward) (Reply, bool, error)
	// Successor returns the entry that took over the submissions of an entry that left.
	Successor(incarnation uint64) (*wire.Entry, bool)
}

// LostHomeResolver determines whether tasks ran of submissions whose home is lost.
type LostHomeResolver interface {
	// CachedResult returns the result of an earlier Resolve, or nil.
	CachedResult(id string) error
	// Resolve closes the submission at the sidecars and returns the error that states what ran.
	Resolve(ctx context.Context, id string, t ticket.Ticket, cancel bool) error
}

// Router executes operations at the home of the submission.
type Router struct {
	local    *Local
	peers    Peers
	resolver LostHomeResolver
}

// NewRouter returns a Router that resolves submissions with a lost home by resolver.
func NewRouter(local *Local, peers Peers, resolver LostHomeResolver) *Router {
	return &Router{local, peers, resolver}
}

// Submit submits b to the home of the submission; raw is the body that b was decoded from.
func (r *Router) Submit(ctx context.Context, id string, t ticket.Ticket, b Body, raw []byte) Reply {
	if r.local.Owns(id, t) {
		return r.local.Submit(ctx, id, t, b)
	}

	return r.forwardToHome(ctx, t, r.newForward(Submit, id, t, b.form, raw), b.Deadline()+forwardGrace)
}

// State returns the state or the answer of the submission.
func (r *Router) State(ctx context.Context, id string, t ticket.Ticket) Reply {
	if r.local.Owns(id, t) {
		return r.local.State(id)
	}

	return r.forwardToHome(ctx, t, r.newForward(State, id, t, "", nil), stateTimeout)
}

// Cancel ends the submission.
func (r *Router) Cancel(ctx context.Context, id string, t ticket.Ticket) Reply {
	if r.local.Owns(id, t) {
		return r.local.Cancel(id, t)
	}

	return r.forwardToHome(ctx, t, r.newForward(Cancel, id, t, "", nil), stateTimeout)
}

// Explain returns for operators what the home has recorded about the submission. If the home does not answer, it
// returns what this entry has recorded.
func (r *Router) Explain(ctx context.Context, id string) Reply {
	t, err := r.local.issuer.key.Parse(id)
	if err != nil {
		return Refuse(err, id)
	}

	if r.local.Owns(id, t) {
		return r.local.Explain(id, t)
	}

	reply := r.forwardToHome(ctx, t, r.newForward(Explain, id, t, "", nil), stateTimeout)
	if reply.Status() != 200 {
		reply.ReportDelivery(false)

		return r.local.Explain(id, t)
	}

	return reply
}

func (r *Router) newForward(o Operation, id string, t ticket.Ticket, form string, raw []byte) *wire.Forward {
	f := &wire.Forward{}
	f.SetOperation(string(o))
	f.SetSubmission(id)
	f.SetMember(t.Member())
	f.SetForm(form)
	f.SetBody(raw)

	return f
}

// forwardToHome forwards to the home, or to the entry that took over its submissions, and resolves the submission at
// the sidecars if neither is reached.
func (r *Router) forwardToHome(ctx context.Context, t ticket.Ticket, f *wire.Forward, timeout time.Duration) Reply {
	id := f.GetSubmission()
	if err := r.resolver.CachedResult(id); err != nil {
		return Refuse(err, id)
	}

	forwardCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()

	home := &wire.Entry{}
	home.SetAddress(t.Home().String())
	home.SetIncarnation(t.Incarnation())

	for range maxSuccessors {
		if next, found := r.peers.Successor(home.GetIncarnation()); found {
			home = next

			continue
		}

		if home.GetIncarnation() == r.local.issuer.Incarnation() {
			// The submissions of that home were handed over to this entry, but this submission was not among them.
			break
		}

		f.SetIncarnation(home.GetIncarnation())

		reply, isHome, err := r.peers.Forward(forwardCtx, home, f)
		if err == nil && isHome {
			return reply
		}

		if forwardCtx.Err() != nil {
			err := fault.New(fault.DeadlineExceeded, "the home has not answered within %s", timeout)

			return Refuse(fault.WithRan(err, fault.RanUnknown), id)
		}

		// The home may have left during the forward.
		if _, found := r.peers.Successor(home.GetIncarnation()); !found {
			break
		}
	}

	return Refuse(r.resolveLostHome(ctx, id, t, Operation(f.GetOperation())), id)
}

// resolveLostHome closes the submission only if the caller submits or cancels it. A query of its state must not end it.
func (r *Router) resolveLostHome(ctx context.Context, id string, t ticket.Ticket, o Operation) error {
	switch o {
	case Submit, Cancel:
		return r.resolver.Resolve(context.WithoutCancel(ctx), id, t, o == Cancel)
	default:
		err := fault.New(fault.HomeLost, "the home of the submission is lost; resubmit it to learn what ran")

		return fault.WithRan(err, fault.RanUnknown)
	}
}
