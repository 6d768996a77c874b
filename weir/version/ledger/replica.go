package ledger

import (
	"sync"
	"sync/atomic"

	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
)

// Bounds of the recent records kept for RecordsSince, by number and by size. A receiver that is further behind receives
// a snapshot.
const (
	maxRecentRecords = 4096
	maxRecentBytes   = 2 << 20
)

// Replica is the process's copy of the state that the log describes. Readers take no lock: each change publishes a new
// immutable view. The zero value is ready for use.
type Replica struct {
	// mutex is held by writers and for access to watches; readers of the view do not take it.
	mutex sync.Mutex
	view  atomic.Pointer[view]
	// watches holds the pending watches by the data of the record that they wait for.
	watches map[string][]*Watch
}

// view is a consistent set of what readers access. It is immutable.
type view struct {
	state *State
	// recentRecords holds the records from recentFrom up to the state's position, except bindings and snapshots. Later
	// views may share its backing array, which is only appended to beyond the end of this slice.
	recentRecords []Record
	recentFrom    int64
	recentBytes   int
	// snapshot is encoded at most once for each view.
	snapshot func() []byte
	changed  chan struct{}
	// configChanged is shared with later views until the agreement, the workers, the entries, the evacuations or the
	// completeness differ.
	configChanged chan struct{}
}

func (r *Replica) loadView() *view {
	if v := r.view.Load(); v != nil {
		return v
	}

	r.view.CompareAndSwap(nil, newView(&State{}))

	return r.view.Load()
}

func newView(s *State) *view {
	return &view{
		state: s, recentFrom: s.Position(), changed: make(chan struct{}), configChanged: make(chan struct{}),
		snapshot: sync.OnceValue(func() []byte { return SnapshotRecord(s) }),
	}
}

// State returns the current state.
func (r *Replica) State() *State { return r.loadView().state }

// Changed returns a channel that is closed when the state changes next.
func (r *Replica) Changed() <-chan struct{} { return r.loadView().changed }

// ConfigChanged returns a channel that is closed when the agreement, the workers, the entries, the evacuations or the
// completeness of the state change next. Bindings, which may arrive hundreds of times per second, and new positions do not close it.
func (r *Replica) ConfigChanged() <-chan struct{} { return r.loadView().configChanged }

// ApplyLog applies records that were read from the log; through is the offset up to which the log was read. The records
// are consecutive. If the first one is above the state's LogPosition, the log has dropped those in between.
func (r *Replica) ApplyLog(records []Record, through int64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()

	old := r.loadView()
	if s, d := old.state.applyLog(records, through); s.logPosition != old.state.logPosition {
		r.publish(old, s, d)
	}

	r.notifyWatches(records)
}

// ApplyPeerRecords applies records or a snapshot sent by another process. It ignores what is below the state's
// position.
func (r *Replica) ApplyPeerRecords(m *wire.Records) error {
	r.mutex.Lock()
	defer r.mutex.Unlock()

	old := r.loadView()

	s, d, err := old.state.applyPeerRecords(m)
	if err != nil {
		return err
	}

	if s.Position() != old.state.Position() || s.loading != old.state.loading {
		r.publish(old, s, d)
		r.notifyWatches(d.appliedRecords)
	}

	return nil
}

// BeginLoad makes the state incomplete until EndLoad is called or another process sends its state, so that a new
// process does not use an old version while it reads the log. The follower of the log calls it before its first read.
// It does nothing if another process has already sent its state.
func (r *Replica) BeginLoad() {
	if r.State().Position() == 0 {
		r.setLoading(true)
	}
}

// EndLoad marks the log as read to its end.
func (r *Replica) EndLoad() { r.setLoading(false) }

func (r *Replica) setLoading(loading bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()

	old := r.loadView()
	if old.state.loading == loading {
		return
	}

	s := *old.state
	s.loading = loading
	r.publish(old, &s, newDraft(s.shared()))
}

func (r *Replica) publish(old *view, s *State, d *draft) {
	v := newView(s)

	// A draft that was replaced by a snapshot does not continue at the position of the old view.
	v.recentFrom = d.appliedFrom
	if d.appliedFrom == old.state.Position() {
		v.recentRecords, v.recentFrom, v.recentBytes = old.recentRecords, old.recentFrom, old.recentBytes
	}

	for _, lr := range d.appliedRecords {
		v.recentRecords = append(v.recentRecords, lr)
		v.recentBytes += len(lr.data)
	}

	for len(v.recentRecords) > maxRecentRecords || v.recentBytes > maxRecentBytes {
		v.recentFrom = v.recentRecords[0].offset + 1
		v.recentBytes -= len(v.recentRecords[0].data)
		v.recentRecords = v.recentRecords[1:]
	}

	configDiffers := !s.sameConfig(old.state)
	if !configDiffers {
		v.configChanged = old.configChanged
	}

	r.view.Store(v)
	close(old.changed)

	if configDiffers {
		close(old.configChanged)
	}
}

// RecordsSince returns what a process at the position is missing: the records from there on, or a snapshot if they are
// no longer kept. It returns nil if there is nothing newer or if this state is incomplete. Bindings are not included.
func (r *Replica) RecordsSince(position int64) *wire.Records {
	v := r.loadView()
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

	// Without a snapshot, this field holds the position that the records continue from.
	m.SetSnapshotPosition(position)

	var records []*wire.LogRecord

	for _, lr := range v.recentRecords {
		if lr.offset < position {
			continue
		}

		x := &wire.LogRecord{}
		x.SetOffset(lr.offset)
		x.SetTimeMs(lr.timeMS)
		x.SetData(lr.data)
		records = append(records, x)
	}

	m.SetRecords(records)

	return m
}
