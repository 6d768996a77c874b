package ledger

import (
	"sync"
	"sync/atomic"

	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
)

// The recent records that Since passes on are bounded by number and by size; a receiver further behind gets a snapshot.
const (
	maxRecentRecords = 4096
	maxRecentBytes   = 2 << 20
)

// Book is the process's copy of the log: read-copy-update, any number of readers. The zero value works.
type Replica struct {
	// mutex is held by writers only.
	mutex sync.Mutex
	view  atomic.Pointer[view]
	// watches holds the records that are waited for, by their data.
	watches map[string][]*Watch
}

// view is what readers see at once. It is immutable.
type view struct {
	state *State
	// recent holds the records from recentFrom up to the state's position, without bindings and snapshots. Later views
	// may share the array behind it, which only grows beyond the end of this slice.
	recentRecords []Record
	recentFrom    int64
	recentBytes   int
	// snapshot is encoded at most once for each view.
	snapshot func() []byte
	changed  chan struct{}
	// amended is shared with later views until the agreement, the workers, the entries or the readiness differ.
	configChanged chan struct{}
}

func (b *Replica) loadView() *view {
	if v := b.view.Load(); v != nil {
		return v
	}

	b.view.CompareAndSwap(nil, newView(&State{}))

	return b.view.Load()
}

func newView(s *State) *view {
	return &view{
		state: s, recentFrom: s.Position(), changed: make(chan struct{}), configChanged: make(chan struct{}),
		snapshot: sync.OnceValue(func() []byte { return SnapshotRecord(s) }),
	}
}

// State returns the present state.
func (b *Replica) State() *State { return b.loadView().state }

// Changed returns a channel that is closed at the next change.
func (b *Replica) Changed() <-chan struct{} { return b.loadView().changed }

// Amended returns a channel that is closed at the next change of the agreement, the workers, the entries or the
// readiness. Bindings, which may arrive hundreds of times a second, and positions do not close it.
func (b *Replica) ConfigChanged() <-chan struct{} { return b.loadView().configChanged }

// Advance applies records that were read from the log and notes that the log was read up to through. The records are
// consecutive; if they do not follow on the state's LogPosition, the log has dropped those between.
func (b *Replica) ApplyLog(records []Record, through int64) {
	b.mutex.Lock()
	defer b.mutex.Unlock()

	old := b.loadView()
	if s, d := old.state.applyLog(records, through); s.logPosition != old.state.logPosition {
		b.publish(old, s, d)
	}

	b.notifyWatches(records)
}

// Receive applies what another process passed on. Older records than the state's are left out.
func (b *Replica) ApplyPeerRecords(r *wire.Records) error {
	b.mutex.Lock()
	defer b.mutex.Unlock()

	old := b.loadView()

	s, d, err := old.state.applyPeerRecords(r)
	if err != nil {
		return err
	}

	if s.Position() != old.state.Position() || s.loading != old.state.loading {
		b.publish(old, s, d)
		b.notifyWatches(d.appliedRecords)
	}

	return nil
}

// BeginLoad makes the state not ready until EndLoad is called or another process passes on its state, so that a new
// process uses no old version while it reads the log. The follower of the log calls it before its first read. It does
// nothing if another process has passed on its state already.
func (b *Replica) BeginLoad() {
	if b.State().Position() == 0 {
		b.setLoading(true)
	}
}

// EndLoad tells that the log was read to its end.
func (b *Replica) EndLoad() { b.setLoading(false) }

func (b *Replica) setLoading(loading bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()

	old := b.loadView()
	if old.state.loading == loading {
		return
	}

	s := *old.state
	s.loading = loading
	b.publish(old, &s, newDraft(s.shared()))
}

func (b *Replica) publish(old *view, s *State, d *draft) {
	v := newView(s)

	// A draft that adopted a fold starts at another position than the old view ended.
	v.recentFrom = d.appliedFrom
	if d.appliedFrom == old.state.Position() {
		v.recentRecords, v.recentFrom, v.recentBytes = old.recentRecords, old.recentFrom, old.recentBytes
	}

	for _, r := range d.appliedRecords {
		v.recentRecords = append(v.recentRecords, r)
		v.recentBytes += len(r.data)
	}

	for len(v.recentRecords) > maxRecentRecords || v.recentBytes > maxRecentBytes {
		v.recentFrom = v.recentRecords[0].offset + 1
		v.recentBytes -= len(v.recentRecords[0].data)
		v.recentRecords = v.recentRecords[1:]
	}

	amended := !s.sameConfig(old.state)
	if !amended {
		v.configChanged = old.configChanged
	}

	b.view.Store(v)
	close(old.changed)

	if amended {
		close(old.configChanged)
	}
}

// Since returns what a process at the position lacks: the records since then, or a snapshot if they are not at hand.
// It returns nil if nothing is newer or if this state may itself be old. Bindings are left out.
func (b *Replica) RecordsSince(position int64) *wire.Records {
	v := b.loadView()
	if position >= v.state.Position() || !v.state.Complete() {
		return nil
	}

	m := &wire.Records{}
	m.SetThrough(v.state.Position())

	if position < v.recentFrom {
		m.SetSnapshot(v.snapshot())
		m.SetSnapshotPosition(v.state.Position())

		return m
	}

	// Without a snapshot, the field says which position the records follow.
	m.SetSnapshotPosition(position)

	var records []*wire.LogRecord

	for _, r := range v.recentRecords {
		if r.offset < position {
			continue
		}

		x := &wire.LogRecord{}
		x.SetOffset(r.offset)
		x.SetTimeMs(r.timeMS)
		x.SetData(r.data)
		records = append(records, x)
	}

	m.SetRecords(records)

	return m
}
