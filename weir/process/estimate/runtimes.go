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
	// fresh is how long a percentile is kept, since it needs a sorted copy of the sample.
	fresh = 250 * time.Millisecond

	long = 0.9
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
	// at is when long was worked out.
	at   time.Time
	long time.Duration
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

// Long returns the time within which nine of ten tasks end, and zero if it is not known.
func (r *RunTimes) Long(name string, now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()

	k := r.kinds[name]
	if k == nil || k.sample.Count() < least {
		return 0
	}

	if now.Sub(k.at) >= fresh {
		k.at, k.long = now, time.Duration(k.sample.Percentile(long))
	}

	return k.long
}
