// Package reservation shares the room of one backend server among the jobs that ask for it.
//
// It answers a load in which many entries ask for more than there is: requests wait in one order, the most urgent first
// and the longest waiting first among equals, and room that becomes free goes to the first of them. A job that needs
// many places collects them, instead of losing each to a smaller job that came later. It does no input or output; the
// caller gives the time.
package reservation

import (
	"cmp"
	"slices"
	"time"

	"github.com/skylarkweir/skylarkweir/weir/request/job"
)

// Key names a request: the session of the entry and the entry's number of the job.
type Key struct {
	session, job uint64
}

// NewKey returns the key of a job in a session.
func NewKey(session, job uint64) Key { return Key{session, job} }

// Session returns the number of the session.
func (k Key) Session() uint64 { return k.session }

// Job returns the entry's number of the job.
func (k Key) Job() uint64 { return k.job }

// Request asks for room for tasks of one job.
type Request struct {
	key Key
	// tasks is how many places are missing; a request without missing places is not kept.
	tasks    int
	size     job.Size
	priority int
	// since is when the job began to wait, on the clock of the caller of this package.
	waitingSince time.Duration
	// until is when the request is dropped.
	expiry time.Duration
	// expected is how long a task will occupy the place.
	expectedRunTime time.Duration
	// needed is the part of the tasks that the job needs here, from 0 to 1. The rest is asked for at several places.
	neededShare float64
}

// NewRequest returns a request that has waited since the first time and is dropped at the second.
func NewRequest(key Key, tasks int, size job.Size, priority int, waitingSince, expiry, expectedRunTime time.Duration, neededShare float64) Request {
	return Request{key, tasks, size, priority, waitingSince, expiry, expectedRunTime, neededShare}
}

// Grant is room reserved for tasks of a job.
type Grant struct {
	key   Key
	tasks int
}

// Key returns the request that the room is for.
func (g Grant) Key() Key { return g.key }

// Tasks returns the number of places.
func (g Grant) Tasks() int { return g.tasks }

const (
	// grantHold is how long reserved room is kept for an entry that neither launches nor releases. An entry answers
	// within a round trip; the rest allows for one lost packet.
	grantTimeout = 400 * time.Millisecond
	// longRun is the expected run time from which on a task may use neither the headroom nor the advance.
	minLongRunTime = 400 * time.Millisecond
	// headroomShare is the part of a backend server that long tasks leave free for short ones.
	headroomShare = 0.1
	// advanceShare is the most that is reserved beyond the capacity for short tasks, as a part of it.
	maxOvercommitShare = 0.12
)

// held is room that is reserved and not launched.
type reservedTasks struct {
	tasks  int
	size   job.Size
	expiry time.Duration
}

// Room is the room of one backend server. The zero value has no capacity. It is not safe for concurrent use.
type Pool struct {
	// used holds what runs, what is launched and what is reserved; it may exceed the capacity by the advance, and by more
	// after the capacity was lowered. running is the part that runs.
	capacity, allocated, running job.Size
	// headroom is the part of the capacity that long tasks leave free, in thousandths of a core.
	headroom int64
	// advance is what is expected to become free within a round trip to the entry, in thousandths of a core. It is
	// reserved for short tasks ahead of time, so that the next one is at hand when a place becomes free.
	overcommit int64
	// requests are in the order of service.
	requests []Request
	reserved map[Key]reservedTasks
}

// Headroom returns what long tasks leave free of a capacity, both in thousandths of a core.
func Headroom(cpu int64) int64 { return int64(float64(cpu) * headroomShare) }

// SetCapacity replaces the capacity. Long tasks leave headroom thousandths of a core free.
func (p *Pool) SetCapacity(capacity job.Size, headroom int64) {
	p.capacity, p.headroom = capacity, headroom
}

// Capacity returns the capacity.
func (p *Pool) Capacity() job.Size { return p.capacity }

// SetAdvance sets how many thousandths of a core are expected to become free within a round trip to the entry.
func (p *Pool) SetOvercommit(cpu int64) {
	p.overcommit = min(cpu, int64(float64(p.capacity.Millicores())*maxOvercommitShare))
}

// Free returns what is neither used nor reserved.
func (p *Pool) Free() job.Size { return p.capacity.Minus(p.allocated) }

// Queued returns what is needed and not reserved, in thousandths of a core for each priority.
func (p *Pool) QueuedCPU() []int64 {
	queued := make([]int64, PriorityCount)
	for _, r := range p.requests {
		queued[ClampPriority(r.priority)] += int64(float64(r.size.Millicores()*int64(r.tasks)) * r.neededShare)
	}

	return queued
}

// Waiting tells whether any request waits.
func (p *Pool) HasRequests() bool { return len(p.requests) > 0 }

