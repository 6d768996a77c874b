package waitqueue

import "time"

const (
	// window is the time over which the drain rate is averaged. It covers several tasks of ordinary length.
	window = 2 * time.Second
	// minWindow is the shortest observation from which a rate is derived; a shorter one refuses work on noise.
	minWindow = 500 * time.Millisecond
)

// drain measures how fast a backlogged flow is taken. It keeps the present and the previous window.
type drain struct {
	// began is the start of the present window, and not before the start of the backlog; zero without a backlog.
	began time.Time
	count int
	// previous is the rate of the last full window of this backlog; zero means none.
	previous float64
}

// begin starts a backlog unless there is one.
func (d *drain) begin(now time.Time) {
	if d.began.IsZero() {
		*d = drain{began: now}
	}
}

// end ends the backlog. Without it a task that is put back later, after a rejected start, would be measured against the
// time of an earlier backlog, and new work be refused for a wait that nobody has.
func (d *drain) end() { *d = drain{} }

func (d *drain) taken(now time.Time) {
	if d.began.IsZero() {
		return
	}

	d.roll(now)
	d.count++
}

// returned takes back the count of a task that was taken and not started.
func (d *drain) returned() { d.count = max(0, d.count-1) }

func (d *drain) roll(now time.Time) {
	elapsed := now.Sub(d.began)
	if elapsed < window {
		return
	}

	d.previous = float64(d.count) / elapsed.Seconds()
	d.began, d.count = now, 0
}

// rate returns tasks taken per second, and false if the backlog is too young to tell.
func (d *drain) rate(now time.Time) (perSecond float64, known bool) {
	if d.began.IsZero() {
		return 0, false
	}

	elapsed := now.Sub(d.began)

	if d.previous == 0 {
		if elapsed < minWindow {
			return 0, false
		}

		// One task is assumed to be due, so that a stall gives a low rate instead of none.
		return float64(d.count+1) / elapsed.Seconds(), true
	}

	weight := min(elapsed.Seconds()/window.Seconds(), 1)
	present := d.previous

	if elapsed > 0 {
		present = float64(d.count+1) / elapsed.Seconds()
	}

	return weight*present + (1-weight)*d.previous, true
}
