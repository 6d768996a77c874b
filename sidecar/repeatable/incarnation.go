package repeatable

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/skylarkweir/skylarkweir/weir/process/uptime"
)

const (
	// leaseDuration is how long tasks run on after the last renewal. Together with session.Timeout it stays below the
	// time after which callers send a job again.
	leaseDuration = 600 * time.Millisecond
	// renewalInterval is how often the lease is renewed while tasks run; three renewals may be lost.
	renewalInterval = 150 * time.Millisecond
	// unresponsiveTimeout is the time without an answer from the backend server after which the lease is no longer
	// renewed.
	unresponsiveTimeout = 400 * time.Millisecond
	// maxClockDrift is the fraction by which a backend server's clock may run slow.
	maxClockDrift = 0.03
	// watchWait is how long a call to Watch waits for a run to end. It stays below unresponsiveTimeout, so that a
	// backend server whose tasks run on does not count as unresponsive.
	watchWait = 250 * time.Millisecond
	// idleWatchWait replaces watchWait while no task runs.
	idleWatchWait = 500 * time.Millisecond
	// retryDelay is the pause after a call without an answer.
	retryDelay = 50 * time.Millisecond
	// initialTokenStepMS is the first increase of a rejected fencing token; tokens are times in Unix milliseconds.
	initialTokenStepMS = 10_000
)

// incarnation is one run of the backend server process, from its start to its end.
type incarnation struct {
	worker *Worker
	// instance is the id of the incarnation and does not change.
	instance string
	// announcement, ready and lastEnd change under the worker's mutex.
	announcement Announcement
	// ready is true once no run of an earlier sidecar is left at the backend server.
	ready bool
	// lastEnd is the highest number of an ended run that the worker has handled.
	lastEnd uint64
	// ctx ends with the incarnation.
	ctx    context.Context
	cancel context.CancelFunc

	mu sync.Mutex
	// token is the fencing token. It is raised by tokenStep when it is too low.
	token, tokenStep int64
	// clockReading is what the backend server's clock showed at clockReadAt, a time on the clock of package uptime.
	clockReading, clockReadAt time.Duration
	// lastAnswer is when the backend server last answered a call to Watch; leaseEnd is the end of the last lease that
	// was sent. All times here are on the clock of package uptime.
	lastAnswer, leaseEnd time.Duration
	// renewedAt is when the newest call to Watch that was answered was sent, and with it a renewal of the lease.
	renewedAt time.Duration
	// answerDue is when the call to Watch that waits for the end of a run is overdue.
	answerDue time.Duration
}

func newIncarnation(ctx context.Context, w *Worker, a Announcement) *incarnation {
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))

	return &incarnation{
		worker: w, instance: a.instance, announcement: a, ctx: ctx, cancel: cancel,
		token: time.Now().UnixMilli(), tokenStep: initialTokenStepMS, lastAnswer: uptime.Now(),
	}
}

// recordClock records a reading of the backend server's clock, unless the clock is known to have passed it.
func (i *incarnation) recordClock(clock time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()

	now := uptime.Now()
	if clock > i.minClock(now) {
		i.clockReading, i.clockReadAt = clock, now
	}
}

// minClock returns a time that the backend server's clock has reached even if it runs slow by maxClockDrift.
func (i *incarnation) minClock(now time.Duration) time.Duration {
	if i.clockReadAt == 0 {
		return 0
	}

	return i.clockReading + time.Duration(float64(now-i.clockReadAt)*(1-maxClockDrift))
}

// newPermit returns a permit for a call. The permit renews the lease unless the backend server has not answered for
// unresponsiveTimeout: then the backend server shall stop its tasks when the lease ends.
func (i *incarnation) newPermit() Permit {
	i.mu.Lock()
	defer i.mu.Unlock()

	now := uptime.Now()
	if i.clockReadAt == 0 || now-i.lastAnswer > unresponsiveTimeout {
		return NewPermit(i.instance, i.token, 0)
	}

	i.leaseEnd = now + time.Duration(float64(leaseDuration)*(1+maxClockDrift))

	return NewPermit(i.instance, i.token, i.minClock(now)+leaseDuration)
}

