package leasedbackend

import (
	"context"

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

	s.running[r.Task()] = &activeRun{run: r}
}

// blockIfNoAnswer blocks until the caller stops waiting if the fault is FaultNoAnswer. The call was carried out.
func (s *Server) blockIfNoAnswer(ctx context.Context) error {
	if s.fault != FaultNoAnswer {
		return nil
	}

	s.mu.Unlock()
	<-ctx.Done()
	s.mu.Lock()

	return ctx.Err()
}

func (s *Server) notListening() bool { return s.crashed || s.fault == FaultNotListening }
