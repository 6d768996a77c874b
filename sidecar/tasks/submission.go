package tasks

import "time"

// submission holds the starts and the tombstone of one submission.
type submission struct {
	id string
	// records are the starts that are queued, running or ended, in the order of arrival.
	records []startRecord
	// keepUntil is the end of the retention of the records.
	keepUntil time.Time
	// closedUntil is the time until which new starts are rejected. It is zero if there is no tombstone.
	closedUntil time.Time
	// heapIndex is the index in Table.expiry.
	heapIndex int
}

// startRecord is one start. Its ID without the submission is stored here, because run is not kept for as long.
type startRecord struct {
	index, attempt uint32
	// run is nil once the home has acknowledged the outcome.
	run *Run
}

func (s *submission) find(id ID) int {
	for i := range s.records {
		if s.records[i].index == id.index && s.records[i].attempt == id.attempt {
			return i
		}
	}

	return -1
}

// cancelRunning cancels the running tasks and returns them.
func (s *submission) cancelRunning() []*Run {
	var cancelled []*Run

	for _, r := range s.records {
		if r.run != nil && r.run.running {
			r.run.cancel()
			cancelled = append(cancelled, r.run)
		}
	}

	return cancelled
}

func (s *submission) remove(id ID) {
	if i := s.find(id); i >= 0 {
		s.records = append(s.records[:i], s.records[i+1:]...)
	}
}

// expiresAt returns the time from which on the submission may be removed.
func (s *submission) expiresAt() time.Time {
	if s.closedUntil.After(s.keepUntil) {
		return s.closedUntil
	}

	return s.keepUntil
}

// expiryHeap is a heap of submissions, the first to expire on top.
type expiryHeap []*submission

func (e expiryHeap) Len() int           { return len(e) }
func (e expiryHeap) Less(i, j int) bool { return e[i].expiresAt().Before(e[j].expiresAt()) }
func (e expiryHeap) Swap(i, j int) {
	e[i], e[j] = e[j], e[i]
	e[i].heapIndex, e[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (e *expiryHeap) Push(x any) {
	s, _ := x.(*submission)
	s.heapIndex = len(*e)
	*e = append(*e, s)
}

// Pop implements heap.Interface.
func (e *expiryHeap) Pop() any {
	old := *e
	s := old[len(old)-1]
	old[len(old)-1] = nil
	*e = old[:len(old)-1]

	return s
}
