package metrics

import gometrics "github.com/rcrowley/go-metrics"

// Parameters of the samples; go-metrics recommends them for values of about the last five minutes.
const (
	sampleSize  = 1028
	sampleAlpha = 0.015
)

// Units of histograms: how many of the integers that a histogram takes are one base unit.
const (
	Microseconds = 1e6
	Thousandths  = 1e3
)

// Histogram is a histogram of integers that is written in a base unit, such as microseconds in seconds.
type Histogram struct {
	gometrics.Histogram
	perUnit float64
}

// NewHistogram returns a histogram that is written with its values divided by perUnit.
func NewHistogram(perUnit float64) *Histogram {
	return &Histogram{gometrics.NewHistogram(gometrics.NewExpDecaySample(sampleSize, sampleAlpha)), perUnit}
}

// FunctionalCounter is a counter whose count is read from a function when the metrics are written.
type FunctionalCounter func() int64

// Count returns the present count.
func (f FunctionalCounter) Count() int64 { return f() }

// Snapshot returns the present count.
func (f FunctionalCounter) Snapshot() gometrics.Counter { return gometrics.CounterSnapshot(f()) }

// Clear panics.
func (FunctionalCounter) Clear() { panic("clear called on a functional counter") }

// Dec panics.
func (FunctionalCounter) Dec(int64) { panic("dec called on a functional counter") }

// Inc panics.
func (FunctionalCounter) Inc(int64) { panic("inc called on a functional counter") }