// raiseToken raises the fencing token after a rejection, each time by twice as much.
func (i *incarnation) raiseToken() {
	i.mu.Lock()
	defer i.mu.Unlock()

	i.token += i.tokenStep
	i.tokenStep *= 2
}

// leaseExpired reports whether the backend server is unresponsive and its last lease has ended, so that none of its
// tasks can still run.
func (i *incarnation) leaseExpired() bool {
	i.mu.Lock()
	defer i.mu.Unlock()

	now := uptime.Now()

	return now-i.lastAnswer > unresponsiveTimeout && now > i.leaseEnd+retryDelay
}

func (i *incarnation) run() {
	r := &leaseRenewer{i}
	go r.run()

	for {
		wait := watchWait
		if i.worker.Running() == 0 {
			wait = idleWatchWait
		}

		i.expectAnswer(wait)

		if !i.watch(wait) {
			return
		}
	}
}

// expectAnswer records when a call that waits for the end of a run is overdue.
func (i *incarnation) expectAnswer(wait time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()

	i.answerDue = uptime.Now() + wait + unresponsiveTimeout - watchWait
}

// beginWork is called when the first task starts. A backend server without tasks answers seldom, so it is given
// unresponsiveTimeout from then on, unless an answer is overdue.
func (i *incarnation) beginWork() {
	i.mu.Lock()
	defer i.mu.Unlock()

	if now := uptime.Now(); now < i.answerDue {
		i.lastAnswer = max(i.lastAnswer, now)
	}
}

// watch calls Watch once and handles the result. It reports whether the incarnation goes on.
func (i *incarnation) watch(wait time.Duration) bool {
	if i.ctx.Err() != nil {
		return false
	}

	ctx, cancel := context.WithTimeout(i.ctx, wait+callTimeout)
	defer cancel()

	sent := uptime.Now()
	result, err := i.worker.backend.Watch(ctx, i.lastHandledEnd(), wait, i.newPermit())

	switch {
	case errors.Is(err, ErrOtherInstance):
		i.worker.handleOtherInstance(i)

		return false
	case err != nil:
		i.worker.handleUnanswered(i, err)

		select {
		case <-time.After(retryDelay):
		case <-i.ctx.Done():
		}
	default:
		i.recordClock(result.clock)
		i.recordAnswer(sent)
		i.worker.handleWatchResult(i, result, sent)
	}

	return true
}

func (i *incarnation) recordAnswer(sent time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()

	i.lastAnswer = uptime.Now()
	i.renewedAt = max(i.renewedAt, sent)
}

// renewalDue reports whether no call that was answered has renewed the lease lately.
func (i *incarnation) renewalDue() bool {
	i.mu.Lock()
	defer i.mu.Unlock()

	return uptime.Now()-i.renewedAt >= renewalInterval*2/3
}

func (i *incarnation) lastHandledEnd() uint64 {
	i.worker.mu.Lock()
	defer i.worker.mu.Unlock()

	return i.lastEnd
}

// leaseRenewer renews the lease while tasks run, independently of the calls that wait for runs to end. Where runs end
// often, these calls have renewed it already.
type leaseRenewer struct{ incarnation *incarnation }

func (r *leaseRenewer) run() {
	t := time.NewTicker(renewalInterval)
	defer t.Stop()

	for {
		select {
		case <-t.C:
			if r.incarnation.worker.Running() > 0 && r.incarnation.renewalDue() {
				c := &renewalCall{r.incarnation}
				go c.run()
			}
		case <-r.incarnation.ctx.Done():
			return
		}
	}
}

// renewalCall is one renewal. It has its own goroutine, so that an unanswered renewal does not delay the next one.
type renewalCall struct{ incarnation *incarnation }

