package home

import "time"

// Held is a submission that its home holds.
type Held struct {
	done chan struct{}
}

// Done is closed once the answer is there.
func (h *Held) Done() <-chan struct{} { return h.done }

// Answer returns the HTTP status and the JSON body, or 0 and nil before the submission has ended.
func (h *Held) Answer() (status int, body []byte) { return 0, nil }

// Cancel ends the submission; its running tasks are ended at the backend servers.
func (h *Held) Cancel() {}

// Delivered notes that a caller has received the answer, which may then be dropped when memory is short.
func (h *Held) Delivered() {}

// Progress returns how many of the tasks have ended.
func (h *Held) Progress() (ended, total int) { return 0, 0 }

// Member returns the member whose submission this is.
func (h *Held) Member() string { return "" }

// Decisions returns the latest decisions on the submission, oldest first.
func (h *Held) Decisions() []Decision { return nil }

// Decision is one decision on a submission or one of its tasks.
type Decision struct {
	at     time.Time
	event  string
	task   int
	choice string
	reason string
}

// Time returns when the decision was taken.
func (d Decision) Time() time.Time { return d.at }

// Event returns the name of the event as it is logged.
func (d Decision) Event() string { return d.event }

// Task returns the index of the task, and -1 for a decision on the submission.
func (d Decision) Task() int { return d.task }

// Choice returns the name of the chosen worker, if any.
func (d Decision) Choice() string { return d.choice }

// Reason returns why.
func (d Decision) Reason() string { return d.reason }
