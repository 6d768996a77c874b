package repeatable

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/skylarkweir/skylarkweir/weir/process/answertime"
	"github.com/skylarkweir/skylarkweir/weir/process/lease"
	"github.com/skylarkweir/skylarkweir/weir/process/quarantine"
	"github.com/skylarkweir/skylarkweir/weir/process/reservation"
	"github.com/skylarkweir/skylarkweir/weir/process/retrybudget"
	"github.com/skylarkweir/skylarkweir/weir/process/uptime"
)

const (
	// unreadyWatchWait is how long a call waits for the end of orphaned runs, as those that an earlier sidecar has left.
	unreadyWatchWait = 50 * time.Millisecond
	// lossyWatchWait is how long a call waits for the end of a run while answers are lost, since the end is known only with
	// the next call if its answer is lost.
	lossyWatchWait = 30 * time.Millisecond
	// lossMemory is how long after a lost answer more of them are expected.
	lossMemory = time.Second
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
	// isSaved, ready and lastEnd change under the worker's mutex. isSaved is true if its announcement is saved.
	isSaved bool
	// ready is true once no run of an earlier sidecar is left at the backend server.
	ready bool
	// lastEnd is the highest number of an ended run that the worker has handled.
	lastEnd uint64
	// listedAt is when the newest call was sent that this process has answered with a list of its runs, zero before.
	listedAt time.Duration
	// lastLoss is when a call without an answer reached its time limit last.
	lastLoss time.Duration
	// failingSince is when the first call failed after the last answer, zero while calls are answered. notReached is true
	// if nothing listened for one of the calls since then.
	failingSince time.Duration
	notReached   bool
	// crashed is true once the process of the backend server is known to have ended and no task of it can run.
	crashed bool
	// suspect is the job that had started last at failingSince.
	suspect reservation.Key
	// startRates has the rates at which jobs start, by kind.
	startRates quarantine.StartRates
	// unreadable has the rows of the newest list of runs that can't be read; it changes under the worker's mutex.
	unreadable unreadableRows
	// orphans has the runs in the newest list that belong to no task; it changes under the worker's mutex.
	orphans orphans
	// ctx ends with the incarnation.
	ctx    context.Context
	cancel context.CancelFunc

	lease lease.Lease
	// answers is how long to wait for answers, and repeatBudget limits the tries that do not wait longer.
	answers      answertime.Limit
	repeatBudget *retrybudget.Budget

	mu sync.Mutex
	// token is the fencing token. It is raised by tokenStep when it is too low.
	token, tokenStep int64
	// leaseEnd is the highest end of a lease that was sent, on the backend server's clock.
	leaseEnd time.Duration
}

func newIncarnation(ctx context.Context, w *Worker, instance string) *incarnation {
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))

	i := &incarnation{
		worker: w, instance: instance, ctx: ctx, cancel: cancel,
		token: max(time.Now().UnixMilli(), w.lastToken), tokenStep: initialTokenStepMS,
		repeatBudget: retrybudget.New(repeatsPerAnswer),
	}

	// It has just announced itself.
	now := uptime.Now()
	i.lease.RecordAnswer(now, now)

	return i
}

func (i *incarnation) run() {
	r := &leaseRenewer{i}
	go r.run()

	for first := true; i.ctx.Err() == nil; first = false {
		wait := i.watchWait(first)
		i.lease.ExpectAnswer(wait, uptime.Now())

		c := &watchCall{i, wait, make(chan struct{})}
		go c.run()

		c.await()
	}
}

// watchCall is one call that waits for a run to end.
type watchCall struct {
	incarnation *incarnation
	wait        time.Duration
	// answered is closed when the answer has been handled, or its absence.
	answered chan struct{}
}

func (c *watchCall) run() {
	defer close(c.answered)

	c.incarnation.watch(c.wait)
}

// await waits until the next call may be sent: after the answer, or once this one is overdue, so that an end whose answer
// was lost is known soon.
func (c *watchCall) await() {
	i := c.incarnation

	overdue := time.NewTimer(c.wait + i.answers.Current())
	defer overdue.Stop()

	select {
	case <-c.answered:
		return
	case <-overdue.C:
	}

	if i.repeatBudget.AllowRetry(time.Now()) {
		return
	}

	<-c.answered
}

// watchWait returns how long the next call waits for a run to end. The backend server accepts tasks only after an answer
// that lists no run of an earlier sidecar, so the first call does not wait.
func (i *incarnation) watchWait(first bool) time.Duration {
	i.worker.mu.Lock()
	defer i.worker.mu.Unlock()

	switch {
	case first:
		return 0
	case !i.ready || len(i.orphans.runs) > 0:
		return unreadyWatchWait
	case len(i.worker.tasks) == 0:
		return lease.IdleWatchWait
	case i.failingSince > 0 || uptime.Now()-i.lastLoss < lossMemory:
		return lossyWatchWait
	default:
		return lease.WatchWait
	}
}

// watch calls Watch once and handles the result.
func (i *incarnation) watch(wait time.Duration) {
	if i.ctx.Err() != nil {
		return
	}

	ctx, cancel := context.WithTimeout(i.ctx, wait+callTimeout)
	defer cancel()

	sent := uptime.Now()
	result, err := i.worker.backend.Watch(ctx, i.lastHandledEnd(), wait, i.newPermit())
	i.worker.metrics.recordWatch(result, err)

	switch {
	case errors.Is(err, ErrOtherInstance):
		i.worker.handleOtherInstance(i)
	case err != nil:
		if i.worker.handleUnanswered(i, err) {
			// A connection that ends may mean that the process has; the next call tells.
			return
		}

		i.pause()
	default:
		i.recordRenewal(result, sent)
		i.worker.handleWatchResult(i, result, sent)

		if result.hasUnnumberedEnd() {
			// The next call does not wait either: this end is listed until a later one is acknowledged.
			i.pause()
		}
	}
}

// pause waits for retryDelay.
func (i *incarnation) pause() {
	select {
	case <-time.After(retryDelay):
	case <-i.ctx.Done():
	}
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
	t := time.NewTicker(lease.RenewalInterval)
	defer t.Stop()

	for {
		select {
		case <-t.C:
			if r.incarnation.worker.Running() > 0 && r.incarnation.lease.RenewalDue(uptime.Now()) {
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
