package tasks

import "time"

// submission holds what the table knows of one submission.
type submission struct {
	id string
	// records are the starts that are queued, running or ended, in order of arrival.
	records []record
	// keep is the time until which the records are kept.
	keep time.Time
	// closed is the time until which new starts are rejected; zero if there is no tombstone.
	closed time.Time
	// place is the index in the table's heap.
	place int
}

// record is one start.
type record struct {
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
func (s *submission) end() time.Time {
	if s.closed.After(s.keep) {
		return s.closed
	}

	return s.keep
}

// expiry is a heap of submissions by their end.
type expiry []*submission

func (e expiry) Len() int           { return len(e) }
func (e expiry) Less(i, j int) bool { return e[i].end().Before(e[j].end()) }
func (e expiry) Swap(i, j int) {
	e[i], e[j] = e[j], e[i]
	e[i].place, e[j].place = i, j
}

// Push appends a submission.
func (e *expiry) Push(x any) {
	s, _ := x.(*submission)
	s.place = len(*e)
	*e = append(*e, s)
}

// Pop removes the last submission.
func (e *expiry) Pop() any {
	old := *e
	s := old[len(old)-1]
	old[len(old)-1] = nil
	*e = old[:len(old)-1]

	return s
}
