package repeatable

import (
	"errors"
	"time"

	"github.com/skylarkweir/skylarkweir/weir/process/uptime"
)

// repeatsPerAnswer is the number of tries, for each call that is answered, that may be sent before the one before has
// reached its time limit. More of them would load a backend server that does not answer because it is slow.
const repeatsPerAnswer = 3

// hedgedCall is a call to the backend server that is tried again while the tries before may still be answered. A try that
// is answered late settles the call too, and keeps its connection.
type hedgedCall interface {
	// try sends one try, handles its answer and reports whether the call is settled.
	try(attempt int) bool
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
		y := &hedgedTry{h, attempt, make(chan struct{})}
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
	limit := time.NewTimer(h.incarnation.answers.Current())
	defer limit.Stop()

	for {
		select {
		case <-h.settled:
			return true
		case <-y.handled:
			select {
			case <-h.settled:
				return true
			default:
				return false
			}
		case <-limit.C:
			if h.incarnation.repeatBudget.AllowRetry(time.Now()) {
				return false
			}
		}
	}
}

// hedgedTry is one try of a call.
type hedgedTry struct {
	hedge   *hedge
	attempt int
	// handled is closed when the answer has been handled, or its absence.
	handled chan struct{}
}

func (y *hedgedTry) run() {
	defer close(y.handled)

	if !y.hedge.call.try(y.attempt) {
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
