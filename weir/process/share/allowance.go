package share

import "time"

// Allowance is the number of slots that a member may hold at one worker. It shrinks at once and grows after a delay:
// the value in force is the smallest of the targets that applied within the last delay. The zero value allows nothing,
// so a process that just started waits for one delay too; by then the other workers have seen it join and have shrunk.
type Allowance struct {
	// steps ascend in both time and slots; the first one is in force.
	steps []step
}

type step struct {
	since time.Time
	slots int
}

// Set changes the target at a time.
func (a *Allowance) Set(now time.Time, delay time.Duration, slots int) {
	a.advance(now, delay)

	if len(a.steps) == 0 {
		a.steps = append(a.steps, step{now, 0})
	}

	if a.Target() == slots {
		return
	}

	since := now

	// A pending larger target is cut to the smaller one without a new wait, since the smaller one was included in it.
	for len(a.steps) > 0 && a.steps[len(a.steps)-1].slots >= slots {
		since = a.steps[len(a.steps)-1].since
		a.steps = a.steps[:len(a.steps)-1]
	}

	a.steps = append(a.steps, step{since, slots})
}

// Jump changes the target and the slots in force.
func (a *Allowance) SetImmediately(now time.Time, slots int) {
	a.steps = append(a.steps[:0], step{now, slots})
}

// At returns the slots in force at a time.
func (a *Allowance) At(now time.Time, delay time.Duration) int {
	a.advance(now, delay)

	if len(a.steps) == 0 {
		return 0
	}

	return a.steps[0].slots
}

// Target returns the slots that will be in force once the delay has passed.
func (a *Allowance) Target() int {
	if len(a.steps) == 0 {
		return 0
	}

	return a.steps[len(a.steps)-1].slots
}

// settle drops the steps that a later one has replaced.
func (a *Allowance) advance(now time.Time, delay time.Duration) {
	for len(a.steps) > 1 && now.Sub(a.steps[1].since) >= delay {
		a.steps = a.steps[1:]
	}
}
