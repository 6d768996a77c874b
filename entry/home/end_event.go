package home

import (
	"time"

	"github.com/skylarkweir/skylarkweir/weir/request/fault"
)

// ending is the end of a submission that is to be announced.
type endEvent struct {
	handle    *Handle
	execution *execution
	cause     error
}

func (e *endEvent) publish() {
	t, h := e.handle.table, e.handle
	elapsed := time.Since(e.execution.accepted)
	l := t.log.Info().Str("event", eventEnded).Str("submission", h.id).Str("member", h.member).Str("kind", e.execution.submission.Kind()).
		Int("tasks", h.totalTasks).Dur("took_ms", elapsed)

	if e.cause == nil {
		l.Str("reason", "complete").Msg("")
	} else {
		l.Str("reason", fault.KindOf(e.cause).Code()).Str("ran", string(fault.RanOf(e.cause))).Msg(e.cause.Error())
	}

	t.metrics().countEnd(e.cause)
	close(h.done)
	t.decrementInflight()
}