// Add queues a request. A request of the same key is replaced.
func (p *Pool) Add(r Request) {
	p.drop(r.key)

	if r.tasks <= 0 {
		return
	}

	i, _ := slices.BinarySearchFunc(p.requests, r, compare)
	p.requests = slices.Insert(p.requests, i, r)
}

func compare(r, b Request) int {
	return cmp.Or(cmp.Compare(r.priority, b.priority), cmp.Compare(r.waitingSince, b.waitingSince),
		cmp.Compare(r.key.session, b.key.session), cmp.Compare(r.key.job, b.key.job))
}

func (p *Pool) drop(k Key) {
	p.requests = slices.DeleteFunc(p.requests, func(r Request) bool { return r.key == k })
}

// Settle reserves free room for the waiting requests in their order and returns what it reserved.
func (p *Pool) Allocate(now time.Duration) []Grant {
	p.requests = slices.DeleteFunc(p.requests, func(r Request) bool { return r.expiry <= now })

	var grants []Grant

	remaining := p.requests[:0]
	blocked := false

	for _, r := range p.requests {
		n := 0
		if !blocked {
			n = p.fittingTasks(r)
		}

		if n > 0 {
			grants = append(grants, Grant{r.key, n})
			p.reserve(r, n, now)
			r.tasks -= n
		}

		if r.tasks > 0 {
			remaining = append(remaining, r)
			// A request that waits for the headroom only does not stop shorter ones behind it.
			blocked = blocked || r.expectedRunTime < minLongRunTime
		}
	}

	clear(p.requests[len(remaining):])
	p.requests = remaining

	return grants
}

// freeFor returns what the request may use.
func (p *Pool) availableTo(r Request) job.Size {
	if r.expectedRunTime >= minLongRunTime {
		return p.capacity.Minus(p.allocated).Minus(job.NewSize(p.headroom, 0))
	}

	return p.capacity.Plus(job.NewSize(p.overcommit, 0)).Minus(p.allocated)
}

// places returns how many tasks of the request find room. An empty backend server takes one task of any size that fits.
func (p *Pool) fittingTasks(r Request) int {
	n := p.availableTo(r).CountFitting(r.size, r.tasks)
	if n == 0 && p.allocated == (job.Size{}) {
		n = p.capacity.CountFitting(r.size, 1)
	}

	return n
}

func (p *Pool) reserve(r Request, n int, now time.Duration) {
	if p.reserved == nil {
		p.reserved = map[Key]reservedTasks{}
	}

	h := p.reserved[r.key]
	h.tasks += n
	h.size = r.size
	h.expiry = now + grantTimeout
	p.reserved[r.key] = h
	p.allocated = p.allocated.Plus(r.size.Times(n))
}

// Priorities is the number of priorities that are told apart; less urgent ones count as the last.
const PriorityCount = 4

// Level returns the priority under which a request is counted.
func ClampPriority(priority int) int { return max(0, min(priority, PriorityCount-1)) }

// Begin takes a place for a launched task that is to run now, and tells whether there is one.
func (p *Pool) Begin(s job.Size) bool {
	if p.capacity.Minus(p.running).CountFitting(s, 1) == 0 {
		return false
	}

	p.running = p.running.Plus(s)

	return true
}

// Launch turns at most n reserved places of the key into launched ones and returns how many it turned.
func (p *Pool) Launch(k Key, n int) (job.Size, int) {
	h := p.reserved[k]
	n = min(n, h.tasks)
	h.tasks -= n

	if h.tasks == 0 {
		delete(p.reserved, k)
	} else if n > 0 {
		p.reserved[k] = h
	}

	return h.size, n
}

// Release gives back what is reserved for the key and drops its request.
func (p *Pool) Release(k Key) {
	p.drop(k)

	if h, ok := p.reserved[k]; ok {
		p.allocated = p.allocated.Minus(h.size.Times(h.tasks))
		delete(p.reserved, k)
	}
}

// End gives back the place of a task that has ended after it began.
func (p *Pool) End(s job.Size) {
	p.Cancel(s)
	p.running = p.running.Minus(s)
}

// Cancel gives back the place of a launched task that did not begin.
func (p *Pool) Cancel(s job.Size) { p.allocated = p.allocated.Minus(s) }

// Expire gives back reservations whose time has passed and returns their number.
func (p *Pool) Expire(now time.Duration) int {
	n := 0

	for k, h := range p.reserved {
		if h.expiry <= now {
			p.Release(k)

			n++
		}
	}

	return n
}

// Leave releases everything of a session that was not launched.
func (p *Pool) ReleaseSession(session uint64) {
	p.requests = slices.DeleteFunc(p.requests, func(r Request) bool { return r.key.session == session })

	for k := range p.reserved {
		if k.session == session {
			p.Release(k)
		}
	}
}

// Clear drops all requests and reservations, as when the backend server takes no more tasks.
func (p *Pool) Clear() {
	p.requests = nil

	for k := range p.reserved {
		p.Release(k)
	}
}
