package peer

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"

	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
	"github.com/skylarkweir/skylarkweir/weir/version/ledger"
)

// lookParts is how often within the time of absence the entries are looked at.
const lossChecksPerTimeout = 20

// Absence removes entries from the log that died without a word. Without it every sidecar and entry would dial the
// addresses of all entries that ever died.
type EntryLossDetector struct {
	peers    *Peers
	replica  *ledger.Replica
	appender Appender
	// after is longer than regions lose each other, since an entry that was removed is found by new processes only once
	// it has registered again.
	timeout time.Duration
	log     zerolog.Logger
	// due is when an unreached entry is removed, by incarnation. Only Run uses it.
	removeAt map[uint64]time.Time
}

// NewAbsence returns a watch that removes entries which were not reached for the given time.
func NewEntryLossDetector(p *Peers, replica *ledger.Replica, appender Appender, timeout time.Duration, log zerolog.Logger) *EntryLossDetector {
	return &EntryLossDetector{peers: p, replica: replica, appender: appender, timeout: timeout, log: log, removeAt: map[uint64]time.Time{}}
}

// Run watches until ctx ends.
func (a *EntryLossDetector) Run(ctx context.Context) {
	tick := time.NewTicker(max(a.timeout/lossChecksPerTimeout, time.Millisecond))
	defer tick.Stop()

	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}

		for _, e := range a.overdueEntries(time.Now()) {
			a.remove(ctx, e)
		}
	}
}

// absent returns the entries that are due. An entry that reaches less than half of the others may be cut off itself.
func (a *EntryLossDetector) overdueEntries(now time.Time) []ledger.Entry {
	reached := map[uint64]bool{a.peers.self.GetIncarnation(): true}
	for _, e := range a.peers.Reached() {
		reached[e.GetIncarnation()] = true
	}

	var overdue []ledger.Entry

	registered, reachedCount := a.replica.State().Entries(), 0
	unreached := map[uint64]time.Time{}

	for _, e := range registered {
		if reached[e.Incarnation()] {
			reachedCount++

			continue
		}

		due, found := a.removeAt[e.Incarnation()]
		if !found {
			// The spread lets one entry append the record before the others do.
			due = now.Add(a.timeout + rand.N(a.timeout/4+1)) //nolint:gosec // no secret
		}

		unreached[e.Incarnation()] = due

		if !now.Before(due) {
			overdue = append(overdue, e)
		}
	}

	a.removeAt = unreached

	if 2*reachedCount < len(registered) {
		return nil
	}

	return overdue
}

func (a *EntryLossDetector) remove(ctx context.Context, e ledger.Entry) {
	ctx, stop := context.WithTimeout(ctx, lossAppendTimeout)
	defer stop()

	a.log.Warn().Str("event", "entry_removed").Str("peer", e.Name()).Uint64("incarnation", e.Incarnation()).
		Str("address", e.Address()).Msg("the entry was not reached for a long time")

	var noSuccessor *wire.Entry

	if err := a.appender.Append(ctx, ledger.EntryLeftRecord(e.Wire(), noSuccessor, true)); err != nil {
		a.log.Warn().Str("event", "append_failed").Str("peer", e.Name()).Err(err).Msg("the removal is not in the log")
	}
}
