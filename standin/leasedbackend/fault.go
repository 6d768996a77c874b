package leasedbackend

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/skylarkweir/skylarkweir/sidecar/repeatable"
)

// Fault determines how calls are answered.
type Fault uint8

// Faults of a server.
const (
	// FaultNone answers every call.
	FaultNone Fault = iota
	// FaultNoAnswer carries out calls and does not answer them.
	FaultNoAnswer
	// FaultUnresponsive neither carries out calls nor answers them.
	FaultUnresponsive
	// FaultUnhealthy rejects starts with the result that the server is unhealthy.
	FaultUnhealthy
	// FaultNotListening refuses connections and breaks the calls that wait. Tasks run on.
	FaultNotListening
	// FaultNoStop neither carries out stops nor answers them.
	FaultNoStop
	// FaultFailing fails each task that starts.
	FaultFailing
	// FaultLate does not answer starts, and carries them out later (SetLateness).
	FaultLate
)

// SetFault sets how calls are answered from now on.
func (s *Server) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.fault = f

	if f == FaultNotListening {
		s.interruptCalls()
	}
}

// SetPartialFault sets a fault that a share of the calls has from now on, from 0 to 1, beside the one of SetFault.
func (s *Server) SetPartialFault(f Fault, share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.partialFault, s.share = f, share
}

// SetLateness sets how late starts are carried out with FaultLate.
func (s *Server) SetLateness(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.lateBy = d
}

// SetSlowness sets how many times longer than their input says the tasks run that start from now on.
func (s *Server) SetSlowness(factor float64) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.slowness = factor
}

// hasFault reports whether a call has a fault.
func (s *Server) hasFault(f Fault) bool {
	return s.fault == f || s.partialFault == f && s.share > 0 && rand.Float64() < s.share //nolint:gosec // no secret
}

// startLate carries out a start whose caller has left.
func (s *Server) startLate(r repeatable.Run, input string, p repeatable.Permit) {
	s.mu.Lock()
	defer s.mu.Unlock()

	if !s.notListening() && p.Instance() == s.instance && s.suspendedAt.IsZero() {
		s.applyLeaseExpiry()

		if s.start(r, input, p) == repeatable.Started {
			s.running[r.Task()].isLate = true
		}
	}
}

// DropAnswers drops the answers to the next n starts, which are carried out.
func (s *Server) DropAnswers(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.answersToDrop = n
}

// HangNext makes the next n starts hang, whatever their input.
func (s *Server) HangNext(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.startsToHang = n
}

// RaiseToken makes the server reject every lower fencing token.
func (s *Server) RaiseToken(token int64) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.token = token
}

// StartOrphaned starts a run that no entry asked for, as a start request that arrives late does.
func (s *Server) StartOrphaned(r repeatable.Run) {
	s.mu.Lock()
	defer s.mu.Unlock()

	started := &activeRun{run: r, instance: s.instance, startedAt: time.Now()}
	s.running[r.Task()] = started
	s.history = append(s.history, started)
}

// blockIfNoAnswer blocks until the caller stops waiting if the fault is FaultNoAnswer. The call was carried out.
func (s *Server) blockIfNoAnswer(ctx context.Context) error {
	if !s.hasFault(FaultNoAnswer) {
		return nil
	}

	s.mu.Unlock()
	<-ctx.Done()
	s.mu.Lock()

	return ctx.Err()
}

func (s *Server) notListening() bool { return s.crashed || s.fault == FaultNotListening }
