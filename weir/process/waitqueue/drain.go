package waitqueue

import "time"

const (
	// rateWindow is the time over which the drain rate is averaged. It covers several tasks of ordinary run time.
	rateWindow = 2 * time.Second
	// minRateWindow is the shortest time from which a rate is derived. A rate over a shorter time is too noisy, and new
	// work would be refused without need.
	minRateWindow = 500 * time.Millisecond
)

// drainMeter measures the rate at which tasks of a backlogged flow are taken, over the current and the previous window.
type drainMeter struct {
	// windowStart is the start of the current window, which does not precede the backlog; zero without a backlog.
	windowStart time.Time
	takenTasks  int
	// previousRate is the rate of the last full window of this backlog in tasks per second; zero means none.
	previousRate float64
}

// beginBacklog starts a backlog unless one has started.
func (d *drainMeter) beginBacklog(now time.Time) {
	if d.windowStart.IsZero() {
		*d = drainMeter{windowStart: now}
	}
}

// endBacklog resets the meter when the flow is empty. Otherwise a task that is requeued after a rejected start would
// extend a backlog that has ended, and the rate over this time would be so low that new work is refused without need.
func (d *drainMeter) endBacklog() { *d = drainMeter{} }

func (d *drainMeter) countTaken(now time.Time) {
	if d.windowStart.IsZero() {
		return
	}

	d.rollWindow(now)
	d.takenTasks++
}

// uncountTaken reverts the count of a task that was taken and did not start.
func (d *drainMeter) uncountTaken() { d.takenTasks = max(0, d.takenTasks-1) }

func (d *drainMeter) rollWindow(now time.Time) {
	elapsed := now.Sub(d.windowStart)
	if elapsed < rateWindow {
		return
	}

	d.previousRate = float64(d.takenTasks) / elapsed.Seconds()
	d.windowStart, d.takenTasks = now, 0
}

// rate returns the tasks taken per second, and false if the backlog is shorter than minRateWindow.
func (d *drainMeter) rate(now time.Time) (perSecond float64, known bool) {
	if d.windowStart.IsZero() {
		return 0, false
	}

	elapsed := now.Sub(d.windowStart)

	if d.previousRate == 0 {
		if elapsed < minRateWindow {
			return 0, false
		}

		// One more task is counted, so that a stall gives a low rate instead of zero.
		return float64(d.takenTasks+1) / elapsed.Seconds(), true
	}

	weight := min(elapsed.Seconds()/rateWindow.Seconds(), 1)
	currentRate := d.previousRate

	if elapsed > 0 {
		currentRate = float64(d.takenTasks+1) / elapsed.Seconds()
	}

	return weight*currentRate + (1-weight)*d.previousRate, true
}
