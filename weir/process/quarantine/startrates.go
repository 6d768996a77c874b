package quarantine

import (
	"math"
	"time"
)

const (
	// rateTime is the time constant of the moving average of start rates.
	rateTime = time.Second
	// minObserved is the least time over which starts are counted.
	minObserved = 100 * time.Millisecond
)

// StartRates measures how often jobs of each kind start at a backend server. The zero value has no starts. It is not safe
// for concurrent use.
type StartRates struct {
	// since is the time since which starts are counted, zero before Begin and the first one.
	since time.Duration
	kinds map[string]startRate
}

type startRate struct {
	lastJob string
	// count is the number of starts, of which those before lastStart count less with their age.
	count     float64
	lastStart time.Duration
}

// Begin begins to count starts when the server begins to accept tasks. Counted from the first start on, a kind that starts
// seldom would seem to start often at that moment.
func (r *StartRates) Begin(now time.Duration) {
	if r.since == 0 {
		r.since = now
	}
}

// Record records the start of a task of a job. Further tasks of the same job don't count.
func (r *StartRates) Record(kind, job string, now time.Duration) {
	r.Begin(now)

	if r.kinds == nil {
		r.kinds = map[string]startRate{}
	}

	k := r.kinds[kind]
	if k.lastJob == job {
		return
	}

	r.kinds[kind] = startRate{job, k.countAt(now) + 1, now}
}

// Rate returns the number of jobs of the kind that start per second.
func (r *StartRates) Rate(kind string, now time.Duration) float64 {
	observed := min(rateTime, max(now-r.since, minObserved))

	return r.kinds[kind].countAt(now) / observed.Seconds()
}

func (s startRate) countAt(now time.Duration) float64 {
	return s.count * math.Exp(-float64(now-s.lastStart)/float64(rateTime))
}
