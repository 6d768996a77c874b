package share

import "time"

// Allowance is the number of slots that a member may hold at one worker. A reduction applies at once and an increase
// after a delay: the value in force is the smallest target of the last delay. This keeps the sum over all workers
// within the member's limit while workers learn of a new split at different times. The zero value allows nothing, so a
// process that has just started also waits for one delay; by then the other workers have recorded that it joined and
// have reduced their allowances.
type Allowance struct {
	// steps are ordered by ascending time and slots; the first one is in force.
	steps []step
}

type step struct {
	since time.Time
	slots int
}

// Set changes the target. A smaller target applies at once, a larger one after the delay.
func (a *Allowance) Set(now time.Time, delay time.Duration, slots int) {
	a.advance(now, delay)

	if len(a.steps) == 0 {
		a.steps = append(a.steps, step{now, 0})
	}

	if a.Target() == slots {
		return
	}

	since := now

	// A pending larger target becomes the smaller one and keeps its start time: the larger target included the smaller
	// one, which therefore needs no new delay.
	for len(a.steps) > 0 && a.steps[len(a.steps)-1].slots >= slots {
		since = a.steps[len(a.steps)-1].since
		a.steps = a.steps[:len(a.steps)-1]
	}

	a.steps = append(a.steps, step{since, slots})
}

// SetImmediately changes the target and the slots in force, without a delay for an increase.
func (a *Allowance) SetImmediately(now time.Time, slots int) {
	a.steps = append(a.steps[:0], step{now, slots})
}

// At returns the slots in force.
func (a *Allowance) At(now time.Time, delay time.Duration) int {
	a.advance(now, delay)

	if len(a.steps) == 0 {
		return 0
	}

	return a.steps[0].slots
}

// Target returns the slots that are in force once the delay has passed.
func (a *Allowance) Target() int {
	if len(a.steps) == 0 {
		return 0
	}

	return a.steps[len(a.steps)-1].slots
}

// advance drops the steps that precede the latest one whose delay has passed.
func (a *Allowance) advance(now time.Time, delay time.Duration) {
	for len(a.steps) > 1 && now.Sub(a.steps[1].since) >= delay {
		a.steps = a.steps[1:]
	}
}
