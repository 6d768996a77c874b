package repeatable

const (
	// maxSuspectedCrashes is the number of crashes for which a task is the likely cause after which its job fails: one
	// may be a coincidence.
	maxSuspectedCrashes = 2
	// maxCrashes is the number of crashes under a task, whatever their likely cause, after which its job fails.
	maxCrashes = 3
)

// crashCount counts the backend servers whose process ended while they ran a task.
type crashCount struct {
	total int
	// suspected counts those where the task's job had started last, so that it is the likely cause.
	suspected int
}

func (c *crashCount) add(suspected bool) {
	c.total++

	if suspected {
		c.suspected++
	}
}

// exceeded reports whether the task is not to be started again.
func (c *crashCount) exceeded() bool {
	return c.total >= maxCrashes || c.suspected >= maxSuspectedCrashes
}
