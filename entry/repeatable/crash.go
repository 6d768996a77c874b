package repeatable

const (
	// maxSuspectedCrashes is the number of crashes for which a task is the likely cause after which its job fails: one
	// may be a coincidence.
	maxSuspectedCrashes = 2
	// maxCrashes is the number of crashes under a task, whatever their likely cause, after which its job fails.
	maxCrashes = 3
	// maxLosses is the number of runs of a task that were lost for any cause after which its job is given up.
	maxLosses = 5
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
