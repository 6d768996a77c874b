package ledger_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
	"github.com/skylarkweir/skylarkweir/weir/version/agreement"
	"github.com/skylarkweir/skylarkweir/weir/version/ledger"
)

// Guards against two operators who publish on the same base version and both receive the answer that their version is
// in force, and against a publication that was appended twice after a lost answer and takes effect twice or is reported
// as void.
func TestConcurrentPublications(t *testing.T) {
	is := is.New(t)
	l := &testLog{}
	l.add(publication(t, 0, "first"))
	l.add(publication(t, 1, "ada"))
	l.add(publication(t, 1, "ben"))
	l.add(publication(t, 1, "ada"))
	l.add(publication(t, 7, "far"))

	s := l.state()
	is.Equal(s.Version(), int64(2))
	_, ok := s.Agreement().Member("ada")
	is.True(ok)

	for nonce, want := range map[string]bool{"first": true, "ada": true, "ben": false, "far": false} {
		inForce, known := s.PublicationOutcome([]byte(nonce))
		is.True(known)
		is.Equal(inForce, want) // outcome of the nonce
	}

	_, known := s.PublicationOutcome([]byte("other"))
	is.True(!known)
}

// Guards against a new process that becomes ready without a state during an outage of the log, or that a peer with an
// older state sets back, and against a partly read log that is taken for the newest state.
func TestPeersDuringOutage(t *testing.T) {
	is := is.New(t)
	l := &testLog{}
	l.add(publication(t, 0, "one"))
	l.add(publication(t, 1, "two"))
	l.add(publication(t, 2, "three"))
	l.add(ledger.BindingRecord("m", "k", "t", nil))

	var older, newer, joining ledger.Replica

	older.ApplyLog(l.records[:2], 2)
	newer.ApplyLog(l.records, 4)

	joining.BeginLoad()
	joining.ApplyLog(l.records[:1], 1)
	is.True(!joining.State().Ready())
	is.True(joining.RecordsSince(0) == nil)

	fromOlder, fromNewer := older.RecordsSince(0), newer.RecordsSince(0)
	is.NoErr(joining.ApplyPeerRecords(fromNewer))
	is.True(joining.State().Ready())
	is.Equal(joining.State().Version(), int64(3))
	is.Equal(joining.State().Position(), int64(4))

	_, bound := joining.State().Binding("m", "k")
	is.True(!bound)

	snapshotOnly := &wire.Records{}
	snapshotOnly.SetSnapshot(ledger.SnapshotRecord(older.State()))
	snapshotOnly.SetSnapshotPosition(older.State().Position())
	snapshotOnly.SetThrough(older.State().Position())

	for _, m := range []*wire.Records{fromOlder, snapshotOnly} {
		is.NoErr(joining.ApplyPeerRecords(m))
		is.Equal(joining.State().Version(), int64(3))
		is.Equal(joining.State().Position(), int64(4))
	}

	is.True(older.RecordsSince(joining.State().Position()) == nil)

	// Once the log answers again, the bindings that peers do not send are read, and nothing is applied twice.
	joining.ApplyLog(l.records[1:], 4)

	_, bound = joining.State().Binding("m", "k")
	is.True(bound)
	is.Equal(ledger.SnapshotRecord(joining.State()), ledger.SnapshotRecord(newer.State()))

	// Records that start above the receiver's position are rejected.
	var empty ledger.Replica

	is.True(empty.ApplyPeerRecords(newer.RecordsSince(2)) != nil)
	is.Equal(empty.State().Position(), int64(0))
}

