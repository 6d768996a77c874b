package waitqueue

import "time"

const (
	// window is the time over which the drain rate is averaged. It covers several tasks of ordinary length.
	window = 2 * time.Second
	// minWindow is the shortest observation from which a rate is derived; a shorter one refuses work on noise.
	minWindow = 500 * time.Millisecond
)

// drain measures how fast the tasks of a backlogged kind run. It keeps the present and the previous window.
type drain struct {
	// began is the start of the present window, and not before the start of the backlog.
	began time.Time
	count int
	// previous is the rate of the last full window of this backlog; zero means none.
	previous float64
	// mean is the moving mean of the time from taking a task to its end.
	mean time.Duration
}

// weight is the part of the latest task in the mean, which so covers about the last 50 tasks.
const weight = 0.02

// took adds the time of one task to the mean.
func (d *drain) took(t time.Duration) {
	if d.mean == 0 {
		d.mean = t

		return
	}

	d.mean += time.Duration(weight * float64(t-d.mean))
}

// begin starts a new backlog.
func (d *drain) begin(now time.Time) { *d = drain{began: now, mean: d.mean} }

func (d *drain) ran(now time.Time) {
	d.roll(now)
	d.count++
}

func (d *drain) roll(now time.Time) {
	elapsed := now.Sub(d.began)
	if elapsed < window {
		return
	}

	d.previous = float64(d.count) / elapsed.Seconds()
	d.began, d.count = now, 0
}

// rate returns tasks run per second, and false if the backlog is too young to tell.
func (d *drain) rate(now time.Time) (perSecond float64, known bool) {
	elapsed := now.Sub(d.began)

	if d.previous == 0 {
		if elapsed < minWindow {
			return 0, false
		}

		// One task is assumed to be due, so that a stall gives a low rate instead of none.
		return float64(d.count+1) / elapsed.Seconds(), true
	}

	part := min(elapsed.Seconds()/window.Seconds(), 1)
	present := d.previous

	if elapsed > 0 {
		present = float64(d.count+1) / elapsed.Seconds()
	}

	return part*present + (1-part)*d.previous, true
}
