package metrics

import gometrics "github.com/rcrowley/go-metrics"

// Parameters of the exponentially decaying samples. go-metrics recommends them to weight the last five minutes most.
const (
	sampleSize  = 1028
	sampleAlpha = 0.015
)

// Divisors for NewHistogram: how many of the recorded integers make one base unit.
const (
	Microseconds = 1e6
	Thousandths  = 1e3
)

// Histogram is a histogram of integers that is written in a base unit: for example, it records microseconds and is
// written in seconds.
type Histogram struct {
	gometrics.Histogram
	divisor float64
}

// NewHistogram returns a histogram whose values are divided by divisor when they are written.
func NewHistogram(divisor float64) *Histogram {
	return &Histogram{gometrics.NewHistogram(gometrics.NewExpDecaySample(sampleSize, sampleAlpha)), divisor}
}

// FunctionalCounter is a read-only counter that calls a function for its count when the metrics are written.
type FunctionalCounter func() int64

// Count returns the current count.
func (f FunctionalCounter) Count() int64 { return f() }

// Snapshot returns a counter with the current count.
func (f FunctionalCounter) Snapshot() gometrics.Counter { return gometrics.CounterSnapshot(f()) }

// Clear panics, since the counter is read-only.
func (FunctionalCounter) Clear() { panic("clear called on a functional counter") }

// Dec panics, since the counter is read-only.
func (FunctionalCounter) Dec(int64) { panic("dec called on a functional counter") }

// Inc panics, since the counter is read-only.
func (FunctionalCounter) Inc(int64) { panic("inc called on a functional counter") }
