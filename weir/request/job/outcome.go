package job

import "time"

// Outcome is the result of a job for its caller: Completed, Failed, Refused, Cancelled or Interrupted.
type Outcome interface{ outcome() }

// Completed means that every task has succeeded.
type Completed struct{}

// Failed means that a task has failed as often as the policy of the job allows.
type Failed struct{}

// Refused means that no task has been started, and none will be.
type Refused struct {
	reason     string
	retryAfter time.Duration
}

// Cancelled means that the caller has cancelled the job.
type Cancelled struct{}

// Interrupted means that the job was abandoned after tasks had started. It may be submitted again.
type Interrupted struct{ reason string }

// NewRefused returns a refusal with its reason and the time after which a retry is likely to succeed.
func NewRefused(reason string, retryAfter time.Duration) Refused { return Refused{reason, retryAfter} }

// NewInterrupted returns the outcome of a job that was abandoned after tasks had started.
func NewInterrupted(reason string) Interrupted { return Interrupted{reason} }

// Reason returns why the job was refused.
func (r Refused) Reason() string { return r.reason }

// RetryAfter returns the time after which a retry is likely to succeed.
func (r Refused) RetryAfter() time.Duration { return r.retryAfter }

// Reason returns why the job was abandoned.
func (i Interrupted) Reason() string { return i.reason }

func (Completed) outcome()   {}
func (Failed) outcome()      {}
func (Refused) outcome()     {}
func (Cancelled) outcome()   {}
func (Interrupted) outcome() {}
