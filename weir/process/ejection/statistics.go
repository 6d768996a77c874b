// Package ejection decides from the results of tasks and health checks whether a backend server is suspect. A suspect
// backend server receives only probes, until enough of them or of its health checks succeed.
package ejection

import (
	"sync"
	"time"
)

const (
	// window is the number of latest task results that are evaluated.
	window = 20
	// minResults is the number of task results below which failed tasks do not make a backend server suspect.
	minResults = 5
	// quickFailureFactor is the factor by which a failed run has to be shorter than the average successful run to count
	// double. A backend server that fails at once attracts more tasks than the others, because it always looks idle.
	quickFailureFactor = 4
	// readmissionSuccesses is the number of consecutive successful probes after which a backend server is no longer
	// suspect. If only health checks had failed, successful health checks count instead.
	readmissionSuccesses = 3
	// unhealthyThreshold is the number of consecutive failed health checks that makes a backend server suspect.
	unhealthyThreshold = 2

	// minBackOff and maxBackOff bound the time between probes, which doubles with each failure.
	minBackOff = time.Second
	maxBackOff = 30 * time.Second
)

// Statistics holds the latest results of one backend server and whether it is suspect. The zero value is ready for use;
// it is safe for concurrent use.
type Statistics struct {
	mu      sync.Mutex
	results [window]result
	// count is the number of valid results; nextIndex is where the next one is stored.
	count, nextIndex int

	suspect bool
	// healthChecksOnly is true while failed health checks are the only reason that the backend server is suspect.
	healthChecksOnly bool
	// successes counts the successful probes or health checks since the last failure.
	successes int
	backOff   time.Duration
	// nextProbe is the earliest time of the next probe.
	nextProbe     time.Time
	runningProbes int
	// failedChecks counts the failed health checks since the last successful one.
	failedChecks int
}

type result struct {
	failed  bool
	runTime time.Duration
}

// RecordResult adds the result of a task. failed means that the backend server failed, not the task itself.
func (s *Statistics) RecordResult(now time.Time, failed bool, runTime time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.results[s.nextIndex] = result{failed, runTime}
	s.nextIndex = (s.nextIndex + 1) % window
	s.count = min(s.count+1, window)

	if !s.suspect && s.count >= minResults {
		if failures, total := s.weighResults(); 2*failures > total {
			s.eject(now)
		}
	}
}

// BeginProbe records the start of a probe.
func (s *Statistics) BeginProbe() {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.runningProbes++
}

// EndProbe records the end of a probe. An inconclusive probe, such as a cancelled one, counts neither as a success nor
// as a failure.
func (s *Statistics) EndProbe(now time.Time, failed, conclusive bool) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.runningProbes = max(0, s.runningProbes-1)

	switch {
	case !s.suspect || !conclusive:
	case failed:
		s.successes = 0
		s.healthChecksOnly = false
		// Probes that fail together count as one failure and lengthen the back-off once.
		if !now.Before(s.nextProbe) {
			s.backOff = min(2*s.backOff, maxBackOff)
			s.nextProbe = now.Add(s.backOff)
		}
	default:
		s.recordSuccess()
	}
}

// RecordHealthCheck adds the result of a health check.
func (s *Statistics) RecordHealthCheck(now time.Time, healthy bool) {
	s.mu.Lock()
	defer s.mu.Unlock()

	if healthy {
		s.failedChecks = 0
		if s.healthChecksOnly {
			s.recordSuccess()
		}

		return
	}

	s.failedChecks++
	if s.failedChecks >= unhealthyThreshold && !s.suspect {
		s.eject(now)
		s.healthChecksOnly = true
	}

	if s.healthChecksOnly {
		s.successes = 0
	}
}

// Suspect reports whether the backend server gets probes only.
func (s *Statistics) Suspect() bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.suspect
}

// AllowsProbe reports whether the backend server is suspect and may get a probe now.
func (s *Statistics) AllowsProbe(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.suspect && s.runningProbes == 0 && s.failedChecks < unhealthyThreshold && !now.Before(s.nextProbe)
}

// FailurePermille returns the share of failures in the latest results, in 1/1000. Quick failures do not count double
// here.
func (s *Statistics) FailurePermille() int {
	s.mu.Lock()
	defer s.mu.Unlock()

	if s.count == 0 {
		return 0
	}

	failures := 0

	for _, r := range s.results[:s.count] {
		if r.failed {
			failures++
		}
	}

	return failures * 1000 / s.count
}

// weighResults returns the total weight of the failures and of all results.
func (s *Statistics) weighResults() (failures, total int) {
	var successTime time.Duration

	successes := 0

	for _, r := range s.results[:s.count] {
		if !r.failed {
			successTime += r.runTime
			successes++
		}
	}

	for _, r := range s.results[:s.count] {
		weight := 1
		if r.failed && successes > 0 && r.runTime*quickFailureFactor < successTime/time.Duration(successes) {
			weight = 2
		}

		if r.failed {
			failures += weight
		}

		total += weight
	}

	return failures, total
}

func (s *Statistics) eject(now time.Time) {
	s.suspect = true
	s.healthChecksOnly = false
	s.successes = 0
	s.backOff = minBackOff
	s.nextProbe = now.Add(s.backOff)
}

// recordSuccess counts a successful probe or health check. Readmission clears the results, since the earlier failures
// would make the backend server suspect again at once.
func (s *Statistics) recordSuccess() {
	s.successes++
	if s.successes >= readmissionSuccesses && s.failedChecks < unhealthyThreshold {
		s.suspect, s.healthChecksOnly = false, false
		s.count, s.nextIndex = 0, 0
	}
}
