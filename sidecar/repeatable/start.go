package repeatable

import (
	"context"
	"errors"
	"time"

	"github.com/rs/zerolog"

	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
	"github.com/skylarkweir/skylarkweir/weir/process/delivery"
	"github.com/skylarkweir/skylarkweir/weir/process/uptime"
)

// maxStartAttempts is how often a start is sent at most when it is not answered or is rejected. Repeating a start is
// idempotent.
const maxStartAttempts = 3

// runStart sends the start of the task until its answer settles what becomes of it.
func (t *task) runStart() {
	for attempt := 0; ; attempt++ {
		p := t.incarnation.newPermit()
		if p.leaseEnd == 0 {
			t.worker.handleStartWithoutLease(t, attempt)

			return
		}

		answer, err := t.start(p)

		if !t.worker.handleStartAnswer(t, answer, err, attempt) {
			return
		}
	}
}

func (t *task) start(p Permit) (StartAnswer, error) {
	ctx, cancel := context.WithTimeout(t.incarnation.ctx, callTimeout)
	defer cancel()

	answer, err := t.worker.backend.Start(ctx, t.run, t.input, p)
	if err == nil {
		t.incarnation.lease.RecordClock(answer.clock, uptime.Now())
	}

	return answer, err
}

// startReply returns what the answer to a try of a start says of that try.
func startReply(answer StartAnswer, err error) delivery.Reply {
	switch {
	case errors.Is(err, ErrNotReached):
		return delivery.NotDelivered
	case err != nil:
		return delivery.NoReply
	case answer.result == Started:
		return delivery.Confirmed
	default:
		return delivery.Declined
	}
}

// handleStartAnswer handles the answer to a start and reports whether to send the start again.
func (w *Worker) handleStartAnswer(t *task, answer StartAnswer, err error, attempt int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()

	w.metrics.recordStart(answer.result, err)

	if w.tasks[t.run.task] != t {
		return false
	}

	reply := startReply(answer, err)
	t.startCall.Record(reply)

	switch reply {
	case delivery.Confirmed:
		t.startAnsweredAt = uptime.Now()

		return false
	case delivery.Declined:
		t.logStart(w.log.Info(), "start_rejected", attempt).Stringer("answer", answer.result).Str("detail", answer.detail).
			Msg("backend server rejected a start")
	default:
		w.recordCallError(t.incarnation, err)
		t.logStart(w.log.Warn(), "start_unanswered", attempt).Err(err).
			Msg("backend server did not answer a start; it is repeated, and after the last attempt the task is stopped")
	}

	if attempt+1 < maxStartAttempts && !t.stopping && t.prepareRepeat(reply, answer.result) {
		t.startCall.Send()

		return true
	}

	w.giveUpStart(t, reply == delivery.Declined && answer.result == Unhealthy)

	return false
}

// logStart adds what is known of the start to a log line.
func (t *task) logStart(line *zerolog.Event, event string, attempt int) *zerolog.Event {
	return line.Str("event", event).Str("job", t.run.task.job).Uint32("task", t.run.task.index).
		Int64("run", t.run.number).Int("try", attempt).Stringer("state", t.startCall.State()).
		Int("unanswered", t.startCall.Unanswered()).Dur("since_launch", uptime.Now()-t.launchedAt)
}

// handleStartWithoutLease gives up a start that is not sent, since no lease can be given: the backend server has answered
// no renewal for too long, and rejects a start without a lease.
func (w *Worker) handleStartWithoutLease(t *task, attempt int) {
	w.mu.Lock()
	defer w.mu.Unlock()

	if w.tasks[t.run.task] != t {
		return
	}

	t.startCall.Record(delivery.NotDelivered)
	t.logStart(w.log.Info(), "start_without_lease", attempt).
		Msg("no lease can be given, as the backend server answers no renewal; the start is not sent")
	w.giveUpStart(t, false)
}

// prepareRepeat reports whether to send the start again after a reply, and removes the cause of a rejection first.
func (t *task) prepareRepeat(reply delivery.Reply, result StartResult) bool {
	switch {
	case reply == delivery.NoReply:
		return true
	case reply != delivery.Declined:
		return false
	}

	switch result {
	case Fenced:
		t.incarnation.raiseToken()

		return true
	case Outdated:
		if t.startCall.Claim() == delivery.MayRun {
			// The run of an earlier try has ended; the list tells how.
			return false
		}

		t.run.number++

		return true
	case LeaseExpired:
		return true
	default:
		return false
	}
}

// giveUpStart ends a task whose start is not sent again: at once if it certainly did not run, otherwise when the backend
// server has confirmed that it does not run any more.
func (w *Worker) giveUpStart(t *task, unhealthy bool) {
	neverRan := t.startCall.Claim() == delivery.NeverRan

	if unhealthy || !neverRan {
		w.stats.RecordResult(time.Now(), true, 0)
	}

	if neverRan {
		w.finishAs(t, wire.Result_RESULT_REJECTED)
		w.schedule(uptime.Now())

		return
	}

	if !t.stopping {
		t.stopOutcome = Lost
		w.stop(t)
	}
}
