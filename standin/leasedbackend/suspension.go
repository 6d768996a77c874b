package leasedbackend

import (
	"context"
	"time"
)

// Suspend makes the server's clock and its runs stand still, as on an instance that is suspended. Calls wait for Resume.
func (s *Server) Suspend() {
	s.mu.Lock()
	defer s.mu.Unlock()

	if !s.suspendedAt.IsZero() {
		return
	}

	s.suspendedAt, s.resumed = time.Now(), make(chan struct{})

	for _, r := range s.running {
		if r.timer != nil {
			r.timer.Stop()
			r.remaining = time.Until(r.due)
		}
	}
}

// Resume ends the suspension.
func (s *Server) Resume() {
	s.mu.Lock()
	defer s.mu.Unlock()

	if s.suspendedAt.IsZero() {
		return
	}

	s.suspendedFor += time.Since(s.suspendedAt)
	s.suspendedAt = time.Time{}
	close(s.resumed)

	for _, r := range s.running {
		if r.timer != nil {
			r.schedule(r.remaining, r.act)
		}
	}
}

// awaitResumed waits until the server is not suspended. It unlocks the mutex while it waits.
func (s *Server) awaitResumed(ctx context.Context) error {
	for !s.suspendedAt.IsZero() {
		resumed := s.resumed

		s.mu.Unlock()
		select {
		case <-resumed:
		case <-ctx.Done():
		}
		s.mu.Lock()

		if ctx.Err() != nil {
			return ctx.Err()
		}
	}

	return nil
}

// schedule makes the run act after a time on the server's clock.
func (r *activeRun) schedule(d time.Duration, act func()) {
	r.due, r.act = time.Now().Add(d), act
	r.timer = time.AfterFunc(d, act)
}
