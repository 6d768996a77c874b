package home

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/skylarkweir/skylarkweir/weir/process/placement"
	"github.com/skylarkweir/skylarkweir/weir/request/fault"
	"github.com/skylarkweir/skylarkweir/weir/request/submission"
)

// Names of logged events.
const (
	eventPlaced   = "task_placed"
	eventWaiting  = "task_waiting"
	eventRejected = "start_rejected"
	eventRetried  = "start_retried"
	eventRefused  = "submission_refused"
	eventEnded    = "submission_ended"
)

// maxDecisions bounds the decisions kept for each submission; the oldest are dropped.
const maxDecisions = 16

// Decision is one decision on a task of a submission.
type Decision struct {
	at     time.Time
	event  string
	task   int32
	choice string
	reason string
}

// Time returns when the decision was taken.
func (d Decision) Time() time.Time { return d.at }

// Event returns the name of the logged event.
func (d Decision) Event() string { return d.event }

// Task returns the index of the task.
func (d Decision) Task() int { return int(d.task) }

// Choice returns the name of the chosen worker, if any.
func (d Decision) Choice() string { return d.choice }

// Reason returns the reason as it is logged.
func (d Decision) Reason() string { return d.reason }

// decisions is a ring buffer that grows up to maxDecisions.
type decisions struct {
	ring []Decision
	// next is the index of the oldest decision once the ring is full.
	next int
}

func (d *decisions) add(n Decision) {
	if len(d.ring) < maxDecisions {
		d.ring = append(d.ring, n)

		return
	}

	d.ring[d.next] = n
	d.next = (d.next + 1) % maxDecisions
}

func (d *decisions) list() []Decision {
	return append(append([]Decision{}, d.ring[d.next:]...), d.ring[:d.next]...)
}

// Decisions returns the latest decisions on the submission's tasks, oldest first.
func (h *Handle) Decisions() []Decision {
	h.mu.Lock()
	defer h.mu.Unlock()

	return h.decisions.list()
}

// decide logs a decision on a task and stores it.
func (h *Handle) decide(l *zerolog.Event, event string, k *task, attempt int, choice, reason string) {
	l.Str("event", event).Str("submission", h.id).Str("member", h.member).Str("kind", k.execution.submission.Kind()).
		Int("task", k.index).Int("attempt", attempt).Str("choice", choice).Str("reason", reason).Msg("decision on a task")

	h.mu.Lock()
	h.decisions.add(Decision{time.Now(), event, int32(k.index), choice, reason})
	h.mu.Unlock()
}

// recordPlacement logs the chosen worker, or that the task has to wait.
func (h *Handle) recordPlacement(k *task, attempt int, c placement.Choice) {
	w := c.Worker()
	if w == nil {
		h.decide(h.table.log.Info().Int("candidates", c.Candidates()), eventWaiting, k, attempt, "", string(c.Reason()))

		return
	}

	l := h.table.placements.Info().Int("candidates", c.Candidates())
	if a := c.ComparedWith(); a != nil {
		l = l.Str("against", a.Name())
	}

	h.decide(l, eventPlaced, k, attempt, w.Name(), string(c.Reason()))
}

func (t *Table) recordRefusal(s submission.Submission, err error) {
	t.log.Info().Str("event", eventRefused).Str("submission", s.ID()).Str("member", s.Member()).Str("kind", s.Kind()).
		Int("tasks", len(s.Inputs())).Str("reason", fault.KindOf(err).Code()).Str("ran", string(fault.RanOf(err))).
		Msg(err.Error())
	t.metrics().countRefusal(err)
}
