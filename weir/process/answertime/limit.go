// Package answertime decides how long to wait for the answer to a call before another try of it is sent.
package answertime

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// MinLimit and MaxLimit bound the time after which a call without an answer is tried again. Without measurements it is
// MaxLimit.
const (
	MinLimit = 12 * time.Millisecond
	MaxLimit = 200 * time.Millisecond
)

const (
	// quantile is the part of the answers, in percent, that arrive within the measured time. marginFactor times that time
	// is waited, so that a server that becomes somewhat slower is not called twice as often.
	quantile     = 95
	marginFactor = 2
	// windowAnswers is the number of answers after which a window of the histogram ends; windowCount windows count.
	windowAnswers = 50
	windowCount   = 4
	// lateAnswers is the number of answers in a row above the limit after which the server counts as slower.
	lateAnswers = 3
	// minAnswers is the number of answers below which nothing is measured.
	minAnswers = 20
	// unit is the resolution of the histogram, significantDigits the precision of its values.
	unit              = 100 * time.Microsecond
	significantDigits = 1
)

// Limit is the time to wait for the answers of one server. It follows the times of earlier answers, also of those that
// arrive after the limit. The zero value has no measurements. Its methods may be called from several goroutines.
type Limit struct {
	mu sync.Mutex
	// times has the latest answers in units of unit, nil before the first.
	times *hdrhistogram.WindowedHistogram
	// count is the number of answers in the current window, total their number since the start.
	count, total int
	// late is the number of answers above the limit since the last one below it, quickestLate the shortest of them.
	late         int
	quickestLate time.Duration
	// current is the limit that follows from the answers up to the last window, zero before minAnswers answers.
	current time.Duration
}

// Record records how long an answer took.
func (l *Limit) Record(took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()

	if l.times == nil {
		l.times = hdrhistogram.NewWindowed(windowCount, 1, int64(MaxLimit/unit), significantDigits)
	}

	// The value is within the bounds of the histogram.
	_ = l.times.Current.RecordValue(int64(min(max(took, unit), MaxLimit) / unit))

	l.count++
	l.total++

	if l.total == minAnswers || l.count == windowAnswers {
		l.measure()
	}

	l.recordLate(took)

	if l.count == windowAnswers {
		l.count = 0
		l.times.Rotate()
	}
}

// recordLate raises the limit after some late answers in a row, before the histogram shows that the server is slower.
func (l *Limit) recordLate(took time.Duration) {
	if l.current == 0 || took <= l.current {
		l.late = 0

		return
	}

	if l.late == 0 || took < l.quickestLate {
		l.quickestLate = took
	}

	l.late++

	if l.late >= lateAnswers {
		l.current = min(marginFactor*l.quickestLate, MaxLimit)
		l.late = 0
	}
}

func (l *Limit) measure() {
	if l.total < minAnswers {
		return
	}

	high := time.Duration(l.times.Merge().ValueAtQuantile(quantile)) * unit
	l.current = min(max(marginFactor*high, MinLimit), MaxLimit)
}

// Current returns how long to wait for an answer before the call is tried again.
func (l *Limit) Current() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()

	if l.current == 0 {
		return MaxLimit
	}

	return l.current
}
