package repeatable

// beginDeparture ends the incarnation once nothing runs there any more. The backend server may go on for seconds after it has
// said that it leaves, and its tasks go on with it: they are stopped and reported as lost when that is certain.
func (w *Worker) beginDeparture(i *incarnation) {
	i.departed = true
	// The end of a process that leaves is no crash.
	i.announcement.draining = true

	w.updateCapacity()

	for _, t := range w.tasks {
		if t.incarnation == i && !t.stopping {
			t.stopOutcome = Lost
			w.stop(t)
		}
	}

	w.finishDeparture()
}

// finishDeparture ends the incarnation if it has left and runs nothing any more.
func (w *Worker) finishDeparture() {
	if i := w.incarnation; i != nil && i.departed && (len(w.tasks) == 0 || i.notReached) {
		w.endIncarnation("the backend server left", ended)
	}
}