// Guards against asking the wrong workers when a home is lost. A worker was registered at a position if the offset of
// its registration is below the position and the offset of its departure is not. Once a departed worker was removed
// after DepartedRetention, the workers are unknown for positions up to the offset of its departure.
func TestWorkersAt(t *testing.T) {
	is := is.New(t)
	l := &testLog{}
	l.add(ledger.WorkerJoinedRecord(worker("a", 1)))
	l.add(ledger.WorkerJoinedRecord(worker("b", 1)))
	l.add(ledger.WorkerLeftRecord("a", 1, true))
	l.add(ledger.WorkerJoinedRecord(worker("b", 2)))
	l.add(ledger.WorkerJoinedRecord(worker("a", 1)))
	l.add(ledger.WorkerJoinedRecord(worker("b", 1)))

	s := l.state()
	at := func(position int64) string {
		all, ok := s.WorkersAt(position)
		if !ok {
			return "unknown"
		}

		text := ""
		for _, w := range all {
			text += fmt.Sprintf("%s%d ", w.Name(), w.Incarnation())
		}

		return text
	}

	for position, want := range []string{"", "a1 ", "a1 b1 ", "b1 ", "b2 ", "b2 ", "b2 ", "unknown"} {
		is.Equal(at(int64(position)), want)
	}

	offset, registered := s.Registered("b", 2)
	is.True(registered)
	is.Equal(offset, int64(3))

	// A repeated record of an incarnation that left does not register it again.
	_, registered = s.Registered("a", 1)
	is.True(!registered)
	is.True(s.Departed("a", 1))

	l.now = l.now.Add(ledger.DepartedRetention)
	l.add(ledger.WorkerJoinedRecord(worker("c", 1)))
	s = l.state()
	is.Equal(at(3), "unknown")
	is.Equal(at(4), "b2 ")
	is.Equal(at(7), "b2 c1 ")
}

// Guards against a reader that fails or stops at a record written by another version of the program.
func TestUndecodableRecords(t *testing.T) {
	is := is.New(t)
	l := &testLog{}
	l.add([]byte("not a record"))
	l.add(nil)
	l.add(ledger.PublicationRecord(0, nil, "operator", &agreement.Agreement{}))
	l.add(ledger.WorkerJoinedRecord(worker("w", 0)))
	l.add(publication(t, 0, "one"))

	s := l.state()
	// The third record has an agreement without a name, which Parse rejects.
	is.Equal(s.SkippedRecords(), int64(4))
	is.Equal(s.Version(), int64(1))
	is.Equal(s.Position(), int64(5))

	// A receiver with a newer version of the program may know the type of a record that this reader skips.
	var replica ledger.Replica

	replica.ApplyLog(l.records, l.end())
	is.Equal(len(replica.RecordsSince(0).GetRecords()), 5)
}

// Guards against two tickets for one key, against bindings that are lost when layers are merged, and against bindings
// that count as complete after a gap.
func TestBindings(t *testing.T) {
	is := is.New(t)
	l := &testLog{}
	s := &ledger.State{}

	const keys = 300

	for i := range keys {
		l.add(ledger.BindingRecord("m", fmt.Sprint(i), "winner", []byte{1}))
		l.add(ledger.BindingRecord("m", fmt.Sprint(i), "loser", []byte{2}))
		l.add(ledger.BindingRecord("other", fmt.Sprint(i), "loser", []byte{3}))
		// The page boundary alternates between keys, and the second page repeats records of the first.
		s = s.Apply(l.records[3*i : 3*i+1+i%2]...).Apply(l.records[3*i:]...)
	}

	for i := range keys {
		ticket, bound := s.Binding("m", fmt.Sprint(i))
		is.True(bound)
		is.Equal(ticket, "winner")
	}

	since, ok := s.BindingsCompleteSince()
	is.True(ok)
	is.True(since.IsZero())

	// After BindingRetention a key can be bound again, and expired bindings are removed from memory.
	l.now = l.now.Add(ledger.BindingRetention + time.Second)
	for i := range keys {
		l.add(ledger.BindingRecord("m", fmt.Sprint(i), "later", nil))
	}

	s = s.Apply(l.records[3*keys:]...)
	ticket, _ := s.Binding("m", "0")
	is.Equal(ticket, "later")
	_, bound := s.Binding("other", "0")
	is.True(!bound)
	is.Equal(s.BindingCount(), keys)

	lateReader := (&ledger.State{}).Apply(l.records[3*keys:]...)
	since, ok = lateReader.BindingsCompleteSince()
	is.True(ok)
	is.True(since.Equal(l.records[3*keys].Time()))

	_, ok = (&ledger.State{}).BindingsCompleteSince()
	is.True(!ok)
}

