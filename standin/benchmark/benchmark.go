// Package benchmark measures response time, goodput and fairness of the running system against the targets in section 1
// of docs/design.md.
//
// Most benchmarks start real processes, and one iteration is a whole run:
//
//	go test -run '^$' -bench . -benchtime 1x -timeout 30m ./standin/benchmark
package benchmark

import (
	"fmt"
	"strings"
	"time"
)

// The fleet of the benchmarks: 12 workers of the smaller of the two sizes that are in use.
const (
	WorkerCount    = 12
	SlotsPerWorker = 32
	EntryCount     = 4
)

// LoadSeconds is the time in seconds for which submissions arrive.
const LoadSeconds = 20

// Run times of tasks: 50 ms to 1 s, and 2 to 5 s for the share tailShare of the tasks.
const (
	runTime     = "uniform 50ms 1s"
	tailRunTime = "uniform 2s 5s"
	tailShare   = 0.02
	// meanRunSeconds is the mean of both distributions, weighted with tailShare.
	meanRunSeconds = (1-tailShare)*0.525 + tailShare*3.5
	// meanJobTasks is the mean number of tasks of a job with 2 to 20 tasks.
	meanJobTasks = 11
)

// MixedLoad returns a load that offers the given part of the fleet's capacity, where 1 is all of it. A tenth of the
// submissions are jobs. Deadlines are short enough that an overload is visible within the run.
func MixedLoad(utilization float64, seed int) string {
	const (
		jobShare           = 0.1
		tasksPerSubmission = jobShare*meanJobTasks + (1 - jobShare)
	)

	rate := utilization * WorkerCount * SlotsPerWorker / (meanRunSeconds * tasksPerSubmission)

	return fmt.Sprintf(`"rate": %.2f, "duration": "%ds", "seed": %d, "attempts": 1, "mix": [
		{"kind": "fit", "form": "job", "weight": %g, "tasks_least": 2, "tasks_most": 20, "run": %q, "tail": %q, "tail_share": %g, "deadline": "10s"},
		{"kind": "stock", "form": "repeatable", "weight": %g, "run": %q, "tail": %q, "tail_share": %g, "deadline": "10s"},
		{"kind": "order", "weight": %g, "run": %q, "tail": %q, "tail_share": %g, "deadline": "10s"}]`,
		rate, LoadSeconds, seed, jobShare, runTime, tailRunTime, tailShare,
		(1-jobShare)/2, runTime, tailRunTime, tailShare, (1-jobShare)/2, runTime, tailRunTime, tailShare)
}

// IsOverheadMetric reports whether a metric counts messages that no task needs: control frames, rejected starts and
// retries. It returns false for names with labels, since the sum over all labels counts.
func IsOverheadMetric(name string) bool {
	if strings.Contains(name, "{") {
		return false
	}

	for _, part := range []string{"control_frames", "tasks_rejected", "retries"} {
		if strings.Contains(name, part) {
			return true
		}
	}

	return false
}

// OverheadMessages returns the number of messages that no task needs between two readings of the metrics.
func OverheadMessages(before, after map[string]float64) float64 {
	sum := 0.0

	for name, value := range after {
		if IsOverheadMetric(name) {
			sum += value - before[name]
		}
	}

	return sum
}

// RunTimeout is the time limit of one run.
const RunTimeout = 4 * time.Minute

// agreedShare returns the part of the fleet that the agreement gives to a kind of the flood benchmark.
func agreedShare(kind string) float64 {
	return map[string]float64{"stock": 0.5, "quote": 0.3, "batch": 0.2}[kind]
}

// FloodKinds returns the kinds of the flood benchmark.
func FloodKinds() []string { return []string{"stock", "quote", "batch"} }

// LoadBelowShare returns a load of a kind that uses 90 % of its share.
func LoadBelowShare(kind string) string { return kindLoad(kind, 0.9*agreedShare(kind), 31) }

// FloodLoad returns a load of a kind that offers three times the fleet's capacity.
func FloodLoad(kind string) string { return kindLoad(kind, 3, 32) }

func kindLoad(kind string, utilization float64, seed int) string {
	const meanSeconds = 0.525

	return fmt.Sprintf(`"rate": %.2f, "duration": "%ds", "seed": %d, "attempts": 1, "mix": [
		{"kind": %q, "run": %q, "deadline": "5s"}]`, utilization*WorkerCount*SlotsPerWorker/meanSeconds, LoadSeconds, seed, kind, runTime)
}
