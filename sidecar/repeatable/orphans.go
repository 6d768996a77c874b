package repeatable

import (
	"time"

	"github.com/skylarkweir/skylarkweir/weir/process/uptime"
	"github.com/skylarkweir/skylarkweir/weir/request/job"
)

// orphans are the orphaned runs of an incarnation, by the newest list of its runs. They occupy capacity from the moment
// that they are listed until a newer list shows them gone. The zero value has none.
type orphans struct {
	runs []Run
	// listClock is the backend server's clock in the newest list, handledAt the time at which that list was handled, on
	// the clock of package uptime.
	listClock, handledAt time.Duration
}

// update replaces the runs by those of a list that was requested at the time sent, and reports whether that list is the
// newest one. Answers may arrive in another order than they were given: a list that was requested before the newest one was
// handled and is not later by the backend server's clock may show runs whose ends are handled already.
func (o *orphans) update(runs []Run, clock, sent, now time.Duration) bool {
	if sent <= o.handledAt && clock <= o.listClock {
		return false
	}

	o.runs, o.listClock, o.handledAt = runs, clock, now

	return true
}

// size returns the capacity that the orphaned runs occupy at a backend server with a capacity. A run of a task that was
// launched here is as large as the task, and one of a held task is counted with it. The size of any other one is not known,
// so it occupies everything: its stop is confirmed within milliseconds unless the backend server is out of order.
func (o *orphans) size(tasks map[Task]*task, capacity job.Size) job.Size {
	var sum job.Size

	for _, r := range o.runs {
		t := tasks[r.task]

		switch {
		case t == nil:
			return capacity
		case t.run != r:
			sum = sum.Plus(t.size)
		}
	}

	return sum
}

// recordOrphans records the orphaned runs of a list that was requested at the time sent, and stops them.
func (w *Worker) recordOrphans(i *incarnation, runs []Run, clock, sent time.Duration) {
	before := len(i.orphans.runs)
	if !i.orphans.update(runs, clock, sent, uptime.Now()) || before+len(runs) == 0 {
		return
	}

	for _, r := range runs {
		o := &orphanedRunStop{i, r}
		go o.run()
	}

	w.updateCapacity()
}

// orphanedRunStop stops a run that an earlier sidecar has left, or that comes from a start that the backend server
// carried out late.
type orphanedRunStop struct {
	incarnation *incarnation
	target      Run
}

func (o *orphanedRunStop) run() {
	err := o.incarnation.sendStop(o.target)

	o.incarnation.worker.log.Info().AnErr("error", err).Str("event", "orphaned_run_stopped").Str("job", o.target.task.job).
		Uint32("task", o.target.task.index).Int64("run", o.target.number).
		Msg("sent a stop for an orphaned run, which no entry asked for and which occupies capacity until it is gone")
}
