package emulator

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// Share counts the jobs of a kind, or of the largest tenth of a kind.
type KindResult struct {
	name                        string
	jobs, onTime, late, refused int
	upperBound                  float64
}

// Name returns the name of the kind.
func (s KindResult) Name() string { return s.name }

// OnTime returns the part of the jobs that ended within their objective.
func (s KindResult) OnTimeShare() float64 { return float64(s.onTime) / float64(max(1, s.jobs)) }

// Refused returns the part of the jobs that were refused.
func (s KindResult) RefusedShare() float64 { return float64(s.refused) / float64(max(1, s.jobs)) }

// Bound returns the part of the work that the fleet could have done at all, if it serves the most urgent kinds first and
// knows everything.
func (s KindResult) UpperBound() float64 { return s.upperBound }

// Result is how the jobs of a run were served.
type Result struct {
	kinds, largestTenth []KindResult
}

// Kinds returns the share of each kind.
func (r Result) Kinds() []KindResult { return r.kinds }

// Large returns the share of the largest tenth of each kind.
func (r Result) LargestTenth() []KindResult { return r.largestTenth }

func (sm *simulation) result() Result {
	r := Result{make([]KindResult, len(sm.load.kinds)), make([]KindResult, len(sm.load.kinds))}

	// largest is the width from which on a job belongs to the largest tenth of its kind.
	const largest = 1.65

	for n, k := range sm.load.kinds {
		r.kinds[n].name, r.largestTenth[n].name = k.name, k.name+", largest tenth"
	}

	for _, j := range sm.jobs {
		j.addTo(&r.kinds[j.kind])

		if float64(len(j.runTimes)) >= largest*sm.load.kinds[j.kind].tasks {
			j.addTo(&r.largestTenth[j.kind])
		}
	}

	sm.computeUpperBounds(r.kinds)

	return r
}

func (j *activeJob) addTo(s *KindResult) {
	s.jobs++

	switch took := j.endedAt - j.arrivedAt; {
	case j.refused:
		s.refused++
	case j.endedAt > 0 && took <= j.objective():
		s.onTime++
	case j.endedAt > 0 && took <= maxLateObjectives*j.objective():
		s.late++
	}
}

// bounds gives each kind, the most urgent first, what capacity is left in each second.
func (sm *simulation) computeUpperBounds(results []KindResult) {
	seconds := int(sm.load.duration.Seconds()) + 1
	arrived := make([][]float64, len(results))
	served := make([]float64, len(results))
	total := make([]float64, len(results))

	for n := range arrived {
		arrived[n] = make([]float64, seconds)
	}

	for _, j := range sm.jobs {
		arrived[j.kind][min(seconds-1, int(j.arrivedAt.Seconds()))] += j.coreSeconds()
		total[j.kind] += j.coreSeconds()
	}

	for second := range seconds {
		free := 0.0
		for _, s := range sm.servers {
			free += float64(s.capacity.Millicores()) / 1000 / s.slowness
		}

		for n := range results { // kinds are listed by urgency
			share := min(free, arrived[n][second])
			served[n] += share
			free -= share
		}
	}

	for n := range results {
		results[n].upperBound = served[n] / max(1, total[n])
	}
}

// Compare plays a load under each rule with the same seeds and prints the shares of each kind.
func Compare(out io.Writer, l Load, rules []Rule, seeds []uint64) error {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "rule\tseed\tkind\tjobs\ton time\tlate\trefused\tbound")

	for _, seed := range seeds {
		for _, r := range rules {
			result := Simulate(l, r, seed)
			for _, s := range append(append([]KindResult{}, result.kinds...), result.largestTenth...) {
				bound := "-"
				if s.upperBound > 0 {
					bound = fmt.Sprintf("%.3f", s.upperBound)
				}

				fmt.Fprintf(t, "%T\t%d\t%s\t%d\t%.3f\t%d\t%.3f\t%s\n", r, seed, s.name, s.jobs,
					s.OnTimeShare(), s.late, s.RefusedShare(), bound)
			}
		}
	}

	return t.Flush()
}
