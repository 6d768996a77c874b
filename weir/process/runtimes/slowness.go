package runtimes

import (
	"math"
	"time"
)

const (
	// slownessWeight is the weight of the newest run time in the moving average.
	slownessWeight = 0.05
	// avoidedSlowness is the slowness from which entries use a server only when the others are full.
	avoidedSlowness = 2
	// slownessHalfLife is the time without a task in which an avoided server loses half of its slowness. Without that, one
	// that has recovered gets no task that would show it.
	slownessHalfLife = 5 * time.Second
)

// Slowness is the moving average of the run times of all kinds of tasks at one server, relative to the expected ones. It
// says that a server has turned slow within a few tasks; a server of a slow kind has a higher one, too. The zero value has
// seen no task.
type Slowness struct {
	value float64
	at    time.Duration
}

// Observe records a task that ended by itself. now is on any clock that doesn't go back. It ignores a task without an
// expected run time.
func (s *Slowness) Observe(run, expected, now time.Duration) {
	if expected <= 0 {
		return
	}

	v := s.Value(now)
	if v == 0 {
		v = 1
	}

	s.value, s.at = v+slownessWeight*(float64(run)/float64(expected)-v), now
}

// Value returns the slowness, zero if no task was seen.
func (s *Slowness) Value(now time.Duration) float64 {
	if s.value < avoidedSlowness {
		return s.value
	}

	return 1 + (s.value-1)*math.Exp2(-(now-s.at).Seconds()/slownessHalfLife.Seconds())
}
