package tasks

import "time"

// submission holds what the table knows of one submission.
type submission struct {
	id string
	// records are the starts that are queued, running or ended, in order of arrival.
	records []startRecord
	// keep is the time until which the records are kept.
	keepUntil time.Time
	// closed is the time until which new starts are rejected; zero if there is no tombstone.
	closedUntil time.Time
	// place is the index in the table's heap.
	heapIndex int
}

// record is one start.
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

func (s *submission) remove(id ID) {
	if i := s.find(id); i >= 0 {
		s.records = append(s.records[:i], s.records[i+1:]...)
	}
}

// end returns the time at which the submission may be forgotten.
func (s *submission) expiresAt() time.Time {
	if s.closedUntil.After(s.keepUntil) {
		return s.closedUntil
	}

	return s.keepUntil
}

// expiry is a heap of submissions by their end.
type expiryHeap []*submission

func (e expiryHeap) Len() int           { return len(e) }
func (e expiryHeap) Less(i, j int) bool { return e[i].expiresAt().Before(e[j].expiresAt()) }
func (e expiryHeap) Swap(i, j int) {
	e[i], e[j] = e[j], e[i]
	e[i].heapIndex, e[j].heapIndex = i, j
}

// Push appends a submission.
func (e *expiryHeap) Push(x any) {
	s, _ := x.(*submission)
	s.heapIndex = len(*e)
	*e = append(*e, s)
}

// Pop removes the last submission.
func (e *expiryHeap) Pop() any {
	old := *e
	s := old[len(old)-1]
	old[len(old)-1] = nil
	*e = old[:len(old)-1]

	return s
}
