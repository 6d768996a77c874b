package repeatable

import (
	"fmt"
	"time"

	"github.com/skylarkweir/skylarkweir/weir/process/lease"
	"github.com/skylarkweir/skylarkweir/weir/process/uptime"
)

// UnreadableRun is a row of a backend server's list of runs that names no run. The run that it stands for may go on.
type UnreadableRun struct {
	// row is the part of the row that does not change while its run goes on.
	row string
	// owner is the task whose run it may be, meaningful if mayBe is ofOneTask.
	owner Task
	mayBe runOwner
}

// runOwner tells whose run a row may stand for.
type runOwner uint8

const (
	ofAnyTask runOwner = iota
	ofOneTask
	ofNoTask
)

// NewUnreadableRun returns a row that may stand for a run of any task.
func NewUnreadableRun(row string) UnreadableRun { return UnreadableRun{row: row} }

// NewUnreadableRunOf returns a row that names a task, but no run of it.
func NewUnreadableRunOf(t Task, row string) UnreadableRun { return UnreadableRun{row, t, ofOneTask} }

// NewForeignRun returns a row that names something that is no task of this system.
func NewForeignRun(row string) UnreadableRun { return UnreadableRun{row: row, mayBe: ofNoTask} }

func (r UnreadableRun) mayBeOf(t Task) bool {
	return r.mayBe == ofAnyTask || r.mayBe == ofOneTask && r.owner == t
}

// UnreadableEnd is a row of a backend server's list of ended runs that can't be read in full.
type UnreadableEnd struct {
	// number is the number in the list, zero if it can't be read. The row is then listed until a later end is
	// acknowledged.
	number uint64
	row    string
}

// NewUnreadableEnd returns a row with its number in the list, zero if that can't be read.
func NewUnreadableEnd(number uint64, row string) UnreadableEnd { return UnreadableEnd{number, row} }

// unreadableRows are the rows of the newest lists of an incarnation that can't be read. The zero value has none.
type unreadableRows struct {
	// listedSince has the time since when each row is listed. Equal rows are told apart by their order.
	listedSince map[listedRow]listTime
	ends        map[UnreadableEnd]bool
}

// listTime is the time of a list, on the clock of package uptime and on that of the backend server, which may have stood
// still since.
type listTime struct{ handledAt, backendClock time.Duration }

type listedRow struct {
	run     UnreadableRun
	ordinal int
}

// update replaces the rows by those of a newer list, and returns the texts of the rows that were not there before.
func (u *unreadableRows) update(result WatchResult, now time.Duration) []string {
	var added []string

	since := map[listedRow]listTime{}
	count := map[UnreadableRun]int{}

	for _, r := range result.unreadableRuns {
		row := listedRow{r, count[r]}
		count[r]++

		at, isKnown := u.listedSince[row]
		if !isKnown {
			at = listTime{now, result.clock}
			added = append(added, "running "+r.row)
		}

		if at.backendClock == 0 {
			at.backendClock = result.clock // it was not known before
		}

		since[row] = at
	}

	ends := map[UnreadableEnd]bool{}

	for _, e := range result.unreadableEnds {
		if !u.ends[e] {
			added = append(added, fmt.Sprintf("ended %s", e.row))
		}

		ends[e] = true
	}

	u.listedSince, u.ends = since, ends

	return added
}

// mayHold reports whether one of the rows may stand for the run of the task: one that was listed before the task was
// started can't.
func (u *unreadableRows) mayHold(t *task) bool {
	for row, since := range u.listedSince {
		if row.run.mayBeOf(t.run.task) && since.handledAt >= t.startedAt {
			return true
		}
	}

	return false
}

// unlapsed returns the number of rows whose runs may go on at a time on the backend server's clock although their lease is
// not renewed.
func (u *unreadableRows) unlapsed(clock time.Duration) int {
	n := 0

	for _, since := range u.listedSince {
		if clock-since.backendClock < lease.LapseTime {
			n++
		}
	}

	return n
}

// recordUnreadable records the rows of a list that can't be read, and acknowledges those among the ended runs. An end
// that isn't understood tells nothing of a task; a task whose run is not listed as running any more is reported as
// lost, which is certain then. Not acknowledged, the row would be listed again for ever, and with 500 of them no other
// end.
func (w *Worker) recordUnreadable(i *incarnation, result WatchResult) {
	for _, e := range result.unreadableEnds {
		i.lastEnd = max(i.lastEnd, e.number)
	}

	for _, row := range i.unreadable.update(result, uptime.Now()) {
		w.log.Warn().Str("event", "run_unreadable").Str("instance", i.instance).Str("row", row).
			Msg("row of the backend server's lists of runs cannot be read and is skipped; the run may go on")
	}
}
