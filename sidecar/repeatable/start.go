package repeatable

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
	"github.com/skylarkweir/skylarkweir/weir/process/delivery"
	"github.com/skylarkweir/skylarkweir/weir/process/uptime"
)

// minStartPatience is how long a start is sent again at least while it is not answered. A long task is worth as much time as
// it is expected to run.
const minStartPatience = 500 * time.Millisecond

// maxRejections is the number of rejections after which a start is given up, whatever their cause.
const maxRejections = 3

// startCall is the start of a task. Repeating it is idempotent.
type startCall struct {
	task *task
	// call is what is known of the tries together. It changes under the worker's mutex.
	call delivery.Call
	// rejections is the number of tries that were rejected.
	rejections int
}

func (c *startCall) run() {
	h := newHedge(c.task.incarnation, c)
	if !h.run() {
		c.task.worker.giveUpUnsettledStart(c.task)
	}
}

// try sends the start once. It is settled once the task has started, has ended or is given up.
func (c *startCall) try(attempt int) tryResult {
	t := c.task

	r, ok := t.worker.beginStartTry(t, attempt)
	if !ok {
		return trySettled
	}

	// The permit comes first: if this process is paused after the session was checked, its lease ends meanwhile.
	p := t.incarnation.newPermit()
	if p.leaseEnd == 0 || !t.worker.wantsStart(t) {
		t.worker.handleStartNotSent(t, attempt, p)

		return trySettled
	}

	ctx, cancel := context.WithTimeout(t.incarnation.ctx, callTimeout)
	defer cancel()

	sent := uptime.Now()
	answer, err := t.worker.backend.Start(ctx, r, t.input, p)
	t.incarnation.recordAnswerTime(sent, err)

	if err == nil {
		t.incarnation.recordClock(answer.clock, sent, uptime.Now())
	}

	if err == nil && answer.result == Started {
		t.incarnation.lease.RecordAnswer(sent, uptime.Now())
	}

	return t.worker.handleStartAnswer(t, r, answer, err, attempt)
}

// repeats reports whether the start is still worth another try.
func (c *startCall) repeats() bool {
	w := c.task.worker

	w.mu.Lock()
	defer w.mu.Unlock()

	return c.task.awaitsStart() && !w.isEvacuated() && uptime.Now()-c.task.startedAt < max(minStartPatience, c.task.expected)
}

// awaitsStart reports whether the task has neither started nor ended, and is not to be stopped.
func (t *task) awaitsStart() bool {
	return t.worker.tasks[t.run.task] == t && t.startAnsweredAt == 0 && !t.stopping
}

// beginStartTry records that a try is sent, and returns the run to start. It returns false if the start is no longer
// wanted.
func (w *Worker) beginStartTry(t *task, attempt int) (Run, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()

	if !t.awaitsStart() {
		return Run{}, false
	}

	// The task counts as sent from the moment that it may start.
	if attempt > 0 {
		t.startCall.call.Send()
		w.warmUp.ramp.RecordStart(uptime.Now())
	}

	return t.run, true
}

// startReply returns what the answer to a try of a start says of that try.
func startReply(answer StartAnswer, err error) delivery.Reply {
	if err == nil && answer.result != Started {
		return delivery.Declined
	}

	return callReply(err)
}

// handleStartAnswer handles the answer to a try of the start of the run r, and returns what it means for the start.
func (w *Worker) handleStartAnswer(t *task, r Run, answer StartAnswer, err error, attempt int) tryResult {
	w.mu.Lock()
	defer w.mu.Unlock()

	w.metrics.recordTry("start_tries_total", answer.result.String(), err)

	if w.tasks[t.run.task] != t {
		return trySettled
	}

	reply := startReply(answer, err)
	t.startCall.call.Record(reply)

	switch reply {
	case delivery.Confirmed:
		t.confirmedAt = uptime.Now()

		if t.startAnsweredAt == 0 && !t.isHeld() {
			t.startAnsweredAt = t.confirmedAt
		}

		return trySettled
	case delivery.Declined:
		t.startCall.rejections++
		t.describeStart(w.log.Info().Str("event", "start_rejected"), attempt).Stringer("answer", answer.result).
			Str("detail", answer.detail).Msg("backend server rejected a start")
	default:
		w.recordCallError(t.incarnation, err)
		t.describeStart(w.log.Warn().Str("event", "start_unanswered"), attempt).Err(err).
			Msg("backend server did not answer a start; it is sent again while that is worth it, then the task is stopped")
	}

	if t.startAnsweredAt > 0 {
		return trySettled
	}

	if !t.stopping && t.prepareRepeat(r, reply, answer.result) {
		if reply == delivery.NoReply {
			return tryUnanswered
		}

		return tryDeclined
	}

	w.giveUpStart(t, reply == delivery.Declined && answer.result == Unhealthy)

	return trySettled
}

