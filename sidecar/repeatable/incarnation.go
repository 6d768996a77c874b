package repeatable

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/skylarkweir/skylarkweir/weir/process/uptime"
)

const (
	// lease is how long tasks outlive the last renewal. Together with session.Silence it stays below the time after
	// which callers send a job again.
	leaseDuration = 600 * time.Millisecond
	// renewal is how often the lease is renewed while tasks run; three renewals may be lost.
	renewalInterval = 150 * time.Millisecond
	// blind is how long the backend server may stay silent before the lease is renewed no more.
	unresponsiveTimeout = 400 * time.Millisecond
	// clockError is how much slower than true a backend server's clock may run, in proportion.
	maxClockDrift = 0.03
	// watchWait is how long a call waits for an end. It stays below blind, so that an idle backend server counts as heard.
	watchWait = 250 * time.Millisecond
	// retryWait is the pause after a call without an answer.
	retryDelay = 50 * time.Millisecond
	// firstRaise is by how much a fencing token is raised at first, in the milliseconds in which tokens count.
	initialTokenStepMS = 10_000
)

// life is one life of the backend server.
type incarnation struct {
	worker *Worker
	// instance does not change.
	instance string
	// about, ready and seen change under the worker's mutex.
	announcement Announcement
	// ready is true once nothing of an earlier sidecar runs at the backend server.
	ready bool
	// seen is the highest number of an end that was taken note of.
	lastEnd uint64
	// ctx ends with the life.
	ctx    context.Context
	cancel context.CancelFunc

	mu sync.Mutex
	// token is the fencing token, raised by step when it is too low.
	token, tokenStep int64
	// clock is what the backend server's clock showed at the time read.
	clockReading, clockReadAt time.Duration
	// answered is the last time the backend server answered a watch; granted is the end of the last lease that was sent,
	// on the clock of uptime.
	lastAnswer, leaseEnd time.Duration
}

func newIncarnation(ctx context.Context, w *Worker, a Announcement) *incarnation {
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))

	return &incarnation{
		worker: w, instance: a.instance, announcement: a, ctx: ctx, cancel: cancel,
		token: time.Now().UnixMilli(), tokenStep: initialTokenStepMS, lastAnswer: uptime.Now(),
	}
}

// observe takes a reading of the backend server's clock.
func (l *incarnation) recordClock(clock time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()

	now := uptime.Now()
	if clock > l.minClock(now) {
		l.clockReading, l.clockReadAt = clock, now
	}
}

// estimate returns a time that the backend server's clock has reached.
func (l *incarnation) minClock(now time.Duration) time.Duration {
	if l.clockReadAt == 0 {
		return 0
	}

	return l.clockReading + time.Duration(float64(now-l.clockReadAt)*(1-maxClockDrift))
}

// permit returns the permit for a call that renews the lease, unless the backend server was silent for long: then
// what runs there shall end by itself.
func (l *incarnation) newPermit() Permit {
	l.mu.Lock()
	defer l.mu.Unlock()

	now := uptime.Now()
	if l.clockReadAt == 0 || now-l.lastAnswer > unresponsiveTimeout {
		return NewPermit(l.instance, l.token, 0)
	}

	l.leaseEnd = now + time.Duration(float64(leaseDuration)*(1+maxClockDrift))

	return NewPermit(l.instance, l.token, l.minClock(now)+leaseDuration)
}

// raise takes a higher fencing token after a rejection.
func (l *incarnation) raiseToken() {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.token += l.tokenStep
	l.tokenStep *= 2
}

// lapsed tells whether everything at the backend server has ended by the end of its lease.
func (l *incarnation) leaseExpired() bool {
	l.mu.Lock()
	defer l.mu.Unlock()

	now := uptime.Now()

	return now-l.lastAnswer > unresponsiveTimeout && now > l.leaseEnd+retryDelay
}

func (l *incarnation) run() {
	r := &leaseRenewer{l}
	go r.run()

	for {
		if !l.watch(watchWait) {
			return
		}
	}
}

// look asks the backend server once. It tells whether the life goes on.
func (l *incarnation) watch(wait time.Duration) bool {
	if l.ctx.Err() != nil {
		return false
	}

	call, cancel := context.WithTimeout(l.ctx, wait+callTimeout)
	defer cancel()

	sent := uptime.Now()
	v, err := l.worker.backend.Watch(call, l.lastHandledEnd(), wait, l.newPermit())

	switch {
	case errors.Is(err, ErrOtherInstance):
		l.worker.handleOtherInstance(l)

		return false
	case err != nil:
		l.worker.handleUnanswered(l, err)

		select {
		case <-time.After(retryDelay):
		case <-l.ctx.Done():
		}
	default:
		l.recordClock(v.clock)
		l.recordAnswer()
		l.worker.handleWatchResult(l, v, sent)
	}

	return true
}

