package emulator

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"
)

// Ending is how a job ended.
type Ending uint8

// The endings of jobs.
const (
	// Unfinished means that the job ended too late to be of value, or never.
	Unfinished Ending = iota
	OnTime
	// Late means that the response time was above the objective, but at most maxLateObjectives times as long.
	Late
	Refused
	// GivenUp means that a task of the job crashed too many backend servers.
	GivenUp
)

var endingNames = [...]string{"unfinished", "on time", "late", "refused", "given up"}

// String returns the name of the ending.
func (e Ending) String() string { return endingNames[e] }

// JobResult is the outcome of one job.
type JobResult struct {
	kind int
	// arrivedAt is counted from the start; responseTime is zero unless the job ended.
	arrivedAt, responseTime time.Duration
	// ideal is the response time on an idle fleet without messages.
	ideal  time.Duration
	ending Ending
	// cause is why a job was refused, empty for other endings; capacity is what was free for it then.
	cause    string
	capacity Capacity
	// beside is true if a task ran beside the kind that slows it down, for at least half of its run time.
	beside bool
}

// Kind returns the number of the job's kind, in the order of Result.Kinds.
func (j JobResult) Kind() int { return j.kind }

// ArrivedAt returns the time of arrival since the start.
func (j JobResult) ArrivedAt() time.Duration { return j.arrivedAt }

// ResponseTime returns the time from the arrival to the end, zero if the job did not end.
func (j JobResult) ResponseTime() time.Duration { return j.responseTime }

// Ideal returns the response time on an idle fleet without messages.
func (j JobResult) Ideal() time.Duration { return j.ideal }

// Ending returns how the job ended.
func (j JobResult) Ending() Ending { return j.ending }

// Cause returns why the job was refused; it is empty if it was not.
func (j JobResult) Cause() string { return j.cause }

// Capacity returns what was free for the job when it was refused.
func (j JobResult) Capacity() Capacity { return j.capacity }

// KindResult counts the jobs of a kind, or of the largest tenth of a kind.
type KindResult struct {
	name                        string
	jobs, onTime, late, refused int
}

// Name returns the name of the kind.
func (kr KindResult) Name() string { return kr.name }

// Jobs returns the number of jobs.
func (kr KindResult) Jobs() int { return kr.jobs }

// OnTimeShare returns the share of the jobs that ended within their objective.
func (kr KindResult) OnTimeShare() float64 { return float64(kr.onTime) / float64(max(1, kr.jobs)) }

// LateShare returns the share of the jobs that ended late.
func (kr KindResult) LateShare() float64 { return float64(kr.late) / float64(max(1, kr.jobs)) }

// RefusedShare returns the share of the jobs that were refused.
func (kr KindResult) RefusedShare() float64 { return float64(kr.refused) / float64(max(1, kr.jobs)) }

func (kr *KindResult) add(j JobResult) {
	kr.jobs++

	switch j.ending {
	case OnTime:
		kr.onTime++
	case Late:
		kr.late++
	case Refused:
		kr.refused++
	case Unfinished, GivenUp:
	}
}

// Result is the result of a simulation.
type Result struct {
	kinds, largestTenth []KindResult
	jobs                []JobResult
	usage               []UsageSample
	pairChanges         []PairChange
}

// Kinds returns the result of each kind.
func (r Result) Kinds() []KindResult { return r.kinds }

// LargestTenth returns the result of the largest tenth of each kind, by number of tasks.
func (r Result) LargestTenth() []KindResult { return r.largestTenth }

// Jobs returns the outcome of each job in the order of arrival.
func (r Result) Jobs() []JobResult { return r.jobs }

// Usage returns the used part of the fleet's CPU at each report.
func (r Result) Usage() []UsageSample { return r.usage }

// minLargestRatio is the number of tasks, in proportion to the mean, from which a job is in the largest tenth of its
// kind.
const minLargestRatio = 1.65

func (sm *simulation) result() Result {
	r := Result{
		kinds: make([]KindResult, len(sm.load.kinds)), largestTenth: make([]KindResult, len(sm.load.kinds)), usage: sm.usage,
		pairChanges: sm.pairChanges,
	}

	for n, k := range sm.load.kinds {
		r.kinds[n].name, r.largestTenth[n].name = k.name, k.name+", largest tenth"
	}

	for _, j := range sm.jobs {
		o := j.outcome()
		r.jobs = append(r.jobs, o)
		r.kinds[j.kind].add(o)

		if sm.load.isLarge(j.arrival) {
			r.largestTenth[j.kind].add(o)
		}
	}

	return r
}

// isLarge reports whether a job is in the largest tenth of its kind.
func (l Load) isLarge(a arrival) bool {
	return float64(len(a.runTimes)) >= minLargestRatio*l.kinds[a.kind].tasks
}

func (j *activeJob) outcome() JobResult {
	o := JobResult{kind: j.kind, arrivedAt: j.arrivedAt, ideal: slices.Max(j.runTimes), cause: j.cause, capacity: j.capacity,
		beside: j.beside}

	if j.endedAt > 0 {
		o.responseTime = j.endedAt - j.arrivedAt
	}

	switch {
	case j.refused:
		o.ending = Refused
	case j.endedAt > 0 && o.responseTime <= j.objective():
		o.ending = OnTime
	case j.endedAt > 0 && o.responseTime <= maxLateObjectives*j.objective():
		o.ending = Late
	case j.failed:
		o.ending = GivenUp
	}

	return o
}

// Compare simulates a load under each rule with the same seeds and prints the results of each kind.
func Compare(out io.Writer, l Load, rules []Rule, seeds []uint64) error {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "rule\tseed\tkind\tjobs\ton time\tlate\trefused\tbound")

	for _, seed := range seeds {
		bounds := UpperBounds(l, seed)

		for _, r := range rules {
			result := Simulate(l, r, seed)
			printKinds(t, r, seed, result.kinds, bounds.kinds)
			printKinds(t, r, seed, result.largestTenth, bounds.largestTenth)
		}
	}

	return t.Flush()
}

func printKinds(out io.Writer, r Rule, seed uint64, results []KindResult, bounds []float64) {
	for n, kr := range results {
		fmt.Fprintf(out, "%T\t%d\t%s\t%d\t%.3f\t%d\t%.3f\t%.3f\n", r, seed, kr.name, kr.jobs, kr.OnTimeShare(), kr.late,
			kr.RefusedShare(), bounds[n])
	}
}
