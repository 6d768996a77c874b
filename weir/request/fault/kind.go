// Package fault defines the error kinds and the HTTP response to each of them.
package fault

import (
	"net/http"
	"time"
)

// Kind is an error kind. The list of kinds is closed. The zero value is Internal.
type Kind uint8

// The error kinds.
const (
	Internal Kind = iota
	InvalidRequest
	Unauthenticated
	Forbidden
	UnknownSubmission
	Conflict
	TicketExpired
	TicketRefused
	KeyExpired
	AnswerReleased
	TooLarge
	NeverRunnable
	Overloaded
	Cancelled
	TaskFailed
	BackendFailed
	HomeLost
	NoAgreement
	NoWorkers
	LogUnavailable
	Leaving
	DeadlineUnreachable
	DeadlineExceeded
	kindCount
)

// Ran states how much of a submission was started.
type Ran string

// The values of Ran.
const (
	RanNone    Ran = "none"
	RanSome    Ran = "some"
	RanAll     Ran = "all"
	RanUnknown Ran = "unknown"
)

type kindProperties struct {
	code       string
	status     int
	ran        Ran
	retryAfter time.Duration
}

// properties holds the response to each kind. An error may override the Ran and the retry time of its kind.
var properties = [kindCount]kindProperties{
	Internal:            {"internal", http.StatusInternalServerError, RanUnknown, 0},
	InvalidRequest:      {"invalid_request", http.StatusBadRequest, RanNone, 0},
	Unauthenticated:     {"unauthenticated", http.StatusUnauthorized, RanNone, 0},
	Forbidden:           {"forbidden", http.StatusForbidden, RanNone, 0},
	UnknownSubmission:   {"unknown_submission", http.StatusNotFound, RanUnknown, 0},
	Conflict:            {"conflict", http.StatusConflict, RanUnknown, 0},
	TicketExpired:       {"ticket_expired", http.StatusGone, RanUnknown, 0},
	TicketRefused:       {"ticket_refused", http.StatusConflict, RanNone, 0},
	KeyExpired:          {"key_expired", http.StatusGone, RanUnknown, 0},
	AnswerReleased:      {"answer_released", http.StatusGone, RanAll, 0},
	TooLarge:            {"too_large", http.StatusRequestEntityTooLarge, RanNone, 0},
	NeverRunnable:       {"never_runnable", http.StatusUnprocessableEntity, RanNone, 0},
	Overloaded:          {"overloaded", http.StatusTooManyRequests, RanNone, time.Second},
	Cancelled:           {"cancelled", http.StatusConflict, RanUnknown, 0},
	TaskFailed:          {"task_failed", http.StatusBadGateway, RanSome, 0},
	BackendFailed:       {"backend_failed", http.StatusBadGateway, RanSome, 0},
	HomeLost:            {"home_lost", http.StatusBadGateway, RanUnknown, 0},
	NoAgreement:         {"no_agreement", http.StatusServiceUnavailable, RanNone, 2 * time.Second},
	NoWorkers:           {"no_workers", http.StatusServiceUnavailable, RanNone, 2 * time.Second},
	LogUnavailable:      {"log_unavailable", http.StatusServiceUnavailable, RanNone, 5 * time.Second},
	Leaving:             {"leaving", http.StatusServiceUnavailable, RanNone, 100 * time.Millisecond},
	DeadlineUnreachable: {"deadline_unreachable", http.StatusServiceUnavailable, RanNone, time.Second},
	DeadlineExceeded:    {"deadline_exceeded", http.StatusGatewayTimeout, RanUnknown, 0},
}

// Code returns the stable code that callers see.
func (k Kind) Code() string {
	return properties[k].code
}

// Status returns the HTTP status code.
func (k Kind) Status() int {
	return properties[k].status
}

// String implements fmt.Stringer; it returns the code.
func (k Kind) String() string {
	return k.Code()
}

// KindOfCode returns the kind with that code, or false if there is none.
func KindOfCode(code string) (Kind, bool) {
	for k, r := range properties {
		if r.code == code {
			return Kind(k), true
		}
	}

	return Internal, false
}

// Kinds returns all kinds in the order of their declaration.
func Kinds() []Kind {
	kinds := make([]Kind, 0, kindCount)
	for k := range kindCount {
		kinds = append(kinds, k)
	}

	return kinds
}
