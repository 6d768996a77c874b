package repeatable

import "time"

// outstandingCount returns the number of reservations that are requested and not granted, at sidecars that are responsive.
// A job does not rely on the others, which may be paused or cut off.
func (a *activeJob) outstandingCount(now time.Duration) int {
	n := 0

	for number, r := range a.requested {
		if s := a.dispatcher.sidecars[number]; s != nil && s.Responsive(now) {
			n += r
		}
	}

	return n
}

// requestedCount returns the number of reservations that are requested and not granted.
func (a *activeJob) requestedCount() int {
	n := 0
	for _, r := range a.requested {
		n += r
	}

	return n
}

func (a *activeJob) grantedCount() int {
	n := 0
	for _, g := range a.granted {
		n += g
	}

	return n
}
