package repeatable

// exclusion is why a job does not use a sidecar while there are others.
type exclusion uint8

const (
	// notCompletedThere means that a task was rejected, stopped or lost, so that another one may complete there.
	notCompletedThere exclusion = iota + 1
	// failedThere means that a task has failed, so that another one may fail, too.
	failedThere
)

// readmit lets the job use the sidecars again where its tasks did not complete, as no other one is left. If only the limit
// of the job keeps it from others, those where a task has failed stay excluded: there are few attempts.
func (a *activeJob) readmit(limited bool) {
	for number, why := range a.excluded {
		if !limited || why != failedThere {
			delete(a.excluded, number)
		}
	}
}

// placedTasks returns how many tasks of the job may run at each backend server, by the name of its sidecar. Those of a
// sidecar that was lost count until they can no longer run there.
func (a *activeJob) placedTasks() map[string]int {
	placed := make(map[string]int, len(a.placements))

	for _, p := range a.placements {
		if !p.done && p.sidecar != 0 {
			placed[p.server]++
		}
	}

	return placed
}
