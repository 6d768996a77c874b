package caller

import (
	"encoding/json"
	"errors"
	"syscall"
	"time"
)

// Record holds one submission with its attempts and its result.
type Record struct {
	submission Submission
	// arrived is the time at which the submission was due, which may be before the first attempt.
	arrived, answered time.Time
	// ticket is the last one used. It is replaced only if no task ran under the previous one.
	ticket   string
	attempts []Attempt
	outputs  [][]byte
}

// Attempt is one attempt to send a submission to an entry.
type Attempt struct {
	entry string
	// ticket is the one that was sent, which may differ from the ticket of the record.
	ticket   string
	sentAt   time.Time
	duration time.Duration
	// status is the HTTP status, zero if no answer was received.
	status    int
	code, ran string
	message   string
	err       error
	// wrongAnswer means that the answer is incomplete or belongs to another submission.
	wrongAnswer bool
	// neverSent means that the submission was not sent because no ticket was obtained.
	neverSent bool
}

func (r *Record) addAttempt(a Attempt) { r.attempts = append(r.attempts, a) }

// lastAttempt returns the attempt that determines the result.
func (r *Record) lastAttempt() Attempt {
	if len(r.attempts) == 0 {
		return Attempt{neverSent: true}
	}

	return r.attempts[len(r.attempts)-1]
}

// Submission returns the submission, the same one for all attempts.
func (r *Record) Submission() Submission { return r.submission }

// Ticket returns the last ticket used, empty if none was obtained.
func (r *Record) Ticket() string { return r.ticket }

// Entry returns the address of the entry of the last attempt.
func (r *Record) Entry() string { return r.lastAttempt().entry }

// InterruptedAttempts returns how often the submission was sent and no answer was received. A refused connection does
// not count, since nothing was sent on it.
func (r *Record) InterruptedAttempts() int {
	n := 0

	for _, a := range r.attempts {
		if a.status == 0 && !a.neverSent && !errors.Is(a.err, syscall.ECONNREFUSED) {
			n++
		}
	}

	return n
}

// AttemptCount returns the number of attempts, including those that obtained no ticket.
func (r *Record) AttemptCount() int { return len(r.attempts) }

// Complete reports whether the answer is complete and passed the checks.
func (r *Record) Complete() bool {
	return r.lastAttempt().status == 200 && !r.lastAttempt().wrongAnswer
}

// Wrong reports whether the answer of any attempt failed the checks.
func (r *Record) Wrong() bool {
	for _, a := range r.attempts {
		if a.wrongAnswer {
			return true
		}
	}

	return false
}

// Code returns the error code of the last attempt: "wrong_answer" if its answer failed the checks, "unanswered" if it
// received none, and empty for a complete answer.
func (r *Record) Code() string {
	switch a := r.lastAttempt(); {
	case a.wrongAnswer:
		return "wrong_answer"
	case a.status == 200:
		return ""
	case a.status == 0:
		return "unanswered"
	default:
		return a.code
	}
}

// Ran returns which tasks ran according to the last answer, "unknown" if the submission was sent and not answered.
func (r *Record) Ran() string {
	a := r.lastAttempt()
	if a.status == 0 && !a.neverSent {
		return "unknown"
	}

	return a.ran
}

// Refusal is an answer with an error code, which also reports which tasks ran.
type Refusal struct {
	ticket, code, ran string
	received          time.Time
}

// Ticket returns the ticket of the refused attempt.
func (r Refusal) Ticket() string { return r.ticket }

// Code returns the error code of the answer.
func (r Refusal) Code() string { return r.code }

// Ran returns which tasks ran according to the answer.
func (r Refusal) Ran() string { return r.ran }

// Received returns the time at which the answer had been read.
func (r Refusal) Received() time.Time { return r.received }

// Transmission is one attempt that had a ticket, answered or not.
type Transmission struct {
	ticket string
	sentAt time.Time
}

// Ticket returns the ticket that was sent.
func (s Transmission) Ticket() string { return s.ticket }

// SentAt returns the start of the attempt. Nothing was sent before it.
func (s Transmission) SentAt() time.Time { return s.sentAt }

