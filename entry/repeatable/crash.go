package repeatable

import (
	"time"

	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
	"github.com/skylarkweir/skylarkweir/weir/request/job"
)

const (
	// maxSuspectedCrashes is the number of crashes for which a task is the likely cause after which its job fails: one
	// may be a coincidence.
	maxSuspectedCrashes = 2
	// maxCrashes is the number of crashes under a task, whatever their likely cause, after which its job fails.
	maxCrashes = 3
	// maxLosses is the number of runs of a task that were lost for any cause after which its job is given up.
	maxLosses = 5
	// crashMemory is how long crashes are remembered for jobs that are sent again, after the last crash. Callers send a
	// job again within their deadlines.
	crashMemory = 20 * time.Second
	// maxRememberedJobs limits the jobs whose crashes are remembered.
	maxRememberedJobs = 10_000
)

// crashCount counts the backend servers whose process ended while they ran a task.
type crashCount struct {
	total int
	// suspected counts those where the task's job had started last, so that it is the likely cause.
	suspected int
	// losses counts the lost runs, with and without a crash.
	losses int
}

// add counts a lost run.
func (c *crashCount) add(crashed, suspected bool) {
	c.losses++

	if crashed {
		c.total++
	}

	if suspected {
		c.suspected++
	}
}

// isDeadly reports whether the task is not to be started again because it crashes backend servers.
func (c *crashCount) isDeadly() bool {
	return c.total >= maxCrashes || c.suspected >= maxSuspectedCrashes
}

// lostTooOften reports whether the task is not to be started again although no crashes are known to be its fault.
func (c *crashCount) lostTooOften() bool { return c.losses >= maxLosses }

// crashHistory has the crashes under the tasks of jobs of all entries, since a job whose entry died is sent again to
// another one. The zero value has none.
type crashHistory struct {
	jobs map[string]*crashedJob
}

type crashedJob struct {
	// tasks is keyed by index.
	tasks map[uint32]crashCount
	// expiry is on the clock of package uptime.
	expiry time.Duration
}

// record adds the tasks that a sidecar reports as lost by a crash.
func (h *crashHistory) record(m *wire.CrashedTasks, now time.Duration) {
	if h.jobs == nil {
		h.jobs = map[string]*crashedJob{}
	}

	for _, t := range m.GetTasks() {
		j := h.jobs[t.GetJob()]

		switch {
		case j == nil && len(h.jobs) >= maxRememberedJobs:
			continue
		case j == nil:
			j = &crashedJob{tasks: map[uint32]crashCount{}}
			h.jobs[t.GetJob()] = j
		}

		c := j.tasks[t.GetIndex()]
		c.add(true, t.GetSuspected())

		j.tasks[t.GetIndex()], j.expiry = c, now+crashMemory
	}
}

// expire removes what is older than crashMemory.
func (h *crashHistory) expire(now time.Duration) {
	for id, j := range h.jobs {
		if j.expiry <= now {
			delete(h.jobs, id)
		}
	}
}

// isDeadly reports whether a task of a job is not to be started again.
func (h *crashHistory) isDeadly(j job.Job) bool {
	known := h.jobs[j.ID()]
	if known == nil {
		return false
	}

	for _, c := range known.tasks {
		if c.isDeadly() {
			return true
		}
	}

	return false
}

// apply sets the crashes of the tasks of a job that is sent again.
func (h *crashHistory) apply(a *activeJob) {
	known := h.jobs[a.job.ID()]
	if known == nil {
		return
	}

	for index, c := range known.tasks {
		if int(index) < len(a.placements) {
			a.placements[index].crashes = c
		}
	}
}

// recordCrashedTasks records the tasks that a sidecar reports as lost by a crash. It ends their jobs that are deadly by
// then: a job that was sent to another entry first arrives here before the lease of its last run has ended there.
func (d *Dispatcher) recordCrashedTasks(m *wire.CrashedTasks, now time.Duration) {
	d.crashes.record(m, now)

	for _, t := range m.GetTasks() {
		if a := d.activeJobsByID[t.GetJob()]; a != nil && d.crashes.isDeadly(a.job) {
			a.end(job.Failed{}, reasonDeadly)
		}
	}
}
