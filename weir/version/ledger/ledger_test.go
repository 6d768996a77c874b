package ledger_test

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
	"github.com/skylarkweir/skylarkweir/weir/version/agreement"
	"github.com/skylarkweir/skylarkweir/weir/version/ledger"
)

var epoch = time.UnixMilli(1_700_000_000_000)

// testLog builds the records of a log.
type testLog struct {
	records []ledger.Record
	now     time.Time
}

func (l *testLog) add(data []byte) {
	if l.now.IsZero() {
		l.now = epoch
	}

	l.now = l.now.Add(time.Millisecond)
	l.records = append(l.records, ledger.NewRecord(int64(len(l.records)), l.now, data))
}

func (l *testLog) state() *ledger.State { return (&ledger.State{}).Apply(l.records...) }

func (l *testLog) end() int64 { return int64(len(l.records)) }

// testingT is a *testing.T, *testing.F or *rapid.T.
type testingT interface {
	Helper()
	Fatal(args ...any)
}

// agreementWithMember returns an agreement with one member, whose name distinguishes versions.
func agreementWithMember(t testingT, member string) *agreement.Agreement {
	t.Helper()

	a, err := agreement.Parse([]byte(agreementText(member)))
	if err != nil {
		t.Fatal(err)
	}

	return a
}

func agreementText(members ...string) string {
	text := `{"agreement":"test","kinds":[],"members":[`

	for i, m := range members {
		if i > 0 {
			text += ","
		}

		digest := sha256.Sum256([]byte(m))
		text += fmt.Sprintf(`{"name":%q,"limit_percent":0.5,"credential_sha256":%q}`, m, hex.EncodeToString(digest[:]))
	}

	return text + `]}`
}

func worker(name string, incarnation uint64) *wire.Worker {
	w := &wire.Worker{}
	w.SetName(name)
	w.SetIncarnation(incarnation)
	w.SetSlots(64)

	return w
}

func entry(name string, incarnation uint64) *wire.Entry {
	e := &wire.Entry{}
	e.SetName(name)
	e.SetIncarnation(incarnation)
	e.SetAddress("127.0.0.1:1")

	return e
}

func publication(t testingT, base int64, member string) []byte {
	t.Helper()

	return ledger.PublicationRecord(base, []byte(member), "operator", agreementWithMember(t, member))
}

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
