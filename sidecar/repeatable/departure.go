package repeatable

import (
	"time"

	"github.com/skylarkweir/skylarkweir/weir/process/uptime"
)

// beginDeparture ends the incarnation once nothing runs there any more. The backend server may go on for seconds after it has
// said that it leaves, and its tasks go on with it: they are stopped and reported as lost when that is certain.
func (w *Worker) beginDeparture(i *incarnation) {
	w.updateCapacity()

	for _, t := range w.tasks {
		if t.incarnation == i && !t.stopping {
			t.stopOutcome = Lost
			w.stop(t)
		}
	}

	w.finishDeparture(uptime.Now())
}

// finishDeparture ends the incarnation if it has left and runs nothing any more. One that refuses connections may go on with
// its tasks until their lease ends.
func (w *Worker) finishDeparture(now time.Duration) {
	i := w.incarnation
	if i == nil || !w.server.Departed() {
		return
	}

	if len(w.tasks) == 0 || i.notReached && i.lease.Expired(now) {
		w.endIncarnation("the backend server left", ended)
	}
}
