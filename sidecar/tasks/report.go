package tasks

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
	"github.com/skylarkweir/skylarkweir/weir/process/share"
)

// Load reports the use of the worker.
func (t *Table) Load() *wire.Load {
	l := t.scheduler.Load()
	l.SetSuspect(t.statistics.Suspect())
	l.SetProbe(t.statistics.AllowsProbe(time.Now()))
	l.SetFailurePermille(uint32(t.statistics.FailurePermille())) //nolint:gosec // at most 1000

	t.mu.Lock()
	l.SetLeaving(t.leaving)
	t.mu.Unlock()

	return l
}

// Members reports what each member holds and may hold here.
func (t *Table) MemberLoads() []share.MemberLoad { return t.scheduler.MemberLoads(time.Now()) }

// Held returns the numbers of starts and tombstones in the table and of bytes held for them.
func (t *Table) Usage() (starts, tombstones int, bytes int64) {
	t.mu.Lock()
	defer t.mu.Unlock()

	return t.starts, t.tombstones, t.heldBytes
}

// describe adds the identity of a task to a line.
func addTaskFields(e *zerolog.Event, run *Run) *zerolog.Event {
	r := run.request

	return e.Str("submission", r.id.submission).Uint32("task", r.id.index).Uint32("attempt", r.id.attempt).Str("member", r.member).Str("kind", r.kind)
}
