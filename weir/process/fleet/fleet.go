// Package fleet holds the workers that an entry is connected to and what they last reported.
package fleet

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
)

// maxEjected is the share of the connected workers that may be ejected at once: one in three.
const ejectionDivisor = 3

// Fleet is the set of connected workers. Readers take a View without a lock. The zero value works.
type Fleet struct {
	// mu serialises changes of the view.
	mu   sync.Mutex
	view atomic.Pointer[View]
	// known holds the latest incarnation of each name, so that a reconnected worker keeps its counts. Guarded by mu.
	byName map[string]*Worker
	// watch is called after each change that may give a waiting task a place; it must not block.
	onChange atomic.Pointer[func(*Worker)]
	// members is closed and replaced when a worker connects or disconnects. Guarded by mu.
	connectionsChanged chan struct{}
	ejected            atomic.Int64
}

// View is an immutable set of connected workers, ordered by name.
type View struct {
	workers []*Worker
	slots   int
}

// Workers returns the workers; the caller must not change the slice.
func (v *View) Workers() []*Worker { return v.workers }

// Slots returns the sum of the workers' slots.
func (v *View) Slots() int { return v.slots }

// Find returns the connected worker of that name.
func (v *View) Find(name string) (*Worker, bool) {
	i, found := slices.BinarySearchFunc(v.workers, name, func(w *Worker, n string) int { return strings.Compare(w.Name(), n) })
	if !found {
		return nil, false
	}

	return v.workers[i], true
}

// View returns the present set.
func (f *Fleet) View() *View {
	if v := f.view.Load(); v != nil {
		return v
	}

	return &View{}
}

// Watch sets the function that is called after a report of a worker, or with nil after any other change.
func (f *Fleet) OnChange(changed func(*Worker)) { f.onChange.Store(&changed) }

// Ejected returns how many workers receive probes only.
func (f *Fleet) Ejected() int { return int(f.ejected.Load()) }

// Changed is closed when a worker connects or disconnects next.
func (f *Fleet) ConnectionsChanged() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()

	if f.connectionsChanged == nil {
		f.connectionsChanged = make(chan struct{})
	}

	return f.connectionsChanged
}

// Connect adds the worker. The same incarnation keeps its counts; another one of the same name is replaced.
func (f *Fleet) Connect(d *wire.Worker, now time.Time) *Worker {
	f.mu.Lock()

	w, found := f.byName[d.GetName()]
	if !found || w.Incarnation() != d.GetIncarnation() {
		w = newWorker(d)
	}

	if f.byName == nil {
		f.byName = map[string]*Worker{}
	}

	f.byName[d.GetName()] = w
	f.replace(d.GetName(), w)

	w.connected.Store(true)
	w.leaving.Store(false)
	w.recordContact(now)
	f.updateEjections(now)
	f.notifyConnectionsChanged()
	f.mu.Unlock()
	f.notifyChange(nil)

	return w
}

// Disconnect removes the worker unless another incarnation has taken its place.
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

// Hear notes that the worker was heard from.
func (f *Fleet) RecordContact(w *Worker, now time.Time) { w.recordContact(now) }

// Report takes a load report; an older one than the present is dropped. It returns whether it was fresher.
func (f *Fleet) Report(w *Worker, l *wire.Load, now time.Time) bool {
	w.recordContact(now)

	if l == nil {
		return false
	}

	r := newReport(l)

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

// Leave notes that the worker takes no new work.
func (f *Fleet) MarkLeaving(w *Worker) { w.leaving.Store(true) }

// Register takes over from the log which workers are registered, and since which offset.
func (f *Fleet) UpdateRegistrations(lookup func(name string, incarnation uint64) (offset int64, lookup bool)) {
	for _, w := range f.View().Workers() {
		offsetPlusOne := int64(0)
		if offset, ok := lookup(w.Name(), w.Incarnation()); ok {
			offsetPlusOne = offset + 1
		}

		w.registrationOffsetPlusOne.Store(offsetPlusOne)
	}
}

func newWorker(d *wire.Worker) *Worker {
	w := &Worker{identity: d}
	w.report.Store(&Report{})

	if len(d.GetServices()) > 0 {
		w.services = make(map[string]bool, len(d.GetServices()))
		for _, s := range d.GetServices() {
			w.services[s] = true
		}
	}

	return w
}

// replace publishes a view with w, or without any worker of that name if w is nil. The caller holds mu.
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

// eject marks the worst suspects. The bound keeps a fault that all workers share, such as a bad kind of task, from
// taking the whole fleet out. The caller holds mu.
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

// announce wakes those who wait for a connection. The caller holds mu.
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
