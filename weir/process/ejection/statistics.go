// Package ejection judges a backend server by the results of its tasks.
package ejection

import (
	"sync"
	"time"
)

const (
	// window is the number of latest results that count.
	window = 20
	// enough is the number of results from which on a judgement is made.
	minResults = 5
	// fast is the factor by which a failure has to be shorter than the average success to count double. A backend
	// server that fails at once draws more work than the others, because it always looks idle.
	quickFailureFactor = 4
	// readmission is the number of successful probes, or of health checks if only those had failed, that ends the
	// suspicion.
	readmissionSuccesses = 3
	// unhealthyChecks is the number of failed health checks in sequence that makes a backend server suspect.
	unhealthyThreshold = 2

	minBackOff = time.Second
	maxBackOff = 30 * time.Second
)

// Statistics keeps the latest results of one backend server and whether it is suspect. The zero value has no results
// and is ready for use from any number of goroutines.
type Statistics struct {
	mu      sync.Mutex
	results [window]result
	// count is the number of valid results, next the place of the next one.
	count, nextIndex int

	suspect bool
	// unanswered is true if failed health checks are the only cause of the suspicion.
	healthChecksOnly bool
	// successes counts the successful probes or health checks since the last failed one.
	successes int
	backOff   time.Duration
	// nextProbe is the earliest time of the next probe.
	nextProbe time.Time
	// probing is the number of probes that run.
	runningProbes int
	// missed counts the failed health checks since the last good one.
	failedChecks int
}

type result struct {
	failed  bool
	runTime time.Duration
}

// Record counts the result of a task. A failure is one of the backend server, not of the task itself.
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

// BeginProbe counts a probe that was started.
func (s *Statistics) BeginProbe() {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.runningProbes++
}

// EndProbe counts the end of a probe. An undecided probe, such as a cancelled one, changes nothing else.
func (s *Statistics) EndProbe(now time.Time, failed, conclusive bool) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.runningProbes = max(0, s.runningProbes-1)

	switch {
	case !s.suspect || !conclusive:
	case failed:
		s.successes = 0
		s.healthChecksOnly = false
		// Probes that fail together are one sign of failure and lengthen the back-off once.
		if !now.Before(s.nextProbe) {
			s.backOff = min(2*s.backOff, maxBackOff)
			s.nextProbe = now.Add(s.backOff)
		}
	default:
		s.recordSuccess()
	}
}

// Check counts the result of a health check.
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

// Suspect tells whether the backend server gets probes only.
func (s *Statistics) Suspect() bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.suspect
}

// Probe tells whether a suspect backend server takes a probe at this time.
func (s *Statistics) AllowsProbe(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.suspect && s.runningProbes == 0 && s.failedChecks < unhealthyThreshold && !now.Before(s.nextProbe)
}

// FailurePermille returns the share of failures in the latest results, in 1/1000. Failures count once here.
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

// weigh returns the weight of the failures and of all results.
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

// succeed counts a sign that the backend server works. The end of the suspicion clears the results, since those from
// before would begin it again.
func (s *Statistics) recordSuccess() {
	s.successes++
	if s.successes >= readmissionSuccesses && s.failedChecks < unhealthyThreshold {
		s.suspect, s.healthChecksOnly = false, false
		s.count, s.nextIndex = 0, 0
	}
}
