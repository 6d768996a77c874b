// Package estimate predicts run times from those measured lately, since declared run times are often far off.
package estimate

import (
	"sync"
	"time"

	metrics "github.com/rcrowley/go-metrics"
)

const (
	// The size and decay of a sample, as the library recommends for values of the last minutes.
	sampleSize  = 1028
	sampleAlpha = 0.015
	// least is the number of run times without which nothing is predicted.
	least = 20
	// fresh is how long percentiles are kept, since each needs a sorted copy of the sample.
	fresh = 250 * time.Millisecond

	median = 0.5
	high   = 0.9
)

// RunTimes predicts the run time of each kind. The zero value knows nothing; it may be used from any number of
// goroutines.
type RunTimes struct {
	mu    sync.Mutex
	kinds map[string]*kind
}

// kind is the sample of one kind.
type kind struct {
	sample metrics.Sample
	// at is when typical and long were worked out.
	at            time.Time
	typical, long time.Duration
}

// Observe adds the run time of a task that has ended by itself.
func (r *RunTimes) Observe(name string, run time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()

	k := r.kinds[name]
	if k == nil {
		if r.kinds == nil {
			r.kinds = map[string]*kind{}
		}

		k = &kind{sample: metrics.NewExpDecaySample(sampleSize, sampleAlpha)}
		r.kinds[name] = k
	}

	k.sample.Update(int64(run))
}

// Typical returns the median, and zero if it is not known.
func (r *RunTimes) Typical(name string, now time.Time) time.Duration {
	typical, _ := r.predict(name, now)

	return typical
}

// Long returns the time within which nine of ten tasks end, and zero if it is not known.
func (r *RunTimes) Long(name string, now time.Time) time.Duration {
	_, long := r.predict(name, now)

	return long
}

func (r *RunTimes) predict(name string, now time.Time) (typical, long time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()

	k := r.kinds[name]
	if k == nil || k.sample.Count() < least {
		return 0, 0
	}

	if now.Sub(k.at) >= fresh {
		p := k.sample.Percentiles([]float64{median, high})
		k.at, k.typical, k.long = now, time.Duration(p[0]), time.Duration(p[1])
	}

	return k.typical, k.long
}
