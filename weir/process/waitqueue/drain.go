package waitqueue

import "time"

const (
	// window is the time over which the drain rate is averaged. It covers several tasks of ordinary length.
	rateWindow = 2 * time.Second
	// minWindow is the shortest observation from which a rate is derived; a shorter one refuses work on noise.
	minRateWindow = 500 * time.Millisecond
)

// drain measures how fast a backlogged flow is taken. It keeps the present and the previous window.
type drainMeter struct {
	// began is the start of the present window, and not before the start of the backlog; zero without a backlog.
	windowStart time.Time
	takenTasks  int
	// previous is the rate of the last full window of this backlog; zero means none.
	previousRate float64
}

// begin starts a backlog unless there is one.
func (d *drainMeter) beginBacklog(now time.Time) {
	if d.windowStart.IsZero() {
		*d = drainMeter{windowStart: now}
	}
}

// end ends the backlog. Without it a task that is put back later, after a rejected start, would be measured against the
// time of an earlier backlog, and new work be refused for a wait that nobody has.
func (d *drainMeter) endBacklog() { *d = drainMeter{} }

func (d *drainMeter) countTaken(now time.Time) {
	if d.windowStart.IsZero() {
		return
	}

	d.rollWindow(now)
	d.takenTasks++
}

// returned takes back the count of a task that was taken and not started.
func (d *drainMeter) uncountTaken() { d.takenTasks = max(0, d.takenTasks-1) }

func (d *drainMeter) rollWindow(now time.Time) {
	elapsed := now.Sub(d.windowStart)
	if elapsed < rateWindow {
		return
	}

	d.previousRate = float64(d.takenTasks) / elapsed.Seconds()
	d.windowStart, d.takenTasks = now, 0
}

// rate returns tasks taken per second, and false if the backlog is too young to tell.
func (d *drainMeter) rate(now time.Time) (perSecond float64, known bool) {
	if d.windowStart.IsZero() {
		return 0, false
	}

	elapsed := now.Sub(d.windowStart)

	if d.previousRate == 0 {
		if elapsed < minRateWindow {
			return 0, false
		}

		// One task is assumed to be due, so that a stall gives a low rate instead of none.
		return float64(d.takenTasks+1) / elapsed.Seconds(), true
	}

	weight := min(elapsed.Seconds()/rateWindow.Seconds(), 1)
	present := d.previousRate

	if elapsed > 0 {
		present = float64(d.takenTasks+1) / elapsed.Seconds()
	}

	return weight*present + (1-weight)*d.previousRate, true
}