func (l *incarnation) recordAnswer() {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.lastAnswer = uptime.Now()
}

func (l *incarnation) lastHandledEnd() uint64 {
	l.worker.mu.Lock()
	defer l.worker.mu.Unlock()

	return l.lastEnd
}

// renewer renews the lease while tasks run, apart from the calls that wait for ends.
type leaseRenewer struct{ incarnation *incarnation }

func (r *leaseRenewer) run() {
	t := time.NewTicker(renewalInterval)
	defer t.Stop()

	for {
		select {
		case <-t.C:
			if r.incarnation.worker.Running() > 0 {
				o := &renewalCall{r.incarnation}
				go o.run()
			}
		case <-r.incarnation.ctx.Done():
			return
		}
	}
}

// renewalCall is one renewal; it does not delay the next one when it gets no answer.
type renewalCall struct{ incarnation *incarnation }

func (r *renewalCall) run() { r.incarnation.watch(0) }

// otherInstance ends a life after another one has answered.
func (w *Worker) handleOtherInstance(l *incarnation) {
	w.mu.Lock()
	defer w.mu.Unlock()

	if w.incarnation == l {
		w.endIncarnation("another instance answered")
	}
}

// unanswered counts a call without an answer; when the lease has ended meanwhile, so have the tasks.
func (w *Worker) handleUnanswered(l *incarnation, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()

	if w.incarnation != l || !l.leaseExpired() {
		return
	}

	if l.ready || len(w.tasks) > 0 {
		w.log.Warn().Err(err).Str("event", "backend_silent").Str("instance", l.announcement.instance).Int("tasks", len(w.tasks)).
			Msg("the backend server does not answer and its lease has ended")
	}

	l.ready = false

	for _, t := range w.tasks {
		w.finish(t, Lost)
	}

	w.updateCapacity()
}

// view takes what the backend server said in answer to a call sent at that time.
func (w *Worker) handleWatchResult(l *incarnation, v WatchResult, sent time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()

	if w.incarnation != l {
		return
	}

	if v.fenced {
		l.raiseToken()

		return
	}

	if v.startedAtMS != 0 && l.announcement.startedAtMS != 0 && v.startedAtMS != l.announcement.startedAtMS {
		w.endIncarnation("the backend server was born again")

		return
	}

	for _, e := range v.ended {
		l.lastEnd = max(l.lastEnd, e.number)

		if t := w.tasks[e.run.task]; t != nil && t.run.number == e.run.number {
			w.finish(t, e.outcome)
		}
	}

	strangers := w.reconcileRuns(l, v, sent)
	if !l.ready && strangers == 0 {
		l.ready = true

		w.log.Info().Str("event", "backend_ready").Str("instance", l.announcement.instance).Msg("the backend server takes tasks")
		w.updateCapacity()
	}

	w.schedule(uptime.Now())
}

// compare finds tasks that have vanished, and runs that this worker does not know, which it stops. It returns the
// number of the latter.
func (w *Worker) reconcileRuns(l *incarnation, v WatchResult, sent time.Duration) int {
	present := make(map[Run]bool, len(v.running))
	strangers := 0

	for _, r := range v.running {
		present[r] = true

		if t := w.tasks[r.task]; t == nil || t.run.number != r.number {
			strangers++

			s := &orphanedRunStop{l, r}
			go s.run()
		}
	}

	for _, t := range w.tasks {
		// The call has to be sent after the answer to the start or stop, else the list may be older than the task.
		gone := (t.startAnsweredAt > 0 && t.startAnsweredAt < sent) || (t.stopAnsweredAt > 0 && t.stopAnsweredAt < sent)
		if gone && !present[t.run] {
			w.finish(t, Lost)
		}
	}

	return strangers
}

// strangerStop stops a run that an earlier sidecar or an order that was carried out late has left.
type orphanedRunStop struct {
	incarnation *incarnation
	target      Run
}

func (s *orphanedRunStop) run() {
	ctx, cancel := context.WithTimeout(s.incarnation.ctx, callTimeout)
	defer cancel()

	err := s.incarnation.worker.backend.Stop(ctx, s.target, s.incarnation.newPermit())

	s.incarnation.worker.log.Info().AnErr("error", err).Str("event", "stranger_stopped").Str("job", s.target.task.job).
		Uint32("task", s.target.task.index).Int64("run", s.target.number).Msg("a run that no entry asked for is stopped")
}