// describeStart adds what is known of the start to a log line.
func (t *task) describeStart(line *zerolog.Event, attempt int) *zerolog.Event {
	return line.Str("job", t.run.task.job).Uint32("task", t.run.task.index).
		Int64("run", t.run.number).Int("try", attempt).Stringer("state", t.startCall.call.State()).
		Int("unanswered", t.startCall.call.Unanswered()).Dur("since_launch", uptime.Now()-t.launchedAt)
}

// wantsStart reports whether a task still waits for its start and its session goes on. After a pause of this process, the
// session may have expired without having been ended yet, and the entry may have placed the task again. The task may also
// have been reported as lost since the try began.
func (w *Worker) wantsStart(t *task) bool {
	w.mu.Lock()
	defer w.mu.Unlock()

	s := w.sessions[t.key.Session()]

	return t.awaitsStart() && s != nil && s.Alive() && !w.isEvacuated()
}

// handleStartNotSent gives up a start that is not sent, since its session has expired, its failure domain is evacuated or no
// lease can be given: the backend server has answered no renewal for too long, and rejects a start without a lease.
func (w *Worker) handleStartNotSent(t *task, attempt int, p Permit) {
	w.mu.Lock()
	defer w.mu.Unlock()

	t.startCall.call.Record(delivery.NotDelivered)

	if w.tasks[t.run.task] != t || t.startAnsweredAt > 0 {
		return
	}

	t.describeStart(w.log.Info().Str("event", "start_not_sent"), attempt).Bool("lease", p.leaseEnd > 0).
		Bool("evacuated", w.isEvacuated()).Msg("a start is not sent: its session has expired, its failure domain is evacuated, " +
		"or the backend server answers no renewal, so that no lease can be given")

	if w.isEvacuated() && t.startCall.call.Claim() == delivery.NeverRan {
		w.recordEvacuatedStart(t.run.task)
	}

	w.giveUpStart(t, false)
}

// giveUpUnsettledStart gives up a start of which no try has settled what becomes of it.
func (w *Worker) giveUpUnsettledStart(t *task) {
	w.mu.Lock()
	defer w.mu.Unlock()

	if t.awaitsStart() {
		w.giveUpStart(t, false)
	}
}

// prepareRepeat reports whether to send the start again after a reply to a try of the run r, and removes the cause of a
// rejection first.
func (t *task) prepareRepeat(r Run, reply delivery.Reply, result StartResult) bool {
	switch {
	case reply == delivery.NoReply:
		return true
	case reply != delivery.Declined || t.startCall.rejections >= maxRejections:
		return false
	}

	switch result {
	case Fenced:
		t.incarnation.raiseToken()

		return true
	case Outdated:
		if t.startCall.call.Claim() == delivery.MayRun {
			// The run of another try may have ended; the list tells how.
			return false
		}

		t.run.number = r.number + 1

		return true
	case LeaseExpired:
		return true
	default:
		return false
	}
}

// giveUpStart ends a task whose start is not sent again: at once if it certainly did not run, otherwise when the backend
// server has confirmed that it does not run any more. In an evacuated failure domain it is stopped like a task whose entry is
// lost, as the start may still be on its way.
func (w *Worker) giveUpStart(t *task, unhealthy bool) {
	neverRan := t.startCall.call.Claim() == delivery.NeverRan

	if unhealthy || !neverRan {
		w.stats.RecordResult(time.Now(), true, 0)
	}

	if neverRan {
		w.finishAs(t, wire.Result_RESULT_REJECTED)
		w.schedule(uptime.Now())

		return
	}

	switch {
	case t.stopping:
	case w.isEvacuated():
		w.abandon(t)
	default:
		t.stopOutcome = Lost
		w.stop(t)
	}
}
