// Package leasedbackend stands in for a backend server that runs tasks under a lease. The input of a task determines
// its run: a duration such as "60ms", "fail", or "hang".
package leasedbackend

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/skylarkweir/skylarkweir/sidecar/repeatable"
)

// Inputs of tasks that do not succeed: Fail fails after 1 ms, Hang runs until it is stopped or the lease ends, and Crash
// ends the process of the server after crashDelay.
const (
	Fail  = "fail"
	Hang  = "hang"
	Crash = "crash"
)

// maxLease is the longest lease that is granted.
const maxLease = time.Second

// errAnswerDropped is returned by a start that was carried out and whose answer is dropped.
var errAnswerDropped = errors.New("answer dropped by an injected fault")

// errConnectionReset is returned by calls that wait while the process ends.
var errConnectionReset = errors.New("connection reset by the end of the process")

// Server is a backend server. New makes it with its first incarnation.
type Server struct {
	mu        sync.Mutex
	instance  string
	startedAt time.Time
	// suspendedAt is when the server was suspended, zero while it is not; suspendedFor is how long it was before.
	suspendedAt  time.Time
	suspendedFor time.Duration
	// resumed is closed at the end of the suspension.
	resumed chan struct{}
	fault   Fault
	// crashed is true from the end of the process until Restart; crashes counts these ends.
	crashed bool
	crashes int
	// answersToDrop is the number of starts whose answer is still to be dropped.
	answersToDrop int
	// startsToHang is the number of starts that are still to hang, whatever their input.
	startsToHang int
	token        int64
	// leaseEnd is on the clock of this server, and zero before the first lease.
	leaseEnd time.Duration
	running  map[repeatable.Task]*activeRun
	ended    []repeatable.EndedRun
	// highestRun is the highest run of each task that ended or was stopped here. Starts up to it are outdated.
	highestRun map[repeatable.Task]int64
	lastEnd    uint64
	// changed is closed when a run ends.
	changed chan struct{}
	// startCounts counts the starts of each task; peakRunning is the largest number of tasks at the same time.
	startCounts map[repeatable.Task]int
	peakRunning int
	// history has all runs, those that have not ended included.
	history []*activeRun
	// partialFault applies to a share of the calls, beside fault.
	partialFault Fault
	share        float64
	// lateBy is how late the starts are carried out with FaultLate, slowness how much longer tasks run.
	lateBy   time.Duration
	slowness float64
	// peakOfJob has the largest number of tasks of each job that ran at the same time.
	peakOfJob map[string]int
}

// New returns a new incarnation of a backend server.
func New(instance string) *Server {
	return &Server{
		instance: instance, startedAt: time.Now(), running: map[repeatable.Task]*activeRun{},
		highestRun: map[repeatable.Task]int64{}, changed: make(chan struct{}), startCounts: map[repeatable.Task]int{},
		peakOfJob: map[string]int{},
	}
}

// Instance returns the ID of the incarnation.
func (s *Server) Instance() string {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.instance
}

// StartedAtMS returns the start of the incarnation in Unix milliseconds.
func (s *Server) StartedAtMS() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.startedAt.UnixMilli()
}

// Running returns the running tasks, after it has ended all of them if the lease has ended.
func (s *Server) Running() []repeatable.Task {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.applyLeaseExpiry()

	tasks := make([]repeatable.Task, 0, len(s.running))
	for t := range s.running {
		tasks = append(tasks, t)
	}

	return tasks
}

// StartCount returns how often a task was started.
func (s *Server) StartCount(t repeatable.Task) int {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.startCounts[t]
}

// PeakRunning returns the largest number of tasks that ran at the same time.
func (s *Server) PeakRunning() int {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.peakRunning
}

// Clock returns the reading of the server's steady clock.
func (s *Server) Clock() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.clock()
}

// PeakOfJob returns the largest number of tasks of a job that ran at the same time.
func (s *Server) PeakOfJob(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.peakOfJob[id]
}

func (s *Server) clock() time.Duration {
	elapsed := time.Since(s.startedAt)
	if !s.suspendedAt.IsZero() {
		elapsed = s.suspendedAt.Sub(s.startedAt)
	}

	return elapsed - s.suspendedFor + time.Second
}

