package ejection_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/skylarkweir/skylarkweir/weir/process/ejection"
)

var origin = time.Unix(1_000_000, 0)

func at(seconds float64) time.Time { return origin.Add(time.Duration(seconds * float64(time.Second))) }

func record(s *ejection.Statistics, failed bool, count int, runTime time.Duration) {
	for range count {
		s.RecordResult(origin, failed, runTime)
	}
}

// Guards against an ejection on too few results or at the wrong failure rate, and against quick failures that do not
// count double.
func TestSuspicion(t *testing.T) {
	for _, c := range []struct {
		title                          string
		successes, failures            int
		successRunTime, failureRunTime time.Duration
		suspect                        bool
	}{
		{"too few results", 0, 4, 0, time.Second, false},
		{"all fail", 0, 5, 0, time.Second, true},
		{"half fail", 3, 3, time.Second, time.Second, false},
		{"more than half fail", 3, 4, time.Second, time.Second, true},
		{"a third fails quickly, which counts as half", 4, 2, time.Second, time.Millisecond, false},
		{"more than a third fails quickly", 4, 3, time.Second, time.Millisecond, true},
	} {
		is := is.New(t)

		var s ejection.Statistics

		record(&s, false, c.successes, c.successRunTime)
		record(&s, true, c.failures, c.failureRunTime)
		t.Log(c.title)
		is.Equal(s.Suspect(), c.suspect)
		is.Equal(s.FailurePermille(), c.failures*1000/(c.successes+c.failures))
	}
}

// Guards against probes that are sent all at once or without back-off, and against a readmission after fewer than three
// consecutive successes.
func TestProbesAndReadmission(t *testing.T) {
	is := is.New(t)

	var s ejection.Statistics

	is.True(!s.AllowsProbe(origin))
	record(&s, true, 5, time.Second)
	is.True(!s.AllowsProbe(at(0.9)))
	is.True(s.AllowsProbe(at(1)))

	s.BeginProbe()
	is.True(!s.AllowsProbe(at(1)))
	s.EndProbe(at(1), true, true)
	is.True(!s.AllowsProbe(at(2.9)))
	is.True(s.AllowsProbe(at(3)))

	now := 3.0
	for range 10 {
		s.BeginProbe()
		s.EndProbe(at(now), true, true)

		now += 30
		is.True(s.AllowsProbe(at(now))) // the back-off is at most 30 s
	}

	is.True(!s.AllowsProbe(at(now - 1)))

	for _, failed := range []bool{false, false, true, false, false} {
		s.BeginProbe()
		s.EndProbe(at(now), failed, true)
		now += 30
	}

	s.BeginProbe()
	s.EndProbe(at(now), false, false) // a cancelled probe is inconclusive
	is.True(s.Suspect())

	s.BeginProbe()
	s.EndProbe(at(now), false, true)
	is.True(!s.Suspect())

	// The results from before the readmission no longer count.
	record(&s, true, 4, time.Second)
	is.True(!s.Suspect())
}

// Guards against a backend server that is down and still gets tasks, and against one that stays ejected after it was
// only late with its answers to health checks.
func TestHealthChecks(t *testing.T) {
	is := is.New(t)

	var s ejection.Statistics

	s.RecordHealthCheck(origin, false)
	is.True(!s.Suspect())
	s.RecordHealthCheck(origin, false)
	is.True(s.Suspect())
	is.True(!s.AllowsProbe(at(5))) // no probe while health checks fail

	for range 3 {
		is.True(s.Suspect())
		s.RecordHealthCheck(at(5), true)
	}

	is.True(!s.Suspect())

	// Successful health checks do not make up for failed tasks.
	record(&s, true, 5, time.Second)

	for range 10 {
		s.RecordHealthCheck(at(6), true)
	}

	is.True(s.Suspect())
}
