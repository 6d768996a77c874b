package capacity

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/skylarkweir/skylarkweir/sidecar/repeatable"
)

// callRecorder records the starts that are sent through a client of a backend server. A start is settled once a try of it is
// answered, or once a list has its run.
type callRecorder struct {
	repeatable.Backend

	mu     sync.Mutex
	starts map[repeatable.Task]*recordedStart
}

type recordedStart struct {
	firstTry time.Time
	// settledAfter is zero until the start is settled.
	settledAfter time.Duration
	tries        int
}

func newCallRecorder(b repeatable.Backend) *callRecorder {
	return &callRecorder{Backend: b, starts: map[repeatable.Task]*recordedStart{}}
}

// Start records a try.
func (c *callRecorder) Start(
	ctx context.Context, r repeatable.Run, input string, p repeatable.Permit,
) (repeatable.StartAnswer, error) {
	c.mu.Lock()
	s := c.starts[r.Task()]

	if s == nil {
		s = &recordedStart{firstTry: time.Now()}
		c.starts[r.Task()] = s
	}

	s.tries++
	c.mu.Unlock()

	answer, err := c.Backend.Start(ctx, r, input, p)
	if err == nil {
		c.settle(r)
	}

	return answer, err
}

// Watch records which starts the list settles.
func (c *callRecorder) Watch(
	ctx context.Context, lastEnd uint64, wait time.Duration, p repeatable.Permit,
) (repeatable.WatchResult, error) {
	result, err := c.Backend.Watch(ctx, lastEnd, wait, p)

	for _, r := range result.Running() {
		c.settle(r)
	}

	for _, e := range result.Ended() {
		c.settle(e.Run())
	}

	return result, err
}

func (c *callRecorder) settle(r repeatable.Run) {
	c.mu.Lock()
	defer c.mu.Unlock()

	if s := c.starts[r.Task()]; s != nil && s.settledAfter == 0 {
		s.settledAfter = max(1, time.Since(s.firstTry))
	}
}

// reset forgets the starts so far. It returns those that are settled, and the others that are older than minAge.
func (c *callRecorder) reset(minAge time.Duration) []recordedStart {
	c.mu.Lock()
	defer c.mu.Unlock()

	starts := make([]recordedStart, 0, len(c.starts))

	for _, s := range c.starts {
		if s.settledAfter > 0 || time.Since(s.firstTry) > minAge {
			starts = append(starts, *s)
		}
	}

	clear(c.starts)

	return starts
}

// callFigures are the mean number of tries, the mean and the 99th percentile of the times, in milliseconds, until the starts
// were settled, and the percentage of those that were not.
func callFigures(starts []recordedStart) (tries, mean, high, unsettled float64) {
	const percent, quantile = 100, 0.99

	var times []time.Duration

	sum := time.Duration(0)

	for _, s := range starts {
		tries += float64(s.tries)
		sum += s.settledAfter

		if s.settledAfter > 0 {
			times = append(times, s.settledAfter)
		}
	}

	if len(times) == 0 {
		return 0, 0, 0, percent
	}

	slices.Sort(times)

	return tries / float64(len(starts)), (sum / time.Duration(len(times))).Seconds() * 1e3,
		times[int(float64(len(times)-1)*quantile)].Seconds() * 1e3,
		float64(len(starts)-len(times)) / float64(len(starts)) * percent
}
