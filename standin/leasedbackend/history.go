package leasedbackend

import (
	"time"

	"github.com/skylarkweir/skylarkweir/sidecar/repeatable"
)

// PastRun is a run at the server, which may not have ended yet.
type PastRun struct {
	run                repeatable.Run
	instance           string
	startedAt, endedAt time.Time
	outcome            repeatable.Outcome
	isLate             bool
}

// Run returns the run.
func (r PastRun) Run() repeatable.Run { return r.run }

// Instance returns the incarnation of the server that has started it.
func (r PastRun) Instance() string { return r.instance }

// StartedAt returns when it started, on the clock of the test process.
func (r PastRun) StartedAt() time.Time { return r.startedAt }

// EndedAt returns when it ended, on the clock of the test process, and false if it goes on.
func (r PastRun) EndedAt() (time.Time, bool) { return r.endedAt, !r.endedAt.IsZero() }

// Outcome returns how it ended, Lost if the lease or the process ended, or if it goes on.
func (r PastRun) Outcome() repeatable.Outcome { return r.outcome }

// IsLate reports whether the start was carried out after its caller had left.
func (r PastRun) IsLate() bool { return r.isLate }

// History returns all runs in the order in which they started, after it has ended those whose lease has ended.
func (s *Server) History() []PastRun {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.applyLeaseExpiry()

	all := make([]PastRun, 0, len(s.history))
	for _, r := range s.history {
		all = append(all, PastRun{r.run, r.instance, r.startedAt, r.endedAt, r.outcome, r.isLate})
	}

	return all
}
