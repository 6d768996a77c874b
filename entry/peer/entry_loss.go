package peer

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"

	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
	"github.com/skylarkweir/skylarkweir/weir/version/ledger"
)

// entryChecksPerTimeout is the number of checks of the entries within the timeout.
const entryChecksPerTimeout = 20

// EntryLossDetector removes from the log the entries that ended without a record of their departure. Without it every
// sidecar and entry would keep dialing the addresses of all entries that ever crashed.
type EntryLossDetector struct {
	peers    *Peers
	replica  *ledger.Replica
	appender Appender
	// timeout is longer than an outage between regions, since new processes find an entry that was removed only once it
	// has registered again.
	timeout time.Duration
	log     zerolog.Logger
	// removeAt is when an unreached entry is removed, by incarnation. Only Run uses it.
	removeAt map[uint64]time.Time
}

// NewEntryLossDetector returns a detector that removes entries that were not reached for the given timeout.
func NewEntryLossDetector(
	p *Peers, replica *ledger.Replica, appender Appender, timeout time.Duration, log zerolog.Logger,
) *EntryLossDetector {
	return &EntryLossDetector{
		peers: p, replica: replica, appender: appender, timeout: timeout, log: log, removeAt: map[uint64]time.Time{},
	}
}

// Run checks the entries until ctx ends.
func (d *EntryLossDetector) Run(ctx context.Context) {
	tick := time.NewTicker(max(d.timeout/entryChecksPerTimeout, time.Millisecond))
	defer tick.Stop()

	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}

		for _, e := range d.overdueEntries(time.Now()) {
			d.remove(ctx, e)
		}
	}
}

// overdueEntries returns the entries to remove now. It returns none while this entry reaches less than half of the
// registered entries, itself included, since it may then be isolated itself.
func (d *EntryLossDetector) overdueEntries(now time.Time) []ledger.Entry {
	reached := map[uint64]bool{d.peers.self.GetIncarnation(): true}
	for _, e := range d.peers.Reached() {
		reached[e.GetIncarnation()] = true
	}

	var overdue []ledger.Entry

	registered, reachedCount := d.replica.State().Entries(), 0
	unreached := map[uint64]time.Time{}

	for _, e := range registered {
		if reached[e.Incarnation()] {
			reachedCount++

			continue
		}

		due, found := d.removeAt[e.Incarnation()]
		if !found {
			// The random delay lets one entry append the record before the others do.
			due = now.Add(d.timeout + rand.N(d.timeout/4+1)) //nolint:gosec // no secret
		}

		unreached[e.Incarnation()] = due

		if !now.Before(due) {
			overdue = append(overdue, e)
		}
	}

	d.removeAt = unreached

	if 2*reachedCount < len(registered) {
		return nil
	}

	return overdue
}

func (d *EntryLossDetector) remove(ctx context.Context, e ledger.Entry) {
	ctx, stop := context.WithTimeout(ctx, lossAppendTimeout)
	defer stop()

	d.log.Warn().Str("event", "entry_removed").Str("peer", e.Name()).Uint64("incarnation", e.Incarnation()).
		Str("address", e.Address()).Msg("entry was not reached within the configured time; removing it from the log")

	var noSuccessor *wire.Entry

	if err := d.appender.Append(ctx, ledger.EntryLeftRecord(e.Wire(), noSuccessor, true)); err != nil {
		d.log.Warn().Str("event", "append_failed").Str("peer", e.Name()).Err(err).
			Msg("could not confirm the removal of the entry in the log; retrying while it stays unreached")
	}
}
