package home

import (
	"time"

	"github.com/skylarkweir/skylarkweir/weir/request/fault"
)

// endEvent is the end of a submission, to be published once the lock of its handle is released.
type endEvent struct {
	handle    *Handle
	execution *execution
	cause     error
}

func (e *endEvent) publish() {
	t, h := e.handle.table, e.handle
	elapsed := time.Since(e.execution.accepted)
	l := t.log.Info().Str("event", eventEnded).Str("submission", h.id).Str("member", h.member).
		Str("kind", e.execution.submission.Kind()).Int("tasks", h.totalTasks).Dur("took_ms", elapsed)

	if e.cause == nil {
		l.Str("reason", "complete").Msg("submission complete")
	} else {
		l.Str("reason", fault.KindOf(e.cause).Code()).Str("ran", string(fault.RanOf(e.cause))).Msg(e.cause.Error())
	}

	t.metrics().countEnd(e.cause)
	close(h.done)
	t.decrementInflight()
}
