// Package jobmemory remembers ids of jobs for a while, so that a copy of a submission that arrives late starts nothing.
// Callers send a job again when they have lost its answer, and a copy may arrive seconds after that.
//
// All times are on the clock of package uptime.
package jobmemory

import (
	"cmp"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// maxIDBytes limits the id of a job that is remembered. Longer ones are not sent by callers that send a job again.
const maxIDBytes = 256

// Limit limits a memory of jobs. A part that is zero has the default of the memory.
type Limit struct {
	maxJobs int
	maxAge  time.Duration
}

// NewLimit returns a limit of the number of jobs and of their age.
func NewLimit(maxJobs int, maxAge time.Duration) Limit { return Limit{max(0, maxJobs), max(0, maxAge)} }

// or returns the limit with defaults in place of zeros.
func (l Limit) or(maxJobs int, maxAge time.Duration) Limit {
	return Limit{cmp.Or(l.maxJobs, maxJobs), cmp.Or(l.maxAge, maxAge)}
}

// expiring holds values by the id of a job for a time, the newest ones if there are too many. It is not safe for concurrent
// use.
type expiring[V any] struct {
	// values is nil until the first one is added. The oldest value is the first to go.
	values *simplelru.LRU[string, entry[V]]
}

type entry[V any] struct {
	value V
	// at is the time from which the age of the value is counted.
	at time.Duration
}

// add remembers a value. It drops the values beyond the limit, the oldest ones first.
func (e *expiring[V]) add(id string, v V, at, now time.Duration, l Limit) {
	if len(id) > maxIDBytes {
		return
	}

	if e.values == nil {
		// The size is positive, so there is no error.
		e.values, _ = simplelru.NewLRU[string, entry[V]](l.maxJobs, nil)
	}

	for {
		_, oldest, ok := e.values.GetOldest()
		if !ok || now-oldest.at <= l.maxAge {
			break
		}

		e.values.RemoveOldest()
	}

	e.values.Add(id, entry[V]{v, at})
}

// get returns a value that is not older than the limit.
func (e *expiring[V]) get(id string, now time.Duration, l Limit) (entry[V], bool) {
	if e.values == nil {
		return entry[V]{}, false
	}

	found, ok := e.values.Peek(id)

	return found, ok && now-found.at <= l.maxAge
}

func (e *expiring[V]) len() int {
	if e.values == nil {
		return 0
	}

	return e.values.Len()
}
