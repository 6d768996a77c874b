package leasedbackend

import (
	"time"

	"github.com/skylarkweir/skylarkweir/sidecar/repeatable"
)

// crashDelay is the time from the start of a task with the input Crash to the end of the server's process.
const crashDelay = 10 * time.Millisecond

// Crash ends the process of the server with all that it runs. Calls are not delivered until Restart.
func (s *Server) Crash() {
	s.mu.Lock()
	defer s.mu.Unlock()

	if s.crashed {
		return
	}

	s.applyLeaseExpiry()

	s.crashed = true
	s.crashes++

	for _, r := range s.running {
		if r.timer != nil {
			r.timer.Stop()
		}

		r.endedAt = time.Now()
	}

	clear(s.running)
	s.interruptCalls()
}

// Restart begins a new incarnation after a crash, which knows nothing of the one before. Counts of starts go on.
func (s *Server) Restart(instance string) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.instance, s.startedAt, s.crashed = instance, time.Now(), false
	s.token, s.leaseEnd, s.ended, s.lastEnd = 0, 0, nil, 0
	s.suspendedFor = 0
	s.highestRun = map[repeatable.Task]int64{}
}

// Crashed reports whether the process has ended and was not restarted.
func (s *Server) Crashed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.crashed
}

// Crashes returns how often the process has ended.
func (s *Server) Crashes() int {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.crashes
}

// interruptCalls wakes the calls that wait for the end of a run.
func (s *Server) interruptCalls() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// crashWith ends the process of the server unless the run has ended before.
func (s *Server) crashWith(r *activeRun) {
	s.mu.Lock()
	runs := s.running[r.run.Task()] == r && s.suspendedAt.IsZero()
	s.mu.Unlock()

	if runs {
		s.Crash()
	}
}
