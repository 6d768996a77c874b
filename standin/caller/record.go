package caller

import (
	"encoding/json"
	"errors"
	"syscall"
	"time"
)

// Record is what became of one submission.
type Record struct {
	submission Submission
	// arrived is the time at which the submission had to be sent, which may be before the first attempt.
	arrived, answered time.Time
	// ticket is the last one used; it changes only if nothing ran under the one before.
	ticket   string
	attempts []Attempt
	outputs  [][]byte
}

// Attempt is one time that a submission was sent.
type Attempt struct {
	entry string
	// ticket is the one that was sent, which may differ from the record's last one.
	ticket   string
	sentAt   time.Time
	duration time.Duration
	// status is zero if no answer came.
	status    int
	code, ran string
	message   string
	err       error
	// wrong means an answer that is not whole or not the caller's own.
	wrongAnswer bool
	// neverSent means that not even a ticket was obtained.
	neverSent bool
}

func (r *Record) addAttempt(a Attempt) { r.attempts = append(r.attempts, a) }

// last returns the decisive attempt.
func (r *Record) lastAttempt() Attempt {
	if len(r.attempts) == 0 {
		return Attempt{neverSent: true}
	}

	return r.attempts[len(r.attempts)-1]
}

// Submission returns what was submitted.
func (r *Record) Submission() Submission { return r.submission }

// Ticket returns the ticket of the last attempt.
func (r *Record) Ticket() string { return r.ticket }

// Entry returns the address of the entry that was asked last.
func (r *Record) Entry() string { return r.lastAttempt().entry }

// Interrupted returns how often the submission was sent and the connection broke before the answer. A refused
// connection does not count, since nothing was sent on it.
func (r *Record) InterruptedAttempts() int {
	n := 0

	for _, a := range r.attempts {
		if a.status == 0 && !a.neverSent && !errors.Is(a.err, syscall.ECONNREFUSED) {
			n++
		}
	}

	return n
}

// Attempts returns how often the submission was sent.
func (r *Record) AttemptCount() int { return len(r.attempts) }

// Complete reports a whole answer that passed the checks.
func (r *Record) Complete() bool {
	return r.lastAttempt().status == 200 && !r.lastAttempt().wrongAnswer
}

// Wrong reports an answer that did not pass the checks.
func (r *Record) Wrong() bool {
	for _, a := range r.attempts {
		if a.wrongAnswer {
			return true
		}
	}

	return false
}

// Code returns the error code of the last answer; "unanswered" if there was none.
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

// Ran returns what the last answer said about started tasks.
func (r *Record) Ran() string {
	a := r.lastAttempt()
	if a.status == 0 && !a.neverSent {
		return "unknown"
	}

	return a.ran
}

// Refusal is an answer that says what ran.
type Refusal struct {
	ticket, code, ran string
	received          time.Time
}

// Ticket returns the ticket that was refused.
func (r Refusal) Ticket() string { return r.ticket }

// Code returns the error code.
func (r Refusal) Code() string { return r.code }

// Ran returns what the answer said about started tasks.
func (r Refusal) Ran() string { return r.ran }

// Received returns the time at which the refusal was there.
func (r Refusal) Received() time.Time { return r.received }

// Sending is one time that a submission was sent, answered or not.
type Transmission struct {
	ticket string
	sentAt time.Time
}

// Ticket returns the ticket that was sent.
func (s Transmission) Ticket() string { return s.ticket }

// At returns the time before which nothing was sent.
func (s Transmission) SentAt() time.Time { return s.sentAt }

// Sendings returns the attempts that were sent, in their order.
func (r *Record) Transmissions() []Transmission {
	var out []Transmission

	for _, a := range r.attempts {
		if a.ticket != "" {
			out = append(out, Transmission{a.ticket, a.sentAt})
		}
	}

	return out
}

// Refusals returns the refusals of all attempts, those under tickets that were given up for a new one included.
func (r *Record) Refusals() []Refusal {
	var out []Refusal

	for _, a := range r.attempts {
		if a.ticket != "" && a.code != "" {
			out = append(out, Refusal{a.ticket, a.code, a.ran, a.sentAt.Add(a.duration)})
		}
	}

	return out
}

// Arrived returns the time at which the submission had to be sent.
func (r *Record) Arrived() time.Time { return r.arrived }

// Answered returns the time of the last answer.
func (r *Record) Answered() time.Time { return r.answered }

// Outputs returns the outputs of a complete answer, in the order of the tasks.
func (r *Record) Outputs() [][]byte { return r.outputs }

// Response returns the time from the arrival to the last answer.
func (r *Record) ResponseTime() time.Duration { return r.answered.Sub(r.arrived) }

// Error returns a text about the last attempt for people, empty for a complete answer.
func (r *Record) Error() string {
	a := r.lastAttempt()
	if a.err != nil {
		return a.err.Error()
	}

	return a.message
}

// final reports that the answer needs no other attempt.
func (a Attempt) isFinal() bool { return a.status != 0 && !a.refusedByLeavingEntry() }

// moved reports a refusal by a leaving entry, after which a new ticket of another entry is safe.
func (a Attempt) refusedByLeavingEntry() bool { return a.code == "leaving" && a.ran == "none" }

// refusalBody is the JSON form of errors of section 9 of docs/design.md.
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

// MarshalJSON returns the form that is written to a file of records.
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
