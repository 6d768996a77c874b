package home

import (
	"time"

	"github.com/skylarkweir/skylarkweir/weir/request/fault"
)

// ending is the end of a submission that is to be announced.
type ending struct {
	held  *Held
	work  *work
	cause error
}

func (e *ending) announce() {
	t, h := e.held.table, e.held
	took := time.Since(e.work.accepted)
	l := t.log.Info().Str("event", eventEnded).Str("submission", h.id).Str("member", h.member).Str("kind", e.work.submission.Kind()).
		Int("tasks", h.total).Dur("took_ms", took)

	if e.cause == nil {
		l.Str("reason", "complete").Msg("")
	} else {
		l.Str("reason", fault.KindOf(e.cause).Code()).Str("ran", string(fault.RanOf(e.cause))).Msg(e.cause.Error())
	}

	t.meters().ended(e.cause)
	close(h.done)
	t.less()
}
