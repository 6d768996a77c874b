package repeatable

import (
	"errors"
	"time"

	"github.com/skylarkweir/skylarkweir/weir/process/answertime"
	"github.com/skylarkweir/skylarkweir/weir/process/uptime"
)

// repeatsPerAnswer is the number of tries, for each call that is answered, that may be sent before the one before has
// reached its time limit. More of them would load a backend server that does not answer because it is slow.
const repeatsPerAnswer = 3

// tryResult is what a try means for its call.
type tryResult uint8

const (
	// tryUnanswered means that the call is sent again after a pause, since the backend server may be overloaded.
	tryUnanswered tryResult = iota
	// tryDeclined means that the cause of a rejection was removed, and that the call is sent again at once.
	tryDeclined
	// trySettled means that the call needs no further try.
	trySettled
)

// hedgedCall is a call to the backend server that is tried again while the tries before may still be answered. A try that
// is answered late settles the call too, and keeps its connection.
type hedgedCall interface {
	// try sends one try and handles its answer.
	try(attempt int) tryResult
	// repeats reports whether to send another try. The last one has failed, or has no answer yet.
	repeats() bool
}

// hedge is the tries of one call.
type hedge struct {
	incarnation *incarnation
	call        hedgedCall
	// settled receives a value when a try has settled the call.
	settled chan struct{}
}

func newHedge(i *incarnation, c hedgedCall) *hedge {
	return &hedge{i, c, make(chan struct{}, 1)}
}

// run sends tries until one settles the call, the call wants no more or the incarnation ends. It reports whether the call
// is settled.
func (h *hedge) run() bool {
	for attempt := 0; ; attempt++ {
		y := &hedgedTry{hedge: h, attempt: attempt, sentAt: uptime.Now(), handled: make(chan struct{})}
		go y.run()

		if h.await(y) {
			return true
		}

		if h.incarnation.ctx.Err() != nil || !h.call.repeats() {
			return false
		}
	}
}

// await waits until the call is settled, or until another try may be sent, and reports whether the call is settled.
func (h *hedge) await(y *hedgedTry) bool {
	next := time.NewTimer(h.incarnation.answers.Current())
	defer next.Stop()

	handled, isLast := y.handled, false

	for {
		select {
		case <-h.settled:
			return true
		case <-handled:
			if y.result != tryUnanswered || h.incarnation.ctx.Err() != nil {
				return y.result == trySettled
			}

			// Nothing more is to be awaited of this try, but calls that fail at once must not follow each other at once.
			handled = nil

			if !isLast {
				next.Reset(max(0, y.sentAt+answertime.MinLimit-uptime.Now()))
			}
		case <-next.C:
			if isLast || h.incarnation.repeatBudget.AllowRetry(time.Now()) {
				return false
			}

			isLast = true

			next.Reset(max(0, y.sentAt+callTimeout-uptime.Now()))
		}
	}
}

// hedgedTry is one try of a call.
type hedgedTry struct {
	hedge   *hedge
	attempt int
	sentAt  time.Duration
	// handled is closed when the answer has been handled, or its absence, and result is set.
	handled chan struct{}
	result  tryResult
}

func (y *hedgedTry) run() {
	defer close(y.handled)

	y.result = y.hedge.call.try(y.attempt)
	if y.result != trySettled {
		return
	}

	select {
	case y.hedge.settled <- struct{}{}:
	default:
	}
}

// recordAnswerTime records the time of a call that was sent at the time sent, if it was answered.
func (i *incarnation) recordAnswerTime(sent time.Duration, err error) {
	if err != nil && !errors.Is(err, ErrOtherInstance) {
		return
	}

	i.answers.Record(uptime.Now() - sent)
	i.repeatBudget.RecordRequest(time.Now())
}
