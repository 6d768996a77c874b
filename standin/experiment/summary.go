package experiment

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/skylarkweir/skylarkweir/standin/emulator"
)

// scenario is a load under a rule, the sum of its runs over the seeds.
type scenario struct {
	load  Load
	rule  Rule
	kinds []kindSummary
	// bins has the counts of each interval of binLength, by arrival.
	bins []bin
	// usage has the sum of the used parts of the CPU in each interval, samples their number.
	usage, samples []float64
}

// kindSummary sums up the jobs of a kind.
type kindSummary struct {
	name                        string
	jobs, onTime, late, refused int
	// refusedUnknown and refusedKnown count the refused jobs for which capacity was free, unknown and known to the entry.
	refusedUnknown, refusedKnown int
	// bound is the number of jobs, parts included, that can be on time.
	bound float64
	// stretch holds the response times in thousandths of the ideal ones.
	stretch *hdrhistogram.Histogram
}

// bin counts the jobs that arrived in an interval.
type bin struct {
	jobs, onTime int
	// refusals counts by cause.
	refusals map[string]int
}

const (
	// binLength is the interval of the figures over time.
	binLength = 500 * time.Millisecond
	// maxStretch is the highest response time that is distinguished, in thousandths of the ideal one.
	maxStretch = 100_000
	// stretchDigits is the precision of response times in decimal digits.
	stretchDigits = 2
)

// summarize sums up the runs over the seeds, in the order of the runs.
func summarize(runs []Run) []*scenario {
	var all []*scenario

	for _, r := range runs {
		n := slices.IndexFunc(all, func(s *scenario) bool {
			return s.load.name == r.load.name && s.rule.name == r.rule.name
		})
		if n < 0 {
			n = len(all)
			all = append(all, &scenario{load: r.load, rule: r.rule})
		}

		all[n].add(r.result, r.bounds.Kinds())
	}

	return all
}

func (s *scenario) add(r emulator.Result, bounds []float64) {
	for n, kr := range r.Kinds() {
		if n == len(s.kinds) {
			s.kinds = append(s.kinds, kindSummary{
				name: kr.Name(), stretch: hdrhistogram.New(1, maxStretch, stretchDigits),
			})
		}

		s.kinds[n].bound += bounds[n] * float64(kr.Jobs())
	}

	for _, j := range r.Jobs() {
		s.kinds[j.Kind()].add(j)
		s.binAt(j.ArrivedAt()).add(j)
	}

	for _, u := range r.Usage() {
		n := int(u.At() / binLength)
		for len(s.usage) <= n {
			s.usage, s.samples = append(s.usage, 0), append(s.samples, 0)
		}

		s.usage[n] += u.Part()
		s.samples[n]++
	}
}

func (s *scenario) binAt(at time.Duration) *bin {
	n := int(at / binLength)
	for len(s.bins) <= n {
		s.bins = append(s.bins, bin{refusals: map[string]int{}})
	}

	return &s.bins[n]
}

func (b *bin) add(j emulator.JobResult) {
	b.jobs++

	switch j.Ending() {
	case emulator.OnTime:
		b.onTime++
	case emulator.Refused:
		b.refusals[j.Cause()]++
	case emulator.Late, emulator.Unfinished, emulator.GivenUp:
	}
}

func (k *kindSummary) add(j emulator.JobResult) {
	k.jobs++

	switch j.Ending() {
	case emulator.OnTime:
		k.onTime++
	case emulator.Late:
		k.late++
	case emulator.Refused:
		k.refused++
		k.addRefusal(j.Capacity())
	case emulator.Unfinished, emulator.GivenUp:
	}

	if j.ResponseTime() > 0 {
		_ = k.stretch.RecordValue(min(maxStretch, max(1, int64(1000*j.ResponseTime()/j.Ideal()))))
	}
}

func (k *kindSummary) addRefusal(c emulator.Capacity) {
	switch c {
	case emulator.UnknownCapacity:
		k.refusedUnknown++
	case emulator.KnownCapacity:
		k.refusedKnown++
	case emulator.NoCapacity:
	}
}

// share returns n as a share of the jobs.
func (k kindSummary) share(n int) float64 { return float64(n) / float64(max(1, k.jobs)) }

// shareOfBound returns the jobs on time as a share of those that can be.
func (k kindSummary) shareOfBound() float64 {
	if k.bound == 0 {
		return 0
	}

	return float64(k.onTime) / k.bound
}

// stretchAt returns a percentile of the response times of jobs that ended, in proportion to the ideal ones.
func (k kindSummary) stretchAt(percentile float64) float64 {
	return float64(k.stretch.ValueAtPercentile(percentile)) / 1000
}

// causes returns the causes of refusals in alphabetical order.
func (s *scenario) causes() []string {
	var all []string

	for _, b := range s.bins {
		for cause := range b.refusals {
			if !slices.Contains(all, cause) {
				all = append(all, cause)
			}
		}
	}

	slices.Sort(all)

	return all
}
