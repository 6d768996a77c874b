package emulator

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// KindResult counts the jobs of a kind, or of the largest tenth of a kind.
type KindResult struct {
	name                        string
	jobs, onTime, late, refused int
	upperBound                  float64
}

// Name returns the name of the kind.
func (kr KindResult) Name() string { return kr.name }

// OnTimeShare returns the share of the jobs that ended within their objective.
func (kr KindResult) OnTimeShare() float64 { return float64(kr.onTime) / float64(max(1, kr.jobs)) }

// RefusedShare returns the share of the jobs that were refused.
func (kr KindResult) RefusedShare() float64 { return float64(kr.refused) / float64(max(1, kr.jobs)) }

// UpperBound returns the share of the work that the fleet could have done at most, with the most urgent kinds served
// first and with complete knowledge.
func (kr KindResult) UpperBound() float64 { return kr.upperBound }

// Result is the result of a simulation.
type Result struct {
	kinds, largestTenth []KindResult
}

// Kinds returns the result of each kind.
func (r Result) Kinds() []KindResult { return r.kinds }

// LargestTenth returns the result of the largest tenth of each kind, by number of tasks.
func (r Result) LargestTenth() []KindResult { return r.largestTenth }

func (sm *simulation) result() Result {
	r := Result{make([]KindResult, len(sm.load.kinds)), make([]KindResult, len(sm.load.kinds))}

	// minLargestRatio is the number of tasks, in proportion to the mean, from which a job is in the largest tenth of its
	// kind.
	const minLargestRatio = 1.65

	for n, k := range sm.load.kinds {
		r.kinds[n].name, r.largestTenth[n].name = k.name, k.name+", largest tenth"
	}

	for _, j := range sm.jobs {
		j.addTo(&r.kinds[j.kind])

		if float64(len(j.runTimes)) >= minLargestRatio*sm.load.kinds[j.kind].tasks {
			j.addTo(&r.largestTenth[j.kind])
		}
	}

	sm.computeUpperBounds(r.kinds)

	return r
}

func (j *activeJob) addTo(kr *KindResult) {
	kr.jobs++

	switch took := j.endedAt - j.arrivedAt; {
	case j.refused:
		kr.refused++
	case j.endedAt > 0 && took <= j.objective():
		kr.onTime++
	case j.endedAt > 0 && took <= maxLateObjectives*j.objective():
		kr.late++
	}
}

// computeUpperBounds assigns the capacity of each second to the kinds in order of urgency.
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

// Compare simulates a load under each rule with the same seeds and prints the results of each kind.
func Compare(out io.Writer, l Load, rules []Rule, seeds []uint64) error {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "rule\tseed\tkind\tjobs\ton time\tlate\trefused\tbound")

	for _, seed := range seeds {
		for _, r := range rules {
			result := Simulate(l, r, seed)
			for _, kr := range append(append([]KindResult{}, result.kinds...), result.largestTenth...) {
				bound := "-"
				if kr.upperBound > 0 {
					bound = fmt.Sprintf("%.3f", kr.upperBound)
				}

				fmt.Fprintf(t, "%T\t%d\t%s\t%d\t%.3f\t%d\t%.3f\t%s\n", r, seed, kr.name, kr.jobs,
					kr.OnTimeShare(), kr.late, kr.RefusedShare(), bound)
			}
		}
	}

	return t.Flush()
}
