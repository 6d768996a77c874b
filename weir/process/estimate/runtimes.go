// Package estimate predicts run times from recent measurements, since declared run times are often far off.
package estimate

import (
	"sync"
	"time"

	metrics "github.com/rcrowley/go-metrics"
)

const (
	// sampleSize and sampleAlpha are the size and decay factor that the library recommends for values of the last
	// minutes.
	sampleSize  = 1028
	sampleAlpha = 0.015
	// minSamples is the number of measured run times below which nothing is predicted.
	minSamples = 20
	// percentileMaxAge is how long a computed percentile is reused, since computing it sorts a copy of the sample.
	percentileMaxAge = 250 * time.Millisecond

	percentile = 0.9
)

// RunTimes predicts the run time of each kind of task. The zero value is ready for use; it is safe for concurrent use.
type RunTimes struct {
	mu    sync.Mutex
	kinds map[string]*kindSample
}

// kindSample is the run time sample of one kind.
type kindSample struct {
	sample metrics.Sample
	// computedAt is when p90 was computed.
	computedAt time.Time
	p90        time.Duration
}

// Observe adds the run time of a task that ended by itself, not of one that was stopped.
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

// P90 returns the 90th percentile of the run times of a kind, and zero with fewer than minSamples run times.
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
