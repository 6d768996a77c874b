package main

import (
	"fmt"
	"time"
)

// overlaps returns the pairs of runs of one task that went on at the same time.
func overlaps(runs []run) []string {
	var found []string

	for i, a := range runs {
		for _, b := range runs[i+1:] {
			if a.task != b.task {
				continue
			}

			if from, to := max(a.startedAt, b.startedAt), min(end(a), end(b)); from < to {
				found = append(found, fmt.Sprintf("task %s ran on server %d (run %d) and on server %d (run %d) at the same time, for %d ms",
					a.task, a.server.number, a.number, b.server.number, b.number, (to-from).Milliseconds()))
			}
		}
	}

	return found
}

// end returns the end of a run; one that goes on ends now.
func end(r run) time.Duration {
	if r.how == "" {
		return r.server.record.elapsed()
	}

	return r.endedAt
}
