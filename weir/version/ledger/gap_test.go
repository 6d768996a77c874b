package ledger_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/skylarkweir/skylarkweir/weir/version/ledger"
)

// Guards against a new reader of a truncated log that accepts a publication although it does not know the base version.
func TestTruncatedLog(t *testing.T) {
	is := is.New(t)
	l := &testLog{}
	l.add(publication(t, 0, "one"))
	old := l.state()
	l.add(publication(t, 1, "two"))
	l.add(ledger.WorkerJoinedRecord(worker("w", 1)))
	snapshot := l.state()
	l.add(publication(t, 2, "three"))
	l.add(ledger.SnapshotRecord(old))
	newerSnapshotOffset := l.end()
	l.add(ledger.SnapshotRecord(snapshot))
	l.add(publication(t, 3, "four"))

	for first := 1; first < int(newerSnapshotOffset); first++ {
		var b ledger.Replica

		b.ApplyLog(l.records[first:newerSnapshotOffset], newerSnapshotOffset)
		// The old snapshot has position 1, so it is usable only if the log still holds offset 1.
		is.Equal(b.State().Ready(), first == 1)
		is.Equal(b.RecordsSince(0) != nil, first == 1) // an incomplete state is not sent to others

		if first > 1 {
			is.True(b.State().Version() <= 1)
		}

		b.ApplyLog(l.records[newerSnapshotOffset:], l.end())

		// The newer snapshot has position 3.
		is.Equal(b.State().Ready(), first <= 3)

		if first <= 3 {
			is.Equal(b.State().Version(), int64(4))
			is.Equal(b.State().Position(), l.end())
			is.Equal(len(b.State().Workers()), 1)
		}
	}

	// From a log whose records were all dropped, nothing is known.
	var b ledger.Replica

	b.ApplyLog(nil, 5)
	is.True(!b.State().Complete())
	is.Equal(b.State().Position(), int64(0))
	is.Equal(b.State().LogPosition(), int64(5))
}

// Guards against a process that stays ready with an old version after it read no records for longer than the log keeps
// them.
func TestGapInRunningProcess(t *testing.T) {
	is := is.New(t)
	l := &testLog{}
	l.add(publication(t, 0, "one"))
	l.add(publication(t, 1, "two"))
	l.add(publication(t, 2, "three"))

	var b ledger.Replica

	b.ApplyLog(l.records[:1], 1)
	is.True(b.State().Ready())
	b.ApplyLog(l.records[2:], 3)
	is.True(!b.State().Ready())
	is.Equal(b.State().Version(), int64(1))

	var peer ledger.Replica

	peer.ApplyLog(l.records[:2], 2)
	is.NoErr(b.ApplyPeerRecords(peer.RecordsSince(b.State().Position())))
	// The peer's records close the gap, so the pending publication is applied.
	is.True(b.State().Ready())
	is.Equal(b.State().Version(), int64(3))
}

// Guards against a truncated log without snapshots that fills the memory of its readers, and against a gap that counts
// as closed although pending records were dropped.
func TestPendingRecordsAreBounded(t *testing.T) {
	is := is.New(t)

	const count = 40 // 40 records of 1 MB; at most 32 MB stay pending

	l := &testLog{}
	l.add(publication(t, 0, "one"))

	for i := range count {
		w := worker(fmt.Sprint(i), 1)
		w.SetRack(strings.Repeat("r", 1<<20))
		l.add(ledger.WorkerJoinedRecord(w))
	}

	for covered, want := range map[int]bool{1: false, count: true} {
		var b ledger.Replica

		b.ApplyLog(l.records[1:], l.end())

		snapshot := ledger.SnapshotRecord((&ledger.State{}).Apply(l.records[:covered]...))
		b.ApplyLog([]ledger.Record{ledger.NewRecord(l.end(), l.now, snapshot)}, l.end()+1)
		is.Equal(b.State().Ready(), want)
	}
}

// Guards against a lagging process that appends a snapshot of its old state, which sets readers of the log back.
func TestOutdatedSnapshotIgnored(t *testing.T) {
	is := is.New(t)
	l := &testLog{}
	l.add(publication(t, 0, "one"))
	lagging := l.state()
	l.add(publication(t, 1, "two"))
	l.add(ledger.WorkerJoinedRecord(worker("w", 1)))
	newer := l.state()
	l.add(ledger.SnapshotRecord(newer))
	l.add(ledger.SnapshotRecord(lagging))

	is.Equal(l.state().Version(), int64(2))

	var newReader ledger.Replica

	newReader.ApplyLog(l.records[1:], l.end())
	is.True(newReader.State().Ready())
	is.Equal(newReader.State().Version(), int64(2))
	is.Equal(len(newReader.State().Workers()), 1)

	// A snapshot that claims to cover its own offset or later ones is invalid.
	ahead := &testLog{}
	ahead.add(ledger.SnapshotRecord(newer))
	is.Equal(ahead.state().Version(), int64(0))
	is.Equal(ahead.state().SkippedRecords(), int64(1))
}
