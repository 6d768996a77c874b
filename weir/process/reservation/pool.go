// Package reservation allocates the capacity of one backend server to the jobs that request it.
//
// When entries request more than there is, requests wait in one queue, ordered by priority and then by the time that
// they have waited, and capacity that becomes free goes to the first of them. A job with many tasks thus accumulates
// reservations instead of losing each to a smaller job that came later. The package does no input or output; the caller
// passes the time in.
//
// CPU figures are in millicores, thousandths of a core.
package reservation

import (
	"cmp"
	"slices"
	"time"

	"github.com/skylarkweir/skylarkweir/weir/request/job"
)

// Key identifies a request by the session of the entry and the number that the entry gave to the job.
type Key struct {
	session, job uint64
}

// NewKey returns the key of a job in a session.
func NewKey(session, job uint64) Key { return Key{session, job} }

// Session returns the number of the entry's session.
func (k Key) Session() uint64 { return k.session }

// Job returns the number that the entry gave to the job.
func (k Key) Job() uint64 { return k.job }

// Request is a request for reservations for the tasks of one job.
type Request struct {
	key Key
	// tasks is the number of tasks without a reservation. A request with none is not queued.
	tasks    int
	size     job.Size
	priority int
	// waitingSince is when the job began to wait, on the clock of the caller of this package.
	waitingSince time.Duration
	// expiry is when the request is dropped.
	expiry time.Duration
	// expectedRunTime is how long a task is expected to use its reservation.
	expectedRunTime time.Duration
	// neededShare is the part of the requested tasks, from 0 to 1, that the job needs here. It is below 1 if the job
	// requests more reservations than it needs, at several backend servers.
	neededShare float64
}

// NewRequest returns a request that has waited since waitingSince and is dropped at expiry.
func NewRequest(
	key Key, tasks int, size job.Size, priority int, waitingSince, expiry, expectedRunTime time.Duration,
	neededShare float64,
) Request {
	return Request{key, tasks, size, priority, waitingSince, expiry, expectedRunTime, neededShare}
}

// Grant is a number of new reservations for the tasks of a job.
type Grant struct {
	key   Key
	tasks int
}

// Key returns the key of the granted request.
func (g Grant) Key() Key { return g.key }

// Tasks returns the number of reserved tasks.
func (g Grant) Tasks() int { return g.tasks }

const (
	// grantTimeout is how long reservations are kept for an entry that neither launches nor releases them. An entry
	// answers within a round trip; the rest allows for one lost packet.
	grantTimeout = 400 * time.Millisecond
	// minLongRunTime is the expected run time from which a task is long: it may use neither the headroom nor the
	// overcommit.
	minLongRunTime = 400 * time.Millisecond
	// headroomShare is the part of the capacity that long tasks leave free for short ones.
	headroomShare = 0.1
	// maxOvercommitShare is the most that is reserved for short tasks beyond the capacity, as a part of the capacity.
	maxOvercommitShare = 0.12
)

// reservedTasks are the reservations of a key that have not been launched.
type reservedTasks struct {
	tasks  int
	size   job.Size
	expiry time.Duration
}

// Pool is the capacity of one backend server with its reservations and the queue of requests. The zero value has no
// capacity. It is not safe for concurrent use.
type Pool struct {
	// allocated covers reserved, launched and running tasks and what is occupied. It may exceed the capacity by the
	// overcommit, and by more after the capacity was lowered or more of it was occupied. running covers the running tasks
	// and what is occupied.
	capacity, allocated, running job.Size
	// occupied is the capacity that is used by what no key has launched.
	occupied job.Size
	// headroom is the part of the capacity that long tasks leave free, in millicores.
	headroom int64
	// overcommit is the CPU in millicores that is expected to become free within a round trip to the entry. It is reserved
	// for short tasks ahead of time, so that the next one has arrived when a running one ends.
	overcommit int64
	limits     coldLimits
	// requests are sorted in the order of service.
	requests []Request
	reserved map[Key]reservedTasks
}

// Headroom returns the part of a capacity that long tasks leave free, both in millicores.
func Headroom(cpu int64) int64 { return int64(float64(cpu) * headroomShare) }

// SetCapacity replaces the capacity and the headroom, in millicores, that long tasks leave free.
func (p *Pool) SetCapacity(capacity job.Size, headroom int64) {
	p.capacity, p.headroom = capacity, headroom
}

// SetOccupied sets the capacity that is used by what no key has launched, and reports whether any part of it has grown.
func (p *Pool) SetOccupied(s job.Size) bool {
	grown := s.Millicores() > p.occupied.Millicores() || s.MemoryMB() > p.occupied.MemoryMB()

	p.allocated = p.allocated.Minus(p.occupied).Plus(s)
	p.running = p.running.Minus(p.occupied).Plus(s)
	p.occupied = s

	return grown
}

// Capacity returns the capacity without the overcommit.
func (p *Pool) Capacity() job.Size { return p.capacity }

// Allocated returns the capacity of reserved, launched and running tasks, and what is occupied.
func (p *Pool) Allocated() job.Size { return p.allocated }

// SetOvercommit sets the CPU in millicores that is expected to become free within a round trip to the entry. It is
// limited to maxOvercommitShare of the capacity.
func (p *Pool) SetOvercommit(cpu int64) {
	p.overcommit = min(cpu, int64(float64(p.capacity.Millicores())*maxOvercommitShare))
}

// Free returns the capacity that is not allocated.
func (p *Pool) Free() job.Size { return p.usable().Minus(p.allocated) }

