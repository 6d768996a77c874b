// Package leasedbackend stands in for a backend server that runs tasks under a lease. The input of a task says how it
// behaves: a duration such as "60ms", "fail", or "hang".
package leasedbackend

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/skylarkweir/skylarkweir/sidecar/repeatable"
)

// Inputs of tasks that do not end by themselves.
const (
	Fail = "fail"
	Hang = "hang"
)

// maxLease is the longest lease that is granted.
const maxLease = time.Second

// errNoAnswer is returned when an answer is lost.
var errNoAnswer = errors.New("no answer")

// Fault changes how calls are answered.
type Fault uint8

// The faults.
const (
	// Healthy answers every call.
	Healthy Fault = iota
	// Mute carries calls out and does not answer.
	Mute
	// Dark does not carry calls out.
	Dark
	// Refusing answers starts that it is unwell.
	Refusing
)

// Server is one life of a backend server. New makes it.
type Server struct {
	mu       sync.Mutex
	instance string
	born     time.Time
	fault    Fault
	// dropped is the number of starts whose answer is still to be lost.
	dropped int
	// hanging is the number of starts that are still to run on without an end.
	hanging int
	token   int64
	// until is the end of the lease on the clock of this server.
	until   time.Duration
	running map[repeatable.Task]*run
	ended   []repeatable.EndedRun
	// last is the highest run of each task that ended or was stopped here.
	last   map[repeatable.Task]int64
	number uint64
	// changed is closed when an end is added.
	changed chan struct{}
	// starts counts the starts of each task, together the most tasks at the same time.
	starts   map[repeatable.Task]int
	together int
}

type run struct {
	run   repeatable.Run
	timer *time.Timer
}

// New returns a backend server that begins its life.
func New(instance string) *Server {
	return &Server{
		instance: instance, born: time.Now(), running: map[repeatable.Task]*run{}, last: map[repeatable.Task]int64{},
		changed: make(chan struct{}), starts: map[repeatable.Task]int{},
	}
}

// Instance returns the id of this life.
func (s *Server) Instance() string { return s.instance }

// Born returns the begin of this life in Unix milliseconds.
func (s *Server) Born() int64 { return s.born.UnixMilli() }

// SetFault changes how calls are answered.
func (s *Server) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.fault = f
}

// DropAnswers loses the answers to the next n starts, which are carried out.
func (s *Server) DropAnswers(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.dropped = n
}

// HangNext lets the next n starts run on without an end.
func (s *Server) HangNext(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.hanging = n
}

// RaiseToken lets every lower fencing token be rejected.
func (s *Server) RaiseToken(token int64) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.token = token
}

// Place starts a run that nobody asked for, as an order that was carried out late does.
func (s *Server) Place(r repeatable.Run) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.running[r.Task()] = &run{run: r}
}

// Running returns the tasks that run.
func (s *Server) Running() []repeatable.Task {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.expire()

	all := make([]repeatable.Task, 0, len(s.running))
	for t := range s.running {
		all = append(all, t)
	}

	return all
}

// Starts returns how often a task was started.
func (s *Server) Starts(t repeatable.Task) int {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.starts[t]
}

// Together returns the largest number of tasks that ran at the same time.
func (s *Server) Together() int {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.together
}

func (s *Server) clock() time.Duration { return time.Since(s.born) + time.Second }

// expire kills everything when the lease has ended.
func (s *Server) expire() {
	if s.until == 0 || s.clock() <= s.until {
		return
	}

	for t := range s.running {
		s.end(t, repeatable.Lost)
	}
}

func (s *Server) end(t repeatable.Task, how repeatable.Outcome) {
	r := s.running[t]
	if r == nil {
		return
	}

	if r.timer != nil {
		r.timer.Stop()
	}

	delete(s.running, t)
	s.last[t] = max(s.last[t], r.run.Number())
	s.number++
	s.ended = append(s.ended, repeatable.NewEndedRun(s.number, r.run, how))

	close(s.changed)
	s.changed = make(chan struct{})
}

// admit checks the instance and the fault of a call.
func (s *Server) admit(ctx context.Context, p repeatable.Permit) error {
	if s.fault == Dark {
		s.mu.Unlock()
		<-ctx.Done()
		s.mu.Lock()

		return ctx.Err()
	}

	if p.Instance() != s.instance {
		return repeatable.ErrOtherInstance
	}

	return nil
}