// applyLeaseExpiry ends all runs as lost if the lease has ended.
func (s *Server) applyLeaseExpiry() {
	if s.leaseEnd == 0 || s.clock() <= s.leaseEnd {
		return
	}

	for t := range s.running {
		s.end(t, repeatable.Lost)
	}
}

// checkCall rejects a call for another instance, and every call while nothing listens. With FaultUnresponsive it blocks
// until the caller stops waiting.
func (s *Server) checkCall(ctx context.Context, p repeatable.Permit) error {
	if err := s.awaitResumed(ctx); err != nil {
		return err
	}

	if s.notListening() {
		return repeatable.ErrNotReached
	}

	if s.hasFault(FaultUnresponsive) {
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

func (s *Server) renewLease(leaseEnd time.Duration) {
	s.applyLeaseExpiry()
	s.leaseEnd = max(s.leaseEnd, min(leaseEnd, s.clock()+maxLease))
}

// Start starts a run.
func (s *Server) Start(
	ctx context.Context, r repeatable.Run, input string, p repeatable.Permit,
) (repeatable.StartAnswer, error) {
	s.mu.Lock()
	defer s.mu.Unlock()

	if err := s.checkCall(ctx, p); err != nil {
		return repeatable.StartAnswer{}, err
	}

	if s.hasFault(FaultLate) {
		time.AfterFunc(s.lateBy, func() { s.startLate(r, input, p) })
		s.mu.Unlock()
		<-ctx.Done()
		s.mu.Lock()

		return repeatable.StartAnswer{}, ctx.Err()
	}

	result := s.start(r, input, p)

	if s.answersToDrop > 0 {
		s.answersToDrop--

		return repeatable.StartAnswer{}, errAnswerDropped
	}

	return repeatable.NewStartAnswer(result, s.clock()), s.blockIfNoAnswer(ctx)
}

// Stop ends a run, and makes starts of this task with this number or a lower one outdated.
func (s *Server) Stop(ctx context.Context, r repeatable.Run, p repeatable.Permit) error {
	s.mu.Lock()
	defer s.mu.Unlock()

	if err := s.checkCall(ctx, p); err != nil {
		return err
	}

	if s.hasFault(FaultNoStop) {
		s.mu.Unlock()
		<-ctx.Done()
		s.mu.Lock()

		return ctx.Err()
	}

	s.highestRun[r.Task()] = max(s.highestRun[r.Task()], r.Number())

	if current := s.running[r.Task()]; current != nil && current.run.Number() <= r.Number() {
		s.end(r.Task(), repeatable.Stopped)
	}

	return s.blockIfNoAnswer(ctx)
}

// Watch renews the lease and returns the running tasks and the ended runs after lastEnd. If none has ended, it
// waits for one, at most for the duration wait.
func (s *Server) Watch(
	ctx context.Context, lastEnd uint64, wait time.Duration, p repeatable.Permit,
) (repeatable.WatchResult, error) {
	s.mu.Lock()
	defer s.mu.Unlock()

	if err := s.checkCall(ctx, p); err != nil {
		return repeatable.WatchResult{}, err
	}

	if p.Token() < s.token {
		return repeatable.NewFencedWatchResult(s.clock()), nil
	}

	s.token = p.Token()
	s.renewLease(p.LeaseEnd())
	s.ended = slices.DeleteFunc(s.ended, func(e repeatable.EndedRun) bool { return e.Number() <= lastEnd })

	called := s.startedAt

	if len(s.ended) == 0 && wait > 0 {
		s.awaitEnd(ctx, wait)

		if err := s.awaitResumed(ctx); err != nil {
			return repeatable.WatchResult{}, err
		}
	}

	if s.notListening() || s.startedAt != called {
		return repeatable.WatchResult{}, errConnectionReset
	}

	s.applyLeaseExpiry()

	runs := make([]repeatable.Run, 0, len(s.running))
	for _, r := range s.running {
		runs = append(runs, r.run)
	}

	return repeatable.NewWatchResult(s.clock(), s.startedAt.UnixMilli(), runs, slices.Clone(s.ended)), s.blockIfNoAnswer(ctx)
}

// awaitEnd waits until a run ends, at most for the duration wait. It unlocks the mutex while it waits.
func (s *Server) awaitEnd(ctx context.Context, wait time.Duration) {
	changed := s.changed

	s.mu.Unlock()
	defer s.mu.Lock()

	select {
	case <-changed:
	case <-time.After(wait):
	case <-ctx.Done():
	}
}
