package fleet_test

import (
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
	"github.com/skylarkweir/skylarkweir/weir/process/fleet"
)

var start = time.Unix(1000, 0)

func connect(f *fleet.Fleet, name string, incarnation uint64) *fleet.Worker {
	return f.Connect(wire.Worker_builder{Name: name, Incarnation: incarnation, Slots: 8}.Build(), start)
}

func load(sequence uint64, held, queued int) *wire.Load {
	return wire.Load_builder{Sequence: sequence, HeldSlots: uint32(held), QueuedSlots: uint32(queued)}.Build()
}

// Guards against an older report that arrives late and replaces a newer one, and against starts that are counted twice
// or not at all.
func TestLoadIsEstimatedFromTheLatestReport(t *testing.T) {
	is := is.New(t)

	var f fleet.Fleet

	w := connect(&f, "w", 1)
	first := w.RecordStart(2)
	is.Equal(w.Load(), 2)
	is.True(f.Report(w, load(2, 1, 0), start))
	is.Equal(w.Load(), 2) // at least the outstanding slots
	is.True(!f.Report(w, load(1, 7, 0), start))
	is.Equal(w.Load(), 2)

	second := w.RecordStart(1)
	is.Equal(w.Load(), 3)
	w.RecordEnd(2, first)
	is.Equal(w.Load(), 2)
	w.RecordEnd(1, second)
	is.Equal(w.Load(), 1)
	is.Equal(w.Outstanding(), 0)
}

// Guards against a rejection that still applies after the next report, or that applies to other kinds.
func TestRejectionHoldsUntilTheNextReport(t *testing.T) {
	is := is.New(t)

	var f fleet.Fleet

	w := connect(&f, "w", 1)
	w.RecordRejection("scan")
	is.True(!w.HasQueueCapacity("scan"))
	is.True(w.HasQueueCapacity("quote"))
	w.RecordRejection("")
	is.True(!w.HasQueueCapacity("quote"))
	f.Report(w, load(1, 0, 0), start)
	is.True(w.HasQueueCapacity("scan") && w.HasQueueCapacity("quote"))
}

// Guards against a full queue of one kind that keeps tasks of another kind from being queued, and against starts beyond
// the limit of a queue that were sent after the latest report.
func TestQueuesAreEstimatedByKind(t *testing.T) {
	is := is.New(t)

	var f fleet.Fleet

	w := connect(&f, "w", 1)
	k := wire.KindLoad_builder{Kind: "scan", QueuedSlots: 2, Room: false}.Build()

	l := load(1, 8, 2)
	l.SetKinds([]*wire.KindLoad{k})
	f.Report(w, l, start)

	is.True(!w.CanStart("quote", 1))
	is.True(!w.CanQueue("scan", 1))
	is.True(w.CanQueue("quote", 1))
	w.RecordStart(1)
	is.True(!w.CanQueue("quote", 1))
}

// Guards against the late end of an old connection that removes the next incarnation, and against counts that are lost
// when the same incarnation reconnects.
func TestIncarnations(t *testing.T) {
	is := is.New(t)

	var f fleet.Fleet

	changed := f.ConnectionsChanged()
	old := connect(&f, "w", 1)
	<-changed
	old.RecordStart(3)
	f.Disconnect(old)
	is.Equal(len(f.View().Workers()), 0)
	is.True(!old.Connected())
	is.Equal(connect(&f, "w", 1), old)
	is.Equal(old.Load(), 3)

	newer := connect(&f, "w", 2)
	is.Equal(newer.Load(), 0)
	f.Disconnect(old)

	w, found := f.View().Find("w")
	is.True(found)
	is.Equal(w, newer)
}

// Guards against data races between readers of the view and concurrent reports, connections and starts.
func TestConcurrentUse(t *testing.T) {
	is := is.New(t)

	var (
		f  fleet.Fleet
		wg sync.WaitGroup
	)

	f.OnChange(func(*fleet.Worker) {})

	for i := range 4 {
		wg.Go(func() {
			for n := range 500 {
				w := connect(&f, string(rune('a'+i)), 1)
				f.Report(w, load(uint64(n+1), n%8, 0), start)
				r := w.RecordStart(1)

				for _, o := range f.View().Workers() {
					_ = o.CanStart("scan", 1)
				}

				w.RecordEnd(1, r)

				if n%10 == 0 {
					f.Disconnect(w)
				}
			}
		})
	}

	wg.Wait()
	is.Equal(f.View().Slots(), 32)
}
