package repeatable

import (
	"time"

	"github.com/skylarkweir/skylarkweir/weir/process/delivery"
)

// unknownSince returns when the call was first sent that leaves the fate of the task unknown, zero if none does: a start of
// which no try is confirmed while one has no answer, or such a stop.
func (t *task) unknownSince() time.Duration {
	switch {
	case t.startCall.call.State() == delivery.Unknown:
		return t.startedAt
	case t.stopCall.call.State() == delivery.Unknown:
		return t.stopCall.sentAt
	default:
		return 0
	}
}

// unknownFates returns the tasks of unknown fate, which occupy capacity although they may not run. The caller holds mu.
func (w *Worker) unknownFates() []*task {
	var unknown []*task

	for _, t := range w.tasks {
		if t.unknownSince() > 0 {
			unknown = append(unknown, t)
		}
	}

	return unknown
}

// longestUnknownFate returns for how long the fate of a task has been unknown at most, zero if there is none. The caller
// holds mu.
func (w *Worker) longestUnknownFate(now time.Duration) time.Duration {
	longest := time.Duration(0)

	for _, t := range w.unknownFates() {
		longest = max(longest, now-t.unknownSince())
	}

	return longest
}