// Guards against resubmissions that are sent to an entry which has itself left, and against an endless loop if
// successors form a cycle.
func TestSuccessor(t *testing.T) {
	is := is.New(t)
	l := &testLog{}
	l.add(ledger.EntryJoinedRecord(entry("a", 1)))
	l.add(ledger.EntryJoinedRecord(entry("b", 2)))
	l.add(ledger.EntryLeftRecord(entry("a", 1), entry("b", 2), false))
	l.add(ledger.EntryLeftRecord(entry("b", 2), entry("c", 3), false))

	e, ok := l.state().Successor(1)
	is.True(ok)
	is.Equal(e.Name(), "c")
	is.Equal(len(l.state().Entries()), 0)

	l.add(ledger.EntryLeftRecord(entry("c", 3), entry("a", 1), false))
	_, ok = l.state().Successor(1)
	is.True(ok)
	_, ok = l.state().Successor(9)
	is.True(!ok)
}

// Guards against a receiver that is further behind than the kept records and receives records with a gap instead of a
// snapshot.
func TestSinceFallsBackToSnapshot(t *testing.T) {
	is := is.New(t)
	l := &testLog{}

	var b ledger.Replica

	for i := range 5000 {
		l.add(ledger.WorkerJoinedRecord(worker(fmt.Sprint(i%50), uint64(i+1))))
	}

	b.ApplyLog(l.records, l.end())
	is.True(len(b.RecordsSince(0).GetSnapshot()) > 0)
	is.Equal(len(b.RecordsSince(4990).GetRecords()), 10)
	is.True(b.RecordsSince(5000) == nil)

	for _, position := range []int64{0, 1000} {
		var receiver ledger.Replica

		receiver.ApplyLog(l.records[:position], position)
		is.NoErr(receiver.ApplyPeerRecords(b.RecordsSince(position)))
		is.Equal(ledger.SnapshotRecord(receiver.State()), ledger.SnapshotRecord(b.State()))
	}
}

// Guards against a ConfigChanged that is closed for every batch of bindings, after which shares are computed again
// without need, and against one that misses a change of the agreement, workers or entries.
func TestConfigChanged(t *testing.T) {
	is := is.New(t)

	var b ledger.Replica

	closed := func(c <-chan struct{}) bool {
		select {
		case <-c:
			return true
		default:
			return false
		}
	}
	binding := ledger.BindingRecord("m", "k", "t", nil)

	for i, c := range []struct {
		data []byte
		want bool
	}{
		{publication(t, 0, "one"), true}, {binding, false},
		{ledger.WorkerJoinedRecord(worker("w", 1)), true}, {binding, false},
		{publication(t, 0, "void"), false}, {ledger.EntryJoinedRecord(entry("e", 1)), true},
		{ledger.WorkerLeftRecord("w", 1, false), true},
	} {
		changed, amended := b.Changed(), b.ConfigChanged()
		b.ApplyLog([]ledger.Record{ledger.NewRecord(int64(i), epoch, c.data)}, int64(i+1))
		is.True(closed(changed))
		is.Equal(closed(amended), c.want)
	}
}

// Guards against data races between readers and writers, and against a reader that sees the position decrease or misses
// a change.
func TestConcurrentReaders(t *testing.T) {
	l := &testLog{}
	for i := range 400 {
		l.add(ledger.WorkerJoinedRecord(worker(fmt.Sprint(i%20), uint64(i+1))))
	}

	var (
		b     ledger.Replica
		group sync.WaitGroup
	)

	for range 4 {
		r := &replicaReader{replica: &b, end: l.end(), t: t}

		group.Go(r.run)
	}

	for i := range l.records {
		w := b.Watch(l.records[i].Data())
		b.ApplyLog(l.records[i:i+1], int64(i+1))
		<-w.Done()
		w.Stop()
	}

	group.Wait()
}

type replicaReader struct {
	replica *ledger.Replica
	end     int64
	t       *testing.T
}

func (r *replicaReader) run() {
	var local ledger.Replica

	for last := int64(0); last < r.end; {
		changed := r.replica.Changed()

		s := r.replica.State()
		if s.Position() < last {
			r.t.Errorf("position went from %d to %d", last, s.Position())
		}

		if last = s.Position(); last == r.end {
			break
		}

		if m := r.replica.RecordsSince(local.State().Position()); m != nil {
			if err := local.ApplyPeerRecords(m); err != nil {
				r.t.Error(err)
			}
		}

		<-changed
	}
}