func (c *renewalCall) run() { c.incarnation.watch(0) }

// handleOtherInstance ends an incarnation after another one has answered a call for it.
func (w *Worker) handleOtherInstance(i *incarnation) {
	w.mu.Lock()
	defer w.mu.Unlock()

	if w.incarnation == i {
		w.endIncarnation("another instance answered")
	}
}

// handleUnanswered handles a call without an answer: once the lease has expired, the tasks are reported as lost.
func (w *Worker) handleUnanswered(i *incarnation, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()

	if w.incarnation != i || !i.leaseExpired() {
		return
	}

	if i.ready || len(w.tasks) > 0 {
		w.log.Warn().Err(err).Str("event", "backend_silent").Str("instance", i.announcement.instance).
			Int("tasks", len(w.tasks)).
			Msg("backend server is unresponsive and its lease has expired; its tasks are reported as lost")
	}

	i.ready = false

	for _, t := range w.tasks {
		w.finish(t, Lost)
	}

	w.updateCapacity()
}

// handleWatchResult handles the answer to a call to Watch that was sent at the time sent.
func (w *Worker) handleWatchResult(i *incarnation, result WatchResult, sent time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()

	if w.incarnation != i {
		return
	}

	if result.fenced {
		i.raiseToken()

		return
	}

	if result.startedAtMS != 0 && i.announcement.startedAtMS != 0 && result.startedAtMS != i.announcement.startedAtMS {
		w.endIncarnation("the backend server was restarted with the same instance id")

		return
	}

	for _, e := range result.ended {
		i.lastEnd = max(i.lastEnd, e.number)

		if t := w.tasks[e.run.task]; t != nil && t.run.number == e.run.number {
			w.finish(t, e.outcome)
		}
	}

	orphanedRuns := w.reconcileRuns(i, result, sent)
	if !i.ready && orphanedRuns == 0 {
		i.ready = true

		w.log.Info().Str("event", "backend_ready").Str("instance", i.announcement.instance).
			Msg("backend server accepts tasks")
		w.updateCapacity()
	}

	w.schedule(uptime.Now())
}

// reconcileRuns compares the worker's tasks with the runs at the backend server. It reports tasks that do not run there
// as lost, stops orphaned runs, which belong to none of the tasks, and returns the number of orphaned runs.
func (w *Worker) reconcileRuns(i *incarnation, result WatchResult, sent time.Duration) int {
	present := make(map[Run]bool, len(result.running))
	orphanedRuns := 0

	for _, r := range result.running {
		present[r] = true

		if t := w.tasks[r.task]; t == nil || t.run.number != r.number {
			orphanedRuns++

			o := &orphanedRunStop{i, r}
			go o.run()
		}
	}

	for _, t := range w.tasks {
		// A call that was sent before the answer to the start or stop may have returned a list from before the task
		// ran.
		isListCurrent := (t.startAnsweredAt > 0 && t.startAnsweredAt < sent) ||
			(t.stopAnsweredAt > 0 && t.stopAnsweredAt < sent)
		if isListCurrent && !present[t.run] {
			w.finish(t, Lost)
		}
	}

	return orphanedRuns
}

// orphanedRunStop stops a run that an earlier sidecar has left, or that comes from a start that the backend server
// carried out late.
type orphanedRunStop struct {
	incarnation *incarnation
	target      Run
}

func (o *orphanedRunStop) run() {
	ctx, cancel := context.WithTimeout(o.incarnation.ctx, callTimeout)
	defer cancel()

	err := o.incarnation.worker.backend.Stop(ctx, o.target, o.incarnation.newPermit())

	o.incarnation.worker.log.Info().AnErr("error", err).Str("event", "stranger_stopped").Str("job", o.target.task.job).
		Uint32("task", o.target.task.index).Int64("run", o.target.number).
		Msg("sent a stop for an orphaned run, which no entry asked for")
}
