// Package benchmark measures the decisions of the running system against the targets of section 1 of docs/design.md.
//
// Every benchmark starts real processes, so one iteration is a whole run:
//
//	go test -run '^$' -bench . -benchtime 1x -timeout 30m ./standin/benchmark
package benchmark

import (
	"fmt"
	"strings"
	"time"
)

// The fleet of the benchmarks: a dozen workers of the smaller of today's two sizes.
const (
	WorkerCount    = 12
	SlotsPerWorker = 32
	EntryCount     = 4
)

// Seconds is the time for which submissions arrive.
const LoadSeconds = 20

// Run time of a task: 50 ms to 1 s, and a tail of several seconds.
const (
	runTime     = "uniform 50ms 1s"
	tailRunTime = "uniform 2s 5s"
	tailShare   = 0.02
	// meanRun is the mean of the mixture in seconds.
	meanRunSeconds = (1-tailShare)*0.525 + tailShare*3.5
	// meanTasks is the mean size of a job of 2 to 20 tasks.
	meanJobTasks = 11
)

// Mixed returns a load that offers a part of the fleet's capacity: a tenth of the submissions are jobs.
// Deadlines are short enough that an overload shows within the run.
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
		rate, LoadSeconds, seed, jobShare, runTime, tailRunTime, tailShare, (1-jobShare)/2, runTime, tailRunTime, tailShare, (1-jobShare)/2, runTime, tailRunTime, tailShare)
}

// IsWaste tells whether a metric counts messages that no task needed: control frames, rejected starts and retries.
// Names with labels are left out, since their sum counts.
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

// Wasted returns the number of such messages between two readings of the metrics.
func OverheadMessages(before, after map[string]float64) float64 {
	sum := 0.0

	for name, value := range after {
		if IsOverheadMetric(name) {
			sum += value - before[name]
		}
	}

	return sum
}

// Limit bounds one run.
const RunTimeout = 4 * time.Minute

// agreedShare is the part of the fleet that a kind of the flood benchmark is entitled to.
func agreedShare(kind string) float64 {
	return map[string]float64{"stock": 0.5, "quote": 0.3, "batch": 0.2}[kind]
}

// Kinds returns the kinds of the flood benchmark.
func FloodKinds() []string { return []string{"stock", "quote", "batch"} }

// Below returns a load of a kind that uses nine tenths of its share.
func LoadBelowShare(kind string) string { return kindLoad(kind, 0.9*agreedShare(kind), 31) }

// Flood returns a load of a kind of three times the fleet's capacity.
func FloodLoad(kind string) string { return kindLoad(kind, 3, 32) }

func kindLoad(kind string, utilization float64, seed int) string {
	const meanSeconds = 0.525

	return fmt.Sprintf(`"rate": %.2f, "duration": "%ds", "seed": %d, "attempts": 1, "mix": [
		{"kind": %q, "run": %q, "deadline": "5s"}]`, utilization*WorkerCount*SlotsPerWorker/meanSeconds, LoadSeconds, seed, kind, runTime)
}
