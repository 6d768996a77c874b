package runtimes

import (
	"math"
	"time"
)

const (
	// maxResidual winsorizes a logarithm of a run time: one task in thirty that lasts seven times as long moves the mean by
	// 0.02, the same for all servers.
	maxResidual = 0.7
	// maxFirst bounds the first value of a cell, which has no mean to be winsorized around. With a higher bound, long tasks
	// that came first raised the reference: a label seemed fast in 4 of 100 uniform fleets.
	maxFirst = 0.7
	// maxWeight is the number of tasks after which older ones count less.
	maxWeight = 64
	// minVariance is a lower bound of the variance, since one computed from few tasks may be far too small.
	minVariance = 0.04
	// halfLife is the time in which measurements lose half of their weight. The kind of a server rarely changes.
	halfLife = 2 * time.Minute
	// staleAfter is the time without a task after which the weight of a server is cut to staleWeight. A server that was
	// slow is then tried again, and what it did before decides little.
	staleAfter  = 20 * time.Second
	staleWeight = 4
)

// cell is the winsorized mean of the logarithms of run times relative to the expected ones, of one kind at one server.
type cell struct {
	// weight is the number of tasks, aged until at.
	weight, mean, variance float64
	at                     time.Duration
	labels                 []string
}

// weightAt returns the weight at a time that is not before the last task.
func (c *cell) weightAt(now time.Duration) float64 {
	idle := max(0, now-c.at)
	w := c.weight * math.Exp2(-idle.Seconds()/halfLife.Seconds())

	if idle > staleAfter {
		w = min(w, staleWeight)
	}

	return w
}

func (c *cell) observe(x float64, now time.Duration) {
	w := c.weightAt(now)
	c.at = max(c.at, now)

	if w == 0 {
		c.weight, c.mean = 1, min(max(x, -maxFirst), maxFirst)

		return
	}

	residual := min(max(x-c.mean, -maxResidual), maxResidual)
	w = min(w+1, maxWeight)
	c.weight = w
	c.mean += residual / w
	c.variance += (residual*residual - c.variance) / w
}

// squaredError returns the squared standard error of the mean with a weight.
func (c *cell) squaredError(weight float64) float64 { return max(minVariance, c.variance) / weight }
