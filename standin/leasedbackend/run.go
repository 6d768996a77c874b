package leasedbackend

import (
	"time"

	"github.com/skylarkweir/skylarkweir/sidecar/repeatable"
)

// activeRun is a run at the server.
type activeRun struct {
	run repeatable.Run
	// timer calls act at the time due; it is nil for a run that hangs. remaining is the time left when the server was
	// suspended.
	timer     *time.Timer
	due       time.Time
	act       func()
	remaining time.Duration
	// instance is the incarnation that runs it. startedAt and endedAt are on the clock of the test process; endedAt is zero and
	// outcome is Lost until the end.
	instance           string
	startedAt, endedAt time.Time
	outcome            repeatable.Outcome
	// isLate is true if the start was carried out after its caller had left.
	isLate bool
}

func (s *Server) start(r repeatable.Run, input string, p repeatable.Permit) repeatable.StartResult {
	current := s.running[r.Task()]

	switch {
	case s.hasFault(FaultUnhealthy):
		return repeatable.Unhealthy
	case p.Token() < s.token:
		return repeatable.Fenced
	case p.LeaseEnd() <= s.clock():
		return repeatable.LeaseExpired
	case current != nil && current.run == r:
		return repeatable.Started
	case current != nil || r.Number() <= s.highestRun[r.Task()]:
		return repeatable.Outdated
	}

	s.token = p.Token()
	s.renewLease(p.LeaseEnd())

	started := &activeRun{run: r, instance: s.instance, startedAt: time.Now()}
	s.running[r.Task()] = started
	s.history = append(s.history, started)
	s.startCounts[r.Task()]++
	s.recordPeaks(r.Task().Job())

	if s.startsToHang > 0 {
		s.startsToHang--
		input = Hang
	}

	if s.hasFault(FaultFailing) {
		input = Fail
	}

	switch input {
	case Hang:
	case Crash:
		started.schedule(crashDelay, func() { s.crashWith(started) })
	case Fail:
		started.schedule(time.Millisecond, func() { s.finish(started, repeatable.Failed) })
	default:
		d, err := time.ParseDuration(input)
		if err != nil {
			d = time.Millisecond
		}

		if s.slowness > 1 {
			d = time.Duration(float64(d) * s.slowness)
		}

		started.schedule(d, func() { s.finish(started, repeatable.Done) })
	}

	return repeatable.Started
}

// finish ends a run whose time is over, unless it has ended before.
func (s *Server) finish(r *activeRun, outcome repeatable.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()

	if !s.suspendedAt.IsZero() {
		return
	}

	s.applyLeaseExpiry()

	if s.running[r.run.Task()] == r {
		s.end(r.run.Task(), outcome)
	}
}

// recordPeaks records how many tasks run at the same time, of all jobs and of the one whose task has started.
func (s *Server) recordPeaks(id string) {
	s.peakRunning = max(s.peakRunning, len(s.running))

	ofJob := 0

	for t := range s.running {
		if t.Job() == id {
			ofJob++
		}
	}

	s.peakOfJob[id] = max(s.peakOfJob[id], ofJob)
}

func (s *Server) end(t repeatable.Task, outcome repeatable.Outcome) {
	r := s.running[t]
	if r == nil {
		return
	}

	if r.timer != nil {
		r.timer.Stop()
	}

	delete(s.running, t)
	r.outcome, r.endedAt = outcome, time.Now()

	if outcome == repeatable.Lost && s.leaseEnd > 0 && s.clock() > s.leaseEnd {
		// The lease may have ended before it was looked at.
		r.endedAt = r.endedAt.Add(s.leaseEnd - s.clock())
	}

	s.highestRun[t] = max(s.highestRun[t], r.run.Number())
	s.lastEnd++
	s.ended = append(s.ended, repeatable.NewEndedRun(s.lastEnd, r.run, outcome))

	s.interruptCalls()
}