func (s *Server) renew(until time.Duration) {
	s.expire()
	s.until = max(s.until, min(until, s.clock()+maxLease))
}

// answer loses the answer of a call that was carried out if the fault is Mute.
func (s *Server) answer(ctx context.Context) error {
	if s.fault != Mute {
		return nil
	}

	s.mu.Unlock()
	<-ctx.Done()
	s.mu.Lock()

	return ctx.Err()
}

// Start starts a run.
func (s *Server) Start(ctx context.Context, r repeatable.Run, input string, p repeatable.Permit) (repeatable.StartResult, time.Duration, error) {
	s.mu.Lock()
	defer s.mu.Unlock()

	if err := s.admit(ctx, p); err != nil {
		return 0, 0, err
	}

	answer := s.start(r, input, p)

	if s.dropped > 0 {
		s.dropped--

		return 0, 0, errNoAnswer
	}

	return answer, s.clock(), s.answer(ctx)
}

func (s *Server) start(r repeatable.Run, input string, p repeatable.Permit) repeatable.StartResult {
	present := s.running[r.Task()]

	switch {
	case s.fault == Refusing:
		return repeatable.Unhealthy
	case p.Token() < s.token:
		return repeatable.Fenced
	case p.LeaseEnd() <= s.clock():
		return repeatable.LeaseExpired
	case present != nil && present.run == r:
		return repeatable.Started
	case present != nil || r.Number() <= s.last[r.Task()]:
		return repeatable.Outdated
	}

	s.token = p.Token()
	s.renew(p.LeaseEnd())

	one := &run{run: r}
	s.running[r.Task()] = one
	s.starts[r.Task()]++
	s.together = max(s.together, len(s.running))

	if s.hanging > 0 {
		s.hanging--
		input = Hang
	}

	switch input {
	case Hang:
	case Fail:
		one.timer = time.AfterFunc(time.Millisecond, func() { s.finish(one, repeatable.Failed) })
	default:
		d, err := time.ParseDuration(input)
		if err != nil {
			d = time.Millisecond
		}

		one.timer = time.AfterFunc(d, func() { s.finish(one, repeatable.Done) })
	}

	return repeatable.Started
}

// finish ends a run by itself.
func (s *Server) finish(one *run, how repeatable.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.expire()

	if s.running[one.run.Task()] == one {
		s.end(one.run.Task(), how)
	}
}

// Stop ends a run.
func (s *Server) Stop(ctx context.Context, r repeatable.Run, p repeatable.Permit) error {
	s.mu.Lock()
	defer s.mu.Unlock()

	if err := s.admit(ctx, p); err != nil {
		return err
	}

	s.last[r.Task()] = max(s.last[r.Task()], r.Number())

	if one := s.running[r.Task()]; one != nil && one.run.Number() <= r.Number() {
		s.end(r.Task(), repeatable.Stopped)
	}

	return s.answer(ctx)
}

// Watch renews the lease and returns what runs and what has ended.
func (s *Server) Watch(ctx context.Context, seen uint64, wait time.Duration, p repeatable.Permit) (repeatable.WatchResult, error) {
	s.mu.Lock()
	defer s.mu.Unlock()

	if err := s.admit(ctx, p); err != nil {
		return repeatable.WatchResult{}, err
	}

	if p.Token() < s.token {
		return repeatable.NewFencedWatchResult(s.clock()), nil
	}

	s.token = p.Token()
	s.renew(p.LeaseEnd())
	s.ended = slices.DeleteFunc(s.ended, func(e repeatable.EndedRun) bool { return e.Number() <= seen })

	if len(s.ended) == 0 && wait > 0 {
		s.await(ctx, wait)
	}

	s.expire()

	all := make([]repeatable.Run, 0, len(s.running))
	for _, r := range s.running {
		all = append(all, r.run)
	}

	return repeatable.NewWatchResult(s.clock(), s.Born(), all, slices.Clone(s.ended)), s.answer(ctx)
}

// await waits for an end.
func (s *Server) await(ctx context.Context, wait time.Duration) {
	changed := s.changed

	s.mu.Unlock()
	defer s.mu.Lock()

	select {
	case <-changed:
	case <-time.After(wait):
	case <-ctx.Done():
	}
}
