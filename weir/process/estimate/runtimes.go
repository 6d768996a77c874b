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
	minSamples = 20
	// fresh is how long a percentile is kept, since it needs a sorted copy of the sample.
	percentileMaxAge = 250 * time.Millisecond

	percentile = 0.9
)

// RunTimes predicts the run time of each kind. The zero value knows nothing; it may be used from any number of
// goroutines.
type RunTimes struct {
	mu    sync.Mutex
	kinds map[string]*kindSample
}

// kind is the sample of one kind.
type kindSample struct {
	sample metrics.Sample
	// at is when long was worked out.
	computedAt time.Time
	p90        time.Duration
}

// Observe adds the run time of a task that has ended by itself.
func (r *RunTimes) Observe(kind string, runTime time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()

	k := r.kinds[kind]
	if k == nil {
		if r.kinds == nil {
			r.kinds = map[string]*kindSample{}
		}

		k = &kindSample{sample: metrics.NewExpDecaySample(sampleSize, sampleAlpha)}
		r.kinds[kind] = k
	}

	k.sample.Update(int64(runTime))
}

// Long returns the time within which nine of ten tasks end, and zero if it is not known.
func (r *RunTimes) P90(kind string, now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()

	k := r.kinds[kind]
	if k == nil || k.sample.Count() < minSamples {
		return 0
	}

	if now.Sub(k.computedAt) >= percentileMaxAge {
		k.computedAt, k.p90 = now, time.Duration(k.sample.Percentile(percentile))
	}

	return k.p90
}