// QueuedCPU returns the CPU that is needed and not reserved, in millicores for each priority.
func (p *Pool) QueuedCPU() []int64 {
	queued := make([]int64, PriorityCount)
	for _, r := range p.requests {
		queued[ClampPriority(r.priority)] += int64(float64(r.size.Millicores()*int64(r.tasks)) * r.neededShare)
	}

	return queued
}

// HasRequests reports whether any request is queued.
func (p *Pool) HasRequests() bool { return len(p.requests) > 0 }

// Add queues a request. It replaces a request with the same key. The reservations of a key have one size, so a request for
// another size releases those of the earlier one.
func (p *Pool) Add(r Request) {
	p.drop(r.key)

	if h, ok := p.reserved[r.key]; ok && h.size != r.size {
		p.Release(r.key)
	}

	if r.tasks <= 0 {
		return
	}

	i, _ := slices.BinarySearchFunc(p.requests, r, compare)
	p.requests = slices.Insert(p.requests, i, r)
}

func compare(a, b Request) int {
	return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.waitingSince, b.waitingSince),
		cmp.Compare(a.key.session, b.key.session), cmp.Compare(a.key.job, b.key.job))
}

func (p *Pool) drop(k Key) {
	p.requests = slices.DeleteFunc(p.requests, func(r Request) bool { return r.key == k })
}

// Allocate reserves free capacity for the queued requests in their order and returns the new reservations. It drops
// expired requests.
func (p *Pool) Allocate(now time.Duration) []Grant {
	p.requests = slices.DeleteFunc(p.requests, func(r Request) bool { return r.expiry <= now })

	var grants []Grant

	remaining := p.requests[:0]
	blocked := false
	starts := p.startsToReserve()

	for _, r := range p.requests {
		n := 0
		if !blocked {
			n = min(p.fittingTasks(r), starts)
			starts -= n
		}

		if n > 0 {
			grants = append(grants, Grant{r.key, n})
			p.reserve(r, n, now)
			r.tasks -= n
		}

		if r.tasks > 0 {
			remaining = append(remaining, r)
			// A long request may be waiting only because of the headroom; it does not block short ones behind it.
			blocked = blocked || r.expectedRunTime < minLongRunTime
		}
	}

	clear(p.requests[len(remaining):])
	p.requests = remaining

	return grants
}

// availableTo returns the capacity that the request may use.
func (p *Pool) availableTo(r Request) job.Size {
	if r.expectedRunTime >= minLongRunTime {
		return p.usable().Minus(p.allocated).Minus(job.NewSize(p.headroom, 0))
	}

	return p.usable().Plus(job.NewSize(p.overcommit, 0)).Minus(p.allocated)
}

// fittingTasks returns how many tasks of the request fit into the available capacity. An idle backend server accepts
// one task that fits into its capacity even if that task uses the headroom.
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

// PriorityCount is the number of priorities that are counted separately; less urgent ones count as the last.
const PriorityCount = 4

// ClampPriority returns the priority under which a request is counted.
func ClampPriority(priority int) int { return max(0, min(priority, PriorityCount-1)) }

// Begin counts a launched task as running. It returns false if the capacity has no space for it yet, as with a task
// that was reserved as overcommit.
func (p *Pool) Begin(s job.Size) bool {
	if p.capacity.Minus(p.running).CountFitting(s, 1) == 0 {
		return false
	}

	p.running = p.running.Plus(s)

	return true
}

// Launch turns at most n reserved tasks of the key into launched ones and returns their size and number.
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

// Release frees the reservations of the key and drops its request.
func (p *Pool) Release(k Key) {
	p.drop(k)

	if h, ok := p.reserved[k]; ok {
		p.allocated = p.allocated.Minus(h.size.Times(h.tasks))
		delete(p.reserved, k)
	}
}

// End frees the capacity of a task that has ended after Begin.
func (p *Pool) End(s job.Size) {
	p.Cancel(s)
	p.running = p.running.Minus(s)
}

// Cancel frees the capacity of a launched task for which Begin did not succeed.
func (p *Pool) Cancel(s job.Size) { p.allocated = p.allocated.Minus(s) }

// Expire releases the keys whose reservations were not launched in time and returns the number of keys.
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

// ReleaseReserved releases all reservations that were not launched, after the capacity was lowered below them. Requests
// stay queued.
func (p *Pool) ReleaseReserved() {
	for k, h := range p.reserved {
		p.allocated = p.allocated.Minus(h.size.Times(h.tasks))
		delete(p.reserved, k)
	}
}

// Exceeded reports whether more than the capacity is allocated beyond the overcommit.
func (p *Pool) Exceeded() bool {
	limit := p.capacity.Plus(job.NewSize(p.overcommit, 0))

	return p.allocated.Millicores() > limit.Millicores() || p.allocated.MemoryMB() > limit.MemoryMB()
}

// ReleaseSession drops the requests of a session and frees its reservations that were not launched.
func (p *Pool) ReleaseSession(session uint64) {
	p.requests = slices.DeleteFunc(p.requests, func(r Request) bool { return r.key.session == session })

	for k := range p.reserved {
		if k.session == session {
			p.Release(k)
		}
	}
}

// AddSessions adds the sessions that have requests or reservations.
func (p *Pool) AddSessions(inUse map[uint64]bool) {
	for _, r := range p.requests {
		inUse[r.key.session] = true
	}

	for k := range p.reserved {
		inUse[k.session] = true
	}
}

// Clear drops all requests and reservations, for a backend server that accepts no more tasks.
func (p *Pool) Clear() {
	p.requests = nil

	for k := range p.reserved {
		p.Release(k)
	}
}
