// Package fleet holds the workers that an entry is connected to, with their latest load reports.
package fleet

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
	"github.com/skylarkweir/skylarkweir/weir/version/evacuation"
)

// ejectionDivisor limits the workers that are ejected at the same time to one in three of those connected.
const ejectionDivisor = 3

// Fleet is the set of connected workers. Readers get a View without locking. The zero value is ready to use.
type Fleet struct {
	// mu serializes changes of the view.
	mu   sync.Mutex
	view atomic.Pointer[View]
	// byName holds the latest incarnation of each name, so that a worker that reconnects keeps its counts. Guarded by mu.
	byName map[string]*Worker
	// onChange is called after each change that may allow a waiting task to start; it must not block.
	onChange atomic.Pointer[func(*Worker)]
	// connectionsChanged is closed and reset to nil when a worker connects or disconnects. Guarded by mu.
	connectionsChanged chan struct{}
	ejected            atomic.Int64
}

// View is an immutable set of connected workers, ordered by name.
type View struct {
	workers []*Worker
	slots   int
}

// Workers returns the workers ordered by name; the caller must not change the slice.
func (v *View) Workers() []*Worker { return v.workers }

// Slots returns the sum of the workers' slots.
func (v *View) Slots() int { return v.slots }

// Find returns the connected worker with that name.
func (v *View) Find(name string) (*Worker, bool) {
	i, found := slices.BinarySearchFunc(v.workers, name, func(w *Worker, n string) int {
		return strings.Compare(w.Name(), n)
	})
	if !found {
		return nil, false
	}

	return v.workers[i], true
}

// View returns the current view.
func (f *Fleet) View() *View {
	if v := f.view.Load(); v != nil {
		return v
	}

	return &View{}
}

// OnChange sets the function that is called with a worker after it reported its load, and with nil when a worker
// connects or disconnects. The function must not block.
func (f *Fleet) OnChange(callback func(*Worker)) { f.onChange.Store(&callback) }

// Ejected returns the number of workers that receive probes only.
func (f *Fleet) Ejected() int { return int(f.ejected.Load()) }

// ConnectionsChanged returns a channel that is closed when the next worker connects or disconnects.
func (f *Fleet) ConnectionsChanged() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()

	if f.connectionsChanged == nil {
		f.connectionsChanged = make(chan struct{})
	}

	return f.connectionsChanged
}

// Connect adds the worker. An incarnation that reconnects keeps its counts; a different incarnation replaces the
// connected worker of the same name.
func (f *Fleet) Connect(identity *wire.Worker, now time.Time) *Worker {
	f.mu.Lock()

	w, found := f.byName[identity.GetName()]
	if !found || w.Incarnation() != identity.GetIncarnation() {
		w = newWorker(identity)
	}

	if f.byName == nil {
		f.byName = map[string]*Worker{}
	}

	f.byName[identity.GetName()] = w
	f.replace(identity.GetName(), w)

	w.connected.Store(true)
	w.leaving.Store(false)
	w.recordContact(now)
	f.updateEjections(now)
	f.notifyConnectionsChanged()
	f.mu.Unlock()
	f.notifyChange(nil)

	return w
}

// Disconnect removes the worker unless another incarnation of the same name has replaced it.
func (f *Fleet) Disconnect(w *Worker) {
	f.mu.Lock()

	w.connected.Store(false)

	if current, found := f.View().Find(w.Name()); found && current == w {
		f.replace(w.Name(), nil)
	}

	f.updateEjections(time.Now())
	f.notifyConnectionsChanged()
	f.mu.Unlock()
	f.notifyChange(nil)
}

// RecordContact records that a message from the worker arrived at that time.
func (f *Fleet) RecordContact(w *Worker, now time.Time) { w.recordContact(now) }

