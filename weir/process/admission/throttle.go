package admission

import (
	"math/rand/v2"
	"time"

	"github.com/skylarkweir/skylarkweir/weir/process/reservation"
)

const (
	// throttleBuckets and throttleBucketTime are the window over which a throttle counts.
	throttleBuckets    = 10
	throttleBucketTime = 100 * time.Millisecond
	// throttleFactor times the part of the jobs that start, of those whose fate is known, is the part that is let in. So nothing is
	// refused while more than 77 in 100 start.
	throttleFactor = 1.3
	// minThrottleShare is the least part of the jobs that is let in. These show that the load has ended.
	minThrottleShare = 0.25
	// minThrottleJobs is the number of jobs of an urgency, whose fate became known within the window, from which its throttle decides.
	minThrottleJobs = 40
)

// Throttle refuses part of the jobs of an urgency at once while most of them wait in vain, as jobs that wait cost the entry messages and
// processor time and hold capacity in vain. The load that it answers is more jobs than the entry can place, because it has little
// processor time or has just returned, while others have room. The zero value refuses nothing. It is not safe for concurrent use.
type Throttle struct {
	priorities [reservation.PriorityCount]throttleWindow
}

// throttleWindow counts the jobs of an urgency by their fate.
type throttleWindow struct {
	started, failed [throttleBuckets]int
	// newest is the number of the newest bucket since the beginning of the clock.
	newest int64
}

// Refuses reports whether a job that admission lets in is refused at once. It never is while the fate of fewer than minThrottleJobs
// has become known within the window.
func (t *Throttle) Refuses(priority int, now time.Duration, random *rand.Rand) bool {
	started, failed := t.window(priority, now).sums()
	if started+failed < minThrottleJobs {
		return false
	}

	return random.Float64() >= max(minThrottleShare, throttleFactor*float64(started)/float64(started+failed))
}

// RecordStart counts a job of which the first task was launched.
func (t *Throttle) RecordStart(priority int, now time.Duration) {
	w := t.window(priority, now)
	w.started[w.newest%throttleBuckets]++
}

// RecordFailure counts a job that has ended without a launch.
func (t *Throttle) RecordFailure(priority int, now time.Duration) {
	w := t.window(priority, now)
	w.failed[w.newest%throttleBuckets]++
}

// window returns the window of a priority, moved on to now.
func (t *Throttle) window(priority int, now time.Duration) *throttleWindow {
	w := &t.priorities[reservation.ClampPriority(priority)]
	bucket := int64(now / throttleBucketTime)

	for n := max(w.newest+1, bucket-throttleBuckets+1); n <= bucket; n++ {
		w.started[n%throttleBuckets], w.failed[n%throttleBuckets] = 0, 0
	}

	w.newest = max(w.newest, bucket)

	return w
}

func (w *throttleWindow) sums() (started, failed int) {
	for n := range throttleBuckets {
		started += w.started[n]
		failed += w.failed[n]
	}

	return started, failed
}
