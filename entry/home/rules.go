package home

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/skylarkweir/skylarkweir/weir/process/share"
	"github.com/skylarkweir/skylarkweir/weir/version/agreement"
	"github.com/skylarkweir/skylarkweir/weir/version/ledger"
)

// rules holds the limits and workers of one state of the log, indexed for admission and placement. It is immutable
// except for the cache of allowances.
type rules struct {
	ready        bool
	version      int64
	kinds        map[string]kindRule
	memberLimits map[string]int
	workers      []ledger.Worker
	totalSlots   int
	entries      int
	agreement    *agreement.Agreement
	state        *ledger.State
	// allowances caches the slots of a member at each worker. It is filled on first use, since only a few of the
	// members are active.
	allowances sync.Map
}

type kindRule struct {
	service      string
	maxCores     int
	sharePercent int
	urgent       bool
}

func newRules(s *ledger.State) *rules {
	r := &rules{
		ready: s.Ready(), version: s.Version(), kinds: map[string]kindRule{}, memberLimits: map[string]int{},
		workers: s.Workers(), entries: max(len(s.Entries()), 1), agreement: s.Agreement(), state: s,
	}

	for _, w := range r.workers {
		r.totalSlots += w.Slots()
	}

	for _, k := range r.agreement.Kinds() {
		r.kinds[k.Name()] = kindRule{k.Service(), k.MaxCores(), k.SharePercent(), k.Urgent()}
	}

	for _, m := range r.agreement.Members() {
		r.memberLimits[m.Name()] = m.Limit(r.totalSlots)
	}

	return r
}

func (r *rules) memberLimit(member string) int { return r.memberLimits[member] }

// checkCapacity reports whether a registered worker serves the service, and whether one of these can hold the task.
func (r *rules) checkCapacity(service string, cores, memoryMB int) (isServed, canHold bool) {
	for _, w := range r.workers {
		if !w.Serves(service) {
			continue
		}

		isServed = true

		if cores <= w.Slots() && memoryMB <= w.MemoryMB() {
			return true, true
		}
	}

	return isServed, false
}

// hasAllowance reports whether the member may hold slots at the worker.
func (r *rules) hasAllowance(member, worker string) bool {
	a, found := r.allowances.Load(member)
	if !found {
		m, isMember := r.agreement.Member(member)
		if !isMember {
			return false
		}

		a, _ = r.allowances.LoadOrStore(member, share.Split(
			member, m.Limit(r.totalSlots), r.agreement.Granule(m, r.totalSlots), r.workers))
	}

	return a.(map[string]int)[worker] > 0
}

// Follow applies the state of the process's replica of the log, now and after each change until ctx ends.
func (t *Table) Follow(ctx context.Context, replica *ledger.Replica) {
	f := &follower{t, replica}
	f.refresh()

	go f.run(ctx)
}

type follower struct {
	table   *Table
	replica *ledger.Replica
}

func (f *follower) run(ctx context.Context) {
	for {
		changed := f.replica.Changed()
		f.refresh()

		select {
		case <-ctx.Done():
			return
		case <-changed:
			time.Sleep(refreshInterval)
		}
	}
}

func (f *follower) refresh() {
	s := f.replica.State()

	if r := newRules(s); !r.equal(f.table.rules.Load()) {
		f.table.applyRules(r)
	}

	f.table.position.Store(s.Position())
}

// refreshInterval is the minimum time between two derivations of the rules. Bindings change the state up to 20 times a
// second for each entry without a change of the rules.
const refreshInterval = 50 * time.Millisecond

// equal reports whether both lead to the same decisions.
func (r *rules) equal(o *rules) bool {
	if o == nil || r.ready != o.ready || r.version != o.version || r.entries != o.entries ||
		r.state.Evacuations().Position() != o.state.Evacuations().Position() {
		return false
	}

	return slices.EqualFunc(r.workers, o.workers, func(a, b ledger.Worker) bool {
		return a.Name() == b.Name() && a.Incarnation() == b.Incarnation() && a.JoinedOffset() == b.JoinedOffset()
	})
}

func (t *Table) applyRules(r *rules) {
	t.rules.Store(r)
	t.workers.UpdateRegistrations(r.state.Registered)
	t.workers.UpdateEvacuations(r.state.Evacuations())

	t.queue.mu.Lock()
	for name, k := range r.kinds {
		t.queue.tasks.SetKind(name, k.sharePercent, k.urgent)
	}

	for name, limit := range r.memberLimits {
		t.queue.tasks.SetMemberLimit(name, limit)
	}

	t.queue.tasks.SetCapacity(r.totalSlots / r.entries)
	t.queue.mu.Unlock()
	t.metrics().registerKindGauges(t, r)
	t.notifyChange(nil)
}
