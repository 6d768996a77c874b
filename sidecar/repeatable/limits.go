package repeatable

import (
	"slices"

	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
	"github.com/skylarkweir/skylarkweir/weir/process/uptime"
)

// startLimits are the limits of a job on where its tasks start. The zero value allows any backend server.
type startLimits struct {
	// maxPerServer is the highest number of tasks of the job at one backend server, zero if there is no limit.
	maxPerServer int
	// requiredLabel is a label that the backend server must have, empty if it needs none.
	requiredLabel string
	// regions has the regions where the backend server has to be, empty if it may be in any.
	regions []string
}

// limit names a limit of a job in log lines and metrics.
type limit string

const (
	noLimit       limit = ""
	tasksLimit    limit = "tasks_per_server"
	requiredLabel limit = "required_label"
	cancelledJob  limit = "cancelled"
	otherRegion   limit = "region"
	coldServer    limit = "cold"
)

// rejectBeyondLimit rejects a launched task if its job was cancelled or its start would be beyond a limit of the job, or of a
// cold backend server, and reports whether it was. The entry checks the limits when it chooses a backend server, but
// sees only what it has placed itself, as of its last reports.
func (w *Worker) rejectBeyondLimit(t *task) bool {
	exceeded := w.exceededLimit(t)
	if exceeded == noLimit {
		return false
	}

	w.metrics.count("starts_beyond_limit_total", "limit", string(exceeded))
	w.log.Info().Str("event", "start_beyond_limit").Str("job", t.run.task.job).Uint32("task", t.run.task.index).
		Str("limit", string(exceeded)).Int("max_tasks", t.limits.maxPerServer).Int("tasks", w.startedOfJob(t)).
		Str("required_label", t.limits.requiredLabel).Strs("labels", w.server.Current().Labels()).
		Strs("allowed_regions", t.limits.regions).Str("region", w.region()).
		Msg("rejecting a launch before its start is sent, as it is beyond a limit of its job")
	w.finishAs(t, wire.Result_RESULT_REJECTED)

	return true
}

func (w *Worker) exceededLimit(t *task) limit {
	switch {
	case w.cancelled.Contains(t.run.task.job, uptime.Now()):
		return cancelledJob
	case t.limits.requiredLabel != "" && !slices.Contains(w.server.Current().Labels(), t.limits.requiredLabel):
		return requiredLabel
	case len(t.limits.regions) > 0 && !slices.Contains(t.limits.regions, w.region()):
		return otherRegion
	case !w.warmUp.allowsStart():
		return coldServer
	case t.limits.maxPerServer > 0 && w.startedOfJob(t) >= t.limits.maxPerServer:
		return tasksLimit
	default:
		return noLimit
	}
}

// startedOfJob returns how many other tasks of the job of a task run at the backend server, or may run: those of any entry,
// those that are being stopped or held, and orphaned runs.
func (w *Worker) startedOfJob(t *task) int {
	n := 0

	for _, other := range w.tasks {
		if other != t && other.run.task.job == t.run.task.job && other.startedAt > 0 {
			n++
		}
	}

	for _, r := range t.incarnation.orphans.runs {
		if r.task.job == t.run.task.job && (w.tasks[r.task] == nil || w.tasks[r.task] == t) {
			n++
		}
	}

	return n
}
