package tasks

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
	"github.com/skylarkweir/skylarkweir/weir/process/share"
)

// Load returns the load of the worker, the health of its backend server and whether the sidecar is leaving.
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

// MemberLoads returns the held slots, queued slots and allowance of each member on this worker.
func (t *Table) MemberLoads() []share.MemberLoad { return t.scheduler.MemberLoads(time.Now()) }

// Usage returns the numbers of starts and tombstones in the table, and the bytes of held inputs and outputs.
func (t *Table) Usage() (starts, tombstones int, bytes int64) {
	t.mu.Lock()
	defer t.mu.Unlock()

	return t.starts, t.tombstones, t.heldBytes
}

// addTaskFields adds the identity of a task to a log line.
func addTaskFields(e *zerolog.Event, run *Run) *zerolog.Event {
	r := run.request

	return e.Str("submission", r.id.submission).Uint32("task", r.id.index).Uint32("attempt", r.id.attempt).
		Str("member", r.member).Str("kind", r.kind)
}
