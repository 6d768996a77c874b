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

// rules is what the log's state says about admission and placement, in a form that is quick to look up. It is
// immutable but for the cache of allowances.
type rules struct {
	ready   bool
	version int64
	kinds   map[string]kindRule
	members map[string]int
	workers []ledger.Worker
	slots   int
	entries int
	agreed  *agreement.Agreement
	state   *ledger.State
	// allowances maps a member to its slots by worker; filled on first use, since few of many members are active.
	allowances sync.Map
}

type kindRule struct {
	service  string
	maxCores int
	share    int
	urgent   bool
}

func newRules(s *ledger.State) *rules {
	r := &rules{
		ready: s.Ready(), version: s.Version(), kinds: map[string]kindRule{}, members: map[string]int{},
		workers: s.Workers(), entries: max(len(s.Entries()), 1), agreed: s.Agreement(), state: s,
	}

	for _, w := range r.workers {
		r.slots += w.Slots()
	}

	for _, k := range r.agreed.Kinds() {
		r.kinds[k.Name()] = kindRule{k.Service(), k.MaxCores(), k.SharePercent(), k.Urgent()}
	}

	for _, m := range r.agreed.Members() {
		r.members[m.Name()] = m.Limit(r.slots)
	}

	return r
}

func (r *rules) limit(member string) int { return r.members[member] }

// largest tells whether any registered worker serves the service, and whether one of these can hold the task.
func (r *rules) largest(service string, cores, memoryMB int) (served, fits bool) {
	for _, w := range r.workers {
		if !w.Serves(service) {
			continue
		}

		served = true

		if cores <= w.Slots() && memoryMB <= w.MemoryMB() {
			return true, true
		}
	}

	return served, false
}

// allowed tells whether the member may hold slots at the worker.
func (r *rules) allowed(member, worker string) bool {
	a, found := r.allowances.Load(member)
	if !found {
		m, known := r.agreed.Member(member)
		if !known {
			return false
		}

		a, _ = r.allowances.LoadOrStore(member, share.Split(member, m.Limit(r.slots), r.agreed.Granule(m, r.slots), r.workers))
	}

	return a.(map[string]int)[worker] > 0
}

// Follow keeps the table in step with the process's copy of the log until ctx ends.
func (t *Table) Follow(ctx context.Context, book *ledger.Replica) {
	f := &follower{t, book}
	f.apply()

	go f.run(ctx)
}

type follower struct {
	table *Table
	book  *ledger.Replica
}

func (f *follower) run(ctx context.Context) {
	for {
		changed := f.book.Changed()
		f.apply()

		select {
		case <-ctx.Done():
			return
		case <-changed:
			time.Sleep(settleTime)
		}
	}
}

func (f *follower) apply() {
	s := f.book.State()

	if r := newRules(s); !r.equal(f.table.rules.Load()) {
		f.table.apply(r)
	}

	f.table.position.Store(s.Position())
}

// settleTime bounds how often the rules are derived. Bindings change the state up to 20 times a second for each entry
// and do not change the rules.
const settleTime = 50 * time.Millisecond

// equal tells whether both lead to the same decisions.
func (r *rules) equal(o *rules) bool {
	if o == nil || r.ready != o.ready || r.version != o.version || r.entries != o.entries {
		return false
	}

	return slices.EqualFunc(r.workers, o.workers, func(a, b ledger.Worker) bool {
		return a.Name() == b.Name() && a.Incarnation() == b.Incarnation() && a.JoinedOffset() == b.JoinedOffset()
	})
}

func (t *Table) apply(r *rules) {
	t.rules.Store(r)
	t.workers.UpdateRegistrations(r.state.Registered)

	t.queue.mu.Lock()
	for name, k := range r.kinds {
		t.queue.tasks.SetKind(name, k.share, k.urgent)
	}

	for name, limit := range r.members {
		t.queue.tasks.SetMemberLimit(name, limit)
	}

	t.queue.tasks.SetCapacity(r.slots / r.entries)
	t.queue.mu.Unlock()
	t.meters().kinds(t, r)
	t.changed(nil)
}
