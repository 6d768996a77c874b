package ledger

import "slices"

// Watch waits for a record to be read back.
type Watch struct {
	replica *Replica
	data    string
	done    chan struct{}
	// offset is set before seen is closed.
	offset int64
}

// Watch starts to wait for a record with exactly this data; a random nonce makes it unique. Stop ends the wait.
func (b *Replica) Watch(data []byte) *Watch {
	w := &Watch{replica: b, data: string(data), done: make(chan struct{})}

	b.mutex.Lock()
	defer b.mutex.Unlock()

	if b.watches == nil {
		b.watches = map[string][]*Watch{}
	}

	b.watches[w.data] = append(b.watches[w.data], w)

	return w
}

// Seen is closed once the record was read. After a gap the book may not have applied it yet, except for bindings.
func (w *Watch) Done() <-chan struct{} { return w.done }

// Offset returns the offset of the record; it is valid once Seen is closed.
func (w *Watch) Offset() int64 { return w.offset }

// Stop ends the wait.
func (w *Watch) Stop() {
	w.replica.mutex.Lock()
	defer w.replica.mutex.Unlock()

	left := slices.DeleteFunc(w.replica.watches[w.data], func(x *Watch) bool { return x == w })
	if len(left) == 0 {
		delete(w.replica.watches, w.data)

		return
	}

	w.replica.watches[w.data] = left
}

// notify is called with the mutex held, after the view was published.
func (b *Replica) notifyWatches(records []Record) {
	if len(b.watches) == 0 {
		return
	}

	for _, r := range records {
		for _, w := range b.watches[string(r.data)] {
			w.offset = r.offset
			close(w.done)
		}

		delete(b.watches, string(r.data))
	}
}
