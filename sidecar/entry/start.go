package entry

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/skylarkweir/skylarkweir/sidecar/tasks"
	"github.com/skylarkweir/skylarkweir/weir/connection/quic"
	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
)

// outcomeAckTimeout limits the wait for the acknowledgement of an outcome. Without one, the outcome stays held.
const outcomeAckTimeout = 10 * time.Second

// handleStart answers a Start with the outcome of its task. If the connection ends first, the task continues and its
// outcome is held for a repeated start.
func (s *Session) handleStart(ctx context.Context, stream *quic.Stream, w *wire.Start) error {
	run := s.links.table.Start(s.newRequest(w))

	select {
	case <-run.Done():
	case <-ctx.Done():
		return ctx.Err()
	}

	reply := tasks.NewStartReply(run.ID(), run.Outcome(), s.links.table.Load())
	s.addHeartbeat(reply, run)

	f := &wire.Frame{}
	f.SetStartReply(reply)

	if err := stream.Send(f); err != nil {
		return err
	}

	if _, rejected := run.Outcome().(tasks.Rejected); rejected {
		return nil
	}

	stream.SetDeadline(time.Now().Add(outcomeAckTimeout))

	f, err := stream.Receive()
	if err != nil {
		return err
	}

	if !f.HasStartAck() {
		return merry.New("entry answered an outcome with a frame other than StartAck")
	}

	s.links.table.Acknowledge(run.ID())

	if a := f.GetStartAck(); a.GetHeartbeatSequence() > 0 {
		s.recordAcknowledgement(a.GetHeartbeatSequence(), a.GetLeaseEpoch(), a.GetPosition())
	}

	return nil
}

// addHeartbeat lets a reply serve as a heartbeat, because a busy connection would otherwise carry two messages a second
// for the lease alone. A rejection is not answered with StartAck, so it cannot serve as a heartbeat.
func (s *Session) addHeartbeat(reply *wire.StartReply, run *tasks.Run) {
	if _, rejected := run.Outcome().(tasks.Rejected); rejected || time.Since(s.lastRenewalTime()) < renewInterval {
		return
	}

	sequence, epoch := s.recordHeartbeat()
	reply.SetHeartbeatSequence(sequence)
	reply.SetLeaseEpoch(epoch)
	reply.SetPosition(s.links.replica.State().Position())
}

// newRequest returns the request of a Start. The request has a rejection if the Start names no submission or another
// incarnation, if the current incarnation is not registered, or if the ticket is older than its registration.
func (s *Session) newRequest(w *wire.Start) tasks.Request {
	id := w.GetId()
	deadline := time.Now().Add(time.Duration(w.GetRemainingMs()) * time.Millisecond)

	r := tasks.NewRequest(
		tasks.NewID(id.GetSubmission(), id.GetIndex(), id.GetAttempt()), w.GetMember(), w.GetKind(),
		int(w.GetCores()), int(w.GetMemoryMb()), deadline, time.Duration(w.GetKeepMs())*time.Millisecond,
		w.GetProbe(), w.GetInput(), &s.lease, w.GetLeaseEpoch(),
	)

	incarnation := s.links.identity.Incarnation()
	offset, registered := s.links.replica.State().Registered(s.links.identity.Name(), incarnation)

	switch {
	case id.GetSubmission() == "":
		return r.WithRejection(wire.Rejection_REJECTION_INVALID, "the start names no submission")
	case w.GetIncarnation() != incarnation:
		return r.WithRejection(wire.Rejection_REJECTION_WRONG_INCARNATION, "the start is meant for another incarnation")
	case !registered:
		return r.WithRejection(wire.Rejection_REJECTION_NOT_REGISTERED, "this incarnation is not registered")
	case w.GetPosition() <= offset:
		// A log state at position P has applied the offsets below P.
		return r.WithRejection(wire.Rejection_REJECTION_NOT_REGISTERED, "the ticket is older than the registration")
	default:
		return r
	}
}
