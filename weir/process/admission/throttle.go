package admission

import (
	"maps"
	"math/rand/v2"
	"time"
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
	// minThrottleJobs is the number of jobs of a kind, whose fate became known within the window, from which its throttle decides.
	minThrottleJobs = 40
	// maxThrottleKinds limits the kinds that are counted. Of others nothing is refused.
	maxThrottleKinds = 256
)

// Throttle refuses part of the jobs of a kind at once while most of them wait in vain, as jobs that wait cost the entry messages and
// processor time and hold capacity in vain. The load that it answers is more jobs than the entry can place, because it has little
// processor time or has just returned, while others have room. The zero value refuses nothing. It is not safe for concurrent use.
type Throttle struct {
	// kinds has at most maxThrottleKinds windows.
	kinds map[string]*throttleWindow
}

// throttleWindow counts the jobs of a kind by their fate.
type throttleWindow struct {
	started, failed [throttleBuckets]int
	// newest is the number of the newest bucket since the beginning of the clock.
	newest int64
}

// Refuses reports whether a job that admission lets in is refused at once. It never is while the fate of fewer than minThrottleJobs
// has become known within the window.
func (t *Throttle) Refuses(kind string, now time.Duration, random *rand.Rand) bool {
	w := t.kinds[kind]
	if w == nil {
		return false
	}

	w.advance(now)

	started, failed := w.sums()
	if started+failed < minThrottleJobs {
		return false
	}

	return random.Float64() >= max(minThrottleShare, throttleFactor*float64(started)/float64(started+failed))
}

// Kinds returns the number of kinds that are counted.
func (t *Throttle) Kinds() int { return len(t.kinds) }

// RecordStart counts a job of which the first task was launched.
func (t *Throttle) RecordStart(kind string, now time.Duration) {
	if w := t.window(kind, now); w != nil {
		w.started[w.newest%throttleBuckets]++
	}
}

// RecordFailure counts a job that has ended without a launch.
func (t *Throttle) RecordFailure(kind string, now time.Duration) {
	if w := t.window(kind, now); w != nil {
		w.failed[w.newest%throttleBuckets]++
	}
}

// window returns the window of a kind, moved on to now, or nil if the kind is not counted.
func (t *Throttle) window(kind string, now time.Duration) *throttleWindow {
	w := t.kinds[kind]
	if w == nil {
		w = t.add(kind, now)
	}

	if w != nil {
		w.advance(now)
	}

	return w
}

// add adds a kind in place of those of which no job's fate became known within the window, if there are too many kinds.
func (t *Throttle) add(kind string, now time.Duration) *throttleWindow {
	if len(t.kinds) >= maxThrottleKinds {
		maps.DeleteFunc(t.kinds, func(_ string, w *throttleWindow) bool { return w.isOld(now) })
	}

	if len(t.kinds) >= maxThrottleKinds {
		return nil
	}

	if t.kinds == nil {
		t.kinds = map[string]*throttleWindow{}
	}

	w := &throttleWindow{}
	t.kinds[kind] = w

	return w
}

func bucketAt(now time.Duration) int64 { return int64(now / throttleBucketTime) }

func (w *throttleWindow) isOld(now time.Duration) bool {
	return w.newest+throttleBuckets <= bucketAt(now)
}

// advance moves the window on to now.
func (w *throttleWindow) advance(now time.Duration) {
	bucket := bucketAt(now)

	for n := max(w.newest+1, bucket-throttleBuckets+1); n <= bucket; n++ {
		w.started[n%throttleBuckets], w.failed[n%throttleBuckets] = 0, 0
	}

	w.newest = max(w.newest, bucket)
}

func (w *throttleWindow) sums() (started, failed int) {
	for n := range throttleBuckets {
		started += w.started[n]
		failed += w.failed[n]
	}

	return started, failed
}