// Report stores a load report and reports whether it was newer than the stored one; an older one is dropped.
func (f *Fleet) Report(w *Worker, load *wire.Load, now time.Time) bool {
	w.recordContact(now)

	if load == nil {
		return false
	}

	r := newReport(load)

	for {
		old := w.report.Load()
		if r.sequence <= old.sequence && old.sequence > 0 {
			return false
		}

		if w.report.CompareAndSwap(old, r) {
			w.rejected.Store(nil)
			w.slotsSinceReport.Store(0)

			if old.suspect != r.suspect || r.suspect && old.failurePermille != r.failurePermille {
				f.mu.Lock()
				f.updateEjections(now)
				f.mu.Unlock()
			}

			break
		}
	}

	f.notifyChange(w)

	return true
}

// MarkLeaving records that the worker accepts no new tasks.
func (f *Fleet) MarkLeaving(w *Worker) { w.leaving.Store(true) }

// UpdateRegistrations sets for each connected worker whether the log has it registered, and at which offset.
func (f *Fleet) UpdateRegistrations(lookup func(name string, incarnation uint64) (offset int64, registered bool)) {
	for _, w := range f.View().Workers() {
		offsetPlusOne := int64(0)
		if offset, ok := lookup(w.Name(), w.Incarnation()); ok {
			offsetPlusOne = offset + 1
		}

		w.registrationOffsetPlusOne.Store(offsetPlusOne)
	}
}

// UpdateEvacuations sets for each connected worker whether the operator has evacuated its failure domain.
func (f *Fleet) UpdateEvacuations(v evacuation.Value) {
	for _, w := range f.View().Workers() {
		w.evacuated.Store(v.Has(w.FailureDomain()))
	}
}

func newWorker(identity *wire.Worker) *Worker {
	w := &Worker{identity: identity}
	w.report.Store(&Report{})

	if len(identity.GetServices()) > 0 {
		w.services = make(map[string]bool, len(identity.GetServices()))
		for _, s := range identity.GetServices() {
			w.services[s] = true
		}
	}

	return w
}

// replace publishes a view in which w replaces the worker of that name; a nil w removes it. The caller holds mu.
func (f *Fleet) replace(name string, w *Worker) {
	next := &View{}

	for _, o := range f.View().Workers() {
		if o.Name() != name {
			next.workers = append(next.workers, o)
		}
	}

	if w != nil {
		next.workers = append(next.workers, w)
		slices.SortFunc(next.workers, func(a, b *Worker) int { return strings.Compare(a.Name(), b.Name()) })
	}

	for _, o := range next.workers {
		next.slots += o.Slots()
	}

	f.view.Store(next)
}

// updateEjections ejects the suspects with the most failures, at most one in ejectionDivisor of the connected workers.
// The limit keeps a fault that all workers share, such as a kind of task that always fails, from ejecting the whole
// fleet. The caller holds mu.
func (f *Fleet) updateEjections(now time.Time) {
	workers := f.View().Workers()

	var suspects []*Worker

	for _, w := range workers {
		if w.Report().Suspect() {
			suspects = append(suspects, w)
		} else {
			w.ejected.Store(false)
		}
	}

	slices.SortStableFunc(suspects, func(a, b *Worker) int {
		return b.Report().FailurePermille() - a.Report().FailurePermille()
	})

	f.ejected.Store(int64(min(len(suspects), len(workers)/ejectionDivisor)))

	for i, w := range suspects {
		eject := i < len(workers)/ejectionDivisor
		if eject && !w.Ejected() {
			w.probe.start(now)
		}

		w.ejected.Store(eject)
	}
}

// notifyConnectionsChanged wakes the goroutines that wait on ConnectionsChanged. The caller holds mu.
func (f *Fleet) notifyConnectionsChanged() {
	if f.connectionsChanged != nil {
		close(f.connectionsChanged)
		f.connectionsChanged = nil
	}
}

func (f *Fleet) notifyChange(w *Worker) {
	if c := f.onChange.Load(); c != nil {
		(*c)(w)
	}
}
