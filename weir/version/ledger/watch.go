package ledger

import "slices"

// Watch waits until an appended record is read back from the log.
type Watch struct {
	replica *Replica
	data    string
	done    chan struct{}
	// offset is set before done is closed.
	offset int64
}

// Watch starts to wait for a record with exactly this data, which should contain a random nonce to be unique. Call Stop
// to end the wait.
func (r *Replica) Watch(data []byte) *Watch {
	w := &Watch{replica: r, data: string(data), done: make(chan struct{})}

	r.mutex.Lock()
	defer r.mutex.Unlock()

	if r.watches == nil {
		r.watches = map[string][]*Watch{}
	}

	r.watches[w.data] = append(r.watches[w.data], w)

	return w
}

// Done returns a channel that is closed once the record was read. After a gap in the log, the replica may not have
// applied the record yet unless it is a binding.
func (w *Watch) Done() <-chan struct{} { return w.done }

// Offset returns the offset of the record. It is valid once Done is closed.
func (w *Watch) Offset() int64 { return w.offset }

// Stop ends the wait.
func (w *Watch) Stop() {
	w.replica.mutex.Lock()
	defer w.replica.mutex.Unlock()

	remaining := slices.DeleteFunc(w.replica.watches[w.data], func(x *Watch) bool { return x == w })
	if len(remaining) == 0 {
		delete(w.replica.watches, w.data)

		return
	}

	w.replica.watches[w.data] = remaining
}

// notifyWatches closes the watches for the records. It is called with the mutex held, after the view was published.
func (r *Replica) notifyWatches(records []Record) {
	if len(r.watches) == 0 {
		return
	}

	for _, lr := range records {
		for _, w := range r.watches[string(lr.data)] {
			w.offset = lr.offset
			close(w.done)
		}

		delete(r.watches, string(lr.data))
	}
}
