package job

import "time"

// Outcome is how a job ended for its caller: one of Completed, Failed, Refused, Cancelled and Broken.
type Outcome interface{ outcome() }

// Completed means that every task is done.
type Completed struct{}

// Failed means that a task has failed as often as the terms allow.
type Failed struct{}

// Refused means that no task has started, nor will.
type Refused struct {
	reason     string
	retryAfter time.Duration
}

// Cancelled means that the caller has cancelled the job.
type Cancelled struct{}

// Broken means that tasks have started and the job was given up. It may be sent again.
type Interrupted struct{ reason string }

// NewRefused returns a refusal with its reason and the time after which another try is likely to succeed.
func NewRefused(reason string, retryAfter time.Duration) Refused { return Refused{reason, retryAfter} }

// NewBroken returns a job that was given up after its start.
func NewInterrupted(reason string) Interrupted { return Interrupted{reason} }

// Reason tells why the job was refused.
func (r Refused) Reason() string { return r.reason }

// After returns when to come back.
func (r Refused) RetryAfter() time.Duration { return r.retryAfter }

// Reason tells why the job was given up.
func (i Interrupted) Reason() string { return i.reason }

func (Completed) outcome()   {}
func (Failed) outcome()      {}
func (Refused) outcome()     {}
func (Cancelled) outcome()   {}
func (Interrupted) outcome() {}