// Transmissions returns the attempts that had a ticket, in the order in which they were made.
func (r *Record) Transmissions() []Transmission {
	var out []Transmission

	for _, a := range r.attempts {
		if a.ticket != "" {
			out = append(out, Transmission{a.ticket, a.sentAt})
		}
	}

	return out
}

// Refusals returns the refusals of all attempts, including those of tickets that were replaced by a new one.
func (r *Record) Refusals() []Refusal {
	var out []Refusal

	for _, a := range r.attempts {
		if a.ticket != "" && a.code != "" {
			out = append(out, Refusal{a.ticket, a.code, a.ran, a.sentAt.Add(a.duration)})
		}
	}

	return out
}

// Arrived returns the time at which the submission was due.
func (r *Record) Arrived() time.Time { return r.arrived }

// Answered returns the time at which the last attempt ended.
func (r *Record) Answered() time.Time { return r.answered }

// Outputs returns the outputs of a complete answer in the order of the tasks.
func (r *Record) Outputs() [][]byte { return r.outputs }

// ResponseTime returns the time from the arrival to the end of the last attempt.
func (r *Record) ResponseTime() time.Duration { return r.answered.Sub(r.arrived) }

// Error returns the error text of the last attempt, empty for a complete answer.
func (r *Record) Error() string {
	a := r.lastAttempt()
	if a.err != nil {
		return a.err.Error()
	}

	return a.message
}

// isFinal reports whether the answer ends the submission, so that no other attempt follows.
func (a Attempt) isFinal() bool { return a.status != 0 && !a.refusedByLeavingEntry() }

// refusedByLeavingEntry reports whether a leaving entry refused the submission and no task ran, so that a ticket of
// another entry cannot make a task run twice.
func (a Attempt) refusedByLeavingEntry() bool { return a.code == "leaving" && a.ran == "none" }

// refusalBody is the JSON form of an error in the HTTP interface for callers.
type refusalBody struct {
	Error struct {
		Code    string `json:"code"`
		Message string `json:"message"`
		Ran     string `json:"ran"`
	} `json:"error"`
}

func (a *Attempt) setRefusal(body []byte) {
	var b refusalBody
	if json.Unmarshal(body, &b) != nil || b.Error.Code == "" {
		a.code, a.ran, a.message = "not_json", "unknown", string(body)

		return
	}

	a.code, a.ran, a.message = b.Error.Code, b.Error.Ran, b.Error.Message
}

// recordBody is the JSON form of a record.
type recordBody struct {
	Kind     string        `json:"kind"`
	Form     string        `json:"form"`
	Tasks    int           `json:"tasks"`
	Ticket   string        `json:"ticket"`
	Arrived  time.Time     `json:"arrived"`
	Answered time.Time     `json:"answered"`
	IdealMS  float64       `json:"ideal_ms"`
	Code     string        `json:"code,omitempty"`
	Ran      string        `json:"ran,omitempty"`
	Error    string        `json:"error,omitempty"`
	Attempts []attemptBody `json:"attempts"`
}

type attemptBody struct {
	Entry  string    `json:"entry"`
	Sent   time.Time `json:"sent"`
	TookMS float64   `json:"took_ms"`
	Status int       `json:"status"`
	Code   string    `json:"code,omitempty"`
	Ran    string    `json:"ran,omitempty"`
}

// MarshalJSON returns the form of a record in a records file.
func (r *Record) MarshalJSON() ([]byte, error) {
	b := recordBody{
		Kind: r.submission.kind, Form: r.submission.form, Tasks: len(r.submission.inputs), Ticket: r.ticket,
		Arrived: r.arrived, Answered: r.answered, IdealMS: milliseconds(r.submission.idealTime),
		Code: r.Code(), Ran: r.Ran(), Error: r.Error(),
	}

	for _, a := range r.attempts {
		b.Attempts = append(b.Attempts, attemptBody{a.entry, a.sentAt, milliseconds(a.duration), a.status, a.code, a.ran})
	}

	return json.Marshal(b)
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
