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

// journal is a log under construction.
type testLog struct {
	records []ledger.Record
	now     time.Time
}

func (j *testLog) add(data []byte) {
	if j.now.IsZero() {
		j.now = epoch
	}

	j.now = j.now.Add(time.Millisecond)
	j.records = append(j.records, ledger.NewRecord(int64(len(j.records)), j.now, data))
}

func (j *testLog) state() *ledger.State { return (&ledger.State{}).Apply(j.records...) }

func (j *testLog) end() int64 { return int64(len(j.records)) }

// failer is a test or a property check.
type testingT interface {
	Helper()
	Fatal(args ...any)
}

// named returns an agreement with one member, whose name tells versions apart.
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

// Guards against two operators who publish on the same base both being told that their version is in force, and
// against a record that was appended twice after a lost answer taking effect twice or being reported as void.
func TestConcurrentPublications(t *testing.T) {
	is := is.New(t)
	j := &testLog{}
	j.add(publication(t, 0, "first"))
	j.add(publication(t, 1, "ada"))
	j.add(publication(t, 1, "ben"))
	j.add(publication(t, 1, "ada"))
	j.add(publication(t, 7, "far"))

	s := j.state()
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

// Guards against a fresh reader that takes a publication as valid although it does not know its base.
func TestTruncatedLog(t *testing.T) {
	is := is.New(t)
	j := &testLog{}
	j.add(publication(t, 0, "one"))
	old := j.state()
	j.add(publication(t, 1, "two"))
	j.add(ledger.WorkerJoinedRecord(worker("w", 1)))
	snapshot := j.state()
	j.add(publication(t, 2, "three"))
	j.add(ledger.SnapshotRecord(old))
	tooOld := j.end()
	j.add(ledger.SnapshotRecord(snapshot))
	j.add(publication(t, 3, "four"))

	for first := 1; first < int(tooOld); first++ {
		var b ledger.Replica

		b.ApplyLog(j.records[first:tooOld], tooOld)
		// The old snapshot has position 1; it serves only a log that still holds offset 1.
		is.Equal(b.State().Ready(), first == 1)
		is.Equal(b.RecordsSince(0) != nil, first == 1) // an incomplete state is not passed on

		if first > 1 {
			is.True(b.State().Version() <= 1)
		}

		b.ApplyLog(j.records[tooOld:], j.end())

		// The newer snapshot has position 3.
		is.Equal(b.State().Ready(), first <= 3)

		if first <= 3 {
			is.Equal(b.State().Version(), int64(4))
			is.Equal(b.State().Position(), j.end())
			is.Equal(len(b.State().Workers()), 1)
		}
	}

	// A log from which everything was dropped tells nothing.
	var b ledger.Replica

	b.ApplyLog(nil, 5)
	is.True(!b.State().Complete())
	is.Equal(b.State().Position(), int64(0))
	is.Equal(b.State().LogPosition(), int64(5))
}

// Guards against a process that stays in use with an old version after it missed records for longer than the log keeps
// them.
func TestGapInRunningProcess(t *testing.T) {
	is := is.New(t)
	j := &testLog{}
	j.add(publication(t, 0, "one"))
	j.add(publication(t, 1, "two"))
	j.add(publication(t, 2, "three"))

	var b ledger.Replica

	b.ApplyLog(j.records[:1], 1)
	is.True(b.State().Ready())
	b.ApplyLog(j.records[2:], 3)
	is.True(!b.State().Ready())
	is.Equal(b.State().Version(), int64(1))

	var peer ledger.Replica

	peer.ApplyLog(j.records[:2], 2)
	is.NoErr(b.ApplyPeerRecords(peer.RecordsSince(b.State().Position())))
	// The peer closed the gap, so the publication that was kept applies.
	is.True(b.State().Ready())
	is.Equal(b.State().Version(), int64(3))
}

// Guards against a truncated log without snapshots that fills the memory of its readers, and against a gap that counts
// as closed although kept records were dropped.
func TestPendingRecordsAreBounded(t *testing.T) {
	is := is.New(t)

	const count = 40 // of 1 MB each, of which 32 MB are kept

	j := &testLog{}
	j.add(publication(t, 0, "one"))

	for i := range count {
		w := worker(fmt.Sprint(i), 1)
		w.SetRack(strings.Repeat("r", 1<<20))
		j.add(ledger.WorkerJoinedRecord(w))
	}

	for covered, want := range map[int]bool{1: false, count: true} {
		var b ledger.Replica

		b.ApplyLog(j.records[1:], j.end())

		snapshot := ledger.SnapshotRecord((&ledger.State{}).Apply(j.records[:covered]...))
		b.ApplyLog([]ledger.Record{ledger.NewRecord(j.end(), j.now, snapshot)}, j.end()+1)
		is.Equal(b.State().Ready(), want)
	}
}

// Guards against a lagging process that sets others back by appending a snapshot of its old state.
func TestOutdatedSnapshotIgnored(t *testing.T) {
	is := is.New(t)
	j := &testLog{}
	j.add(publication(t, 0, "one"))
	lagging := j.state()
	j.add(publication(t, 1, "two"))
	j.add(ledger.WorkerJoinedRecord(worker("w", 1)))
	newer := j.state()
	j.add(ledger.SnapshotRecord(newer))
	j.add(ledger.SnapshotRecord(lagging))

	is.Equal(j.state().Version(), int64(2))

	var fresh ledger.Replica

	fresh.ApplyLog(j.records[1:], j.end())
	is.True(fresh.State().Ready())
	is.Equal(fresh.State().Version(), int64(2))
	is.Equal(len(fresh.State().Workers()), 1)

	// A snapshot cannot cover its own offset or later ones.
	ahead := &testLog{}
	ahead.add(ledger.SnapshotRecord(newer))
	is.Equal(ahead.state().Version(), int64(0))
	is.Equal(ahead.state().SkippedRecords(), int64(1))
}

// Guards against a new process in a log outage that starts work without a state, or that is set back by a peer that is
// behind, and against a half-read log being taken for the newest state.
func TestPeersDuringOutage(t *testing.T) {
	is := is.New(t)
	j := &testLog{}
	j.add(publication(t, 0, "one"))
	j.add(publication(t, 1, "two"))
	j.add(publication(t, 2, "three"))
	j.add(ledger.BindingRecord("m", "k", "t", nil))

	var older, newer, fresh ledger.Replica

	older.ApplyLog(j.records[:2], 2)
	newer.ApplyLog(j.records, 4)

	fresh.BeginLoad()
	fresh.ApplyLog(j.records[:1], 1)
	is.True(!fresh.State().Ready())
	is.True(fresh.RecordsSince(0) == nil)

	fromOlder, fromNewer := older.RecordsSince(0), newer.RecordsSince(0)
	is.NoErr(fresh.ApplyPeerRecords(fromNewer))
	is.True(fresh.State().Ready())
	is.Equal(fresh.State().Version(), int64(3))
	is.Equal(fresh.State().Position(), int64(4))

	_, bound := fresh.State().Binding("m", "k")
	is.True(!bound)

	whole := &wire.Records{}
	whole.SetSnapshot(ledger.SnapshotRecord(older.State()))
	whole.SetSnapshotPosition(older.State().Position())
	whole.SetThrough(older.State().Position())

	for _, m := range []*wire.Records{fromOlder, whole} {
		is.NoErr(fresh.ApplyPeerRecords(m))
		is.Equal(fresh.State().Version(), int64(3))
		is.Equal(fresh.State().Position(), int64(4))
	}

	is.True(older.RecordsSince(fresh.State().Position()) == nil)

	// The log comes back: bindings that the peers left out are read, and nothing is applied twice.
	fresh.ApplyLog(j.records[1:], 4)

	_, bound = fresh.State().Binding("m", "k")
	is.True(bound)
	is.Equal(ledger.SnapshotRecord(fresh.State()), ledger.SnapshotRecord(newer.State()))

	// Records that follow a position which the receiver has not reached are refused.
	var empty ledger.Replica

	is.True(empty.ApplyPeerRecords(newer.RecordsSince(2)) != nil)
	is.Equal(empty.State().Position(), int64(0))
}

// Guards against a wrong set of workers being asked when a home is lost: the bounds of R <= P < L, and departed workers
// that were forgotten after their retention.
func TestWorkersAt(t *testing.T) {
	is := is.New(t)
	j := &testLog{}
	j.add(ledger.WorkerJoinedRecord(worker("a", 1)))
	j.add(ledger.WorkerJoinedRecord(worker("b", 1)))
	j.add(ledger.WorkerLeftRecord("a", 1, true))
	j.add(ledger.WorkerJoinedRecord(worker("b", 2)))
	j.add(ledger.WorkerJoinedRecord(worker("a", 1)))
	j.add(ledger.WorkerJoinedRecord(worker("b", 1)))

	s := j.state()
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

	// A repeated record of an incarnation that left does not bring it back.
	_, registered = s.Registered("a", 1)
	is.True(!registered)
	is.True(s.Departed("a", 1))

	j.now = j.now.Add(ledger.DepartedRetention)
	j.add(ledger.WorkerJoinedRecord(worker("c", 1)))
	s = j.state()
	is.Equal(at(3), "unknown")
	is.Equal(at(4), "b2 ")
	is.Equal(at(7), "b2 c1 ")
}

// Guards against an error or a stop at a record of another version of the program.
func TestUndecodableRecords(t *testing.T) {
	is := is.New(t)
	j := &testLog{}
	j.add([]byte("not a record"))
	j.add(nil)
	j.add(ledger.PublicationRecord(0, nil, "operator", &agreement.Agreement{}))
	j.add(ledger.WorkerJoinedRecord(worker("w", 0)))
	j.add(publication(t, 0, "one"))

	s := j.state()
	// The third one has an agreement without a name, which Parse rejects.
	is.Equal(s.SkippedRecords(), int64(4))
	is.Equal(s.Version(), int64(1))
	is.Equal(s.Position(), int64(5))

	// A receiver of a newer version may know the type of a record that this reader skips.
	var replica ledger.Replica

	replica.ApplyLog(j.records, j.end())
	is.Equal(len(replica.RecordsSince(0).GetRecords()), 5)
}

// Guards against two tickets for one key, lost bindings when layers merge, and bindings taken as complete after a gap.
func TestBindings(t *testing.T) {
	is := is.New(t)
	j := &testLog{}
	s := &ledger.State{}

	const keys = 300

	for i := range keys {
		j.add(ledger.BindingRecord("m", fmt.Sprint(i), "winner", []byte{1}))
		j.add(ledger.BindingRecord("m", fmt.Sprint(i), "loser", []byte{2}))
		j.add(ledger.BindingRecord("other", fmt.Sprint(i), "loser", []byte{3}))
		// The same key is read once in one page and once in two.
		s = s.Apply(j.records[3*i : 3*i+1+i%2]...).Apply(j.records[3*i:]...)
	}

	for i := range keys {
		ticket, bound := s.Binding("m", fmt.Sprint(i))
		is.True(bound)
		is.Equal(ticket, "winner")
	}

	since, ok := s.BindingsCompleteSince()
	is.True(ok)
	is.True(since.IsZero())

	// After the retention a key is free, and dropped bindings use no memory.
	j.now = j.now.Add(ledger.BindingRetention + time.Second)
	for i := range keys {
		j.add(ledger.BindingRecord("m", fmt.Sprint(i), "later", nil))
	}

	s = s.Apply(j.records[3*keys:]...)
	ticket, _ := s.Binding("m", "0")
	is.Equal(ticket, "later")
	_, bound := s.Binding("other", "0")
	is.True(!bound)
	is.Equal(s.BindingCount(), keys)

	late := (&ledger.State{}).Apply(j.records[3*keys:]...)
	since, ok = late.BindingsCompleteSince()
	is.True(ok)
	is.True(since.Equal(j.records[3*keys].Time()))

	_, ok = (&ledger.State{}).BindingsCompleteSince()
	is.True(!ok)
}

// Guards against resubmissions that are sent to an entry which has handed over itself, and against an endless chain.
func TestSuccessor(t *testing.T) {
	is := is.New(t)
	j := &testLog{}
	j.add(ledger.EntryJoinedRecord(entry("a", 1)))
	j.add(ledger.EntryJoinedRecord(entry("b", 2)))
	j.add(ledger.EntryLeftRecord(entry("a", 1), entry("b", 2), false))
	j.add(ledger.EntryLeftRecord(entry("b", 2), entry("c", 3), false))

	e, ok := j.state().Successor(1)
	is.True(ok)
	is.Equal(e.Name(), "c")
	is.Equal(len(j.state().Entries()), 0)

	j.add(ledger.EntryLeftRecord(entry("c", 3), entry("a", 1), false))
	_, ok = j.state().Successor(1)
	is.True(ok)
	_, ok = j.state().Successor(9)
	is.True(!ok)
}

// Guards against a receiver that is further behind than the kept records getting a gap in place of a snapshot.
func TestSinceFallsBackToSnapshot(t *testing.T) {
	is := is.New(t)
	j := &testLog{}

	var b ledger.Replica

	for i := range 5000 {
		j.add(ledger.WorkerJoinedRecord(worker(fmt.Sprint(i%50), uint64(i+1))))
	}

	b.ApplyLog(j.records, j.end())
	is.True(len(b.RecordsSince(0).GetSnapshot()) > 0)
	is.Equal(len(b.RecordsSince(4990).GetRecords()), 10)
	is.True(b.RecordsSince(5000) == nil)

	for _, position := range []int64{0, 1000} {
		var receiver ledger.Replica

		receiver.ApplyLog(j.records[:position], position)
		is.NoErr(receiver.ApplyPeerRecords(b.RecordsSince(position)))
		is.Equal(ledger.SnapshotRecord(receiver.State()), ledger.SnapshotRecord(b.State()))
	}
}

// Guards against shares that are computed again for each batch of bindings, and against a missed change of the workers.
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
		{publication(t, 0, "one"), true}, {binding, false}, {ledger.WorkerJoinedRecord(worker("w", 1)), true}, {binding, false},
		{publication(t, 0, "void"), false}, {ledger.EntryJoinedRecord(entry("e", 1)), true},
		{ledger.WorkerLeftRecord("w", 1, false), true},
	} {
		changed, amended := b.Changed(), b.ConfigChanged()
		b.ApplyLog([]ledger.Record{ledger.NewRecord(int64(i), epoch, c.data)}, int64(i+1))
		is.True(closed(changed))
		is.Equal(closed(amended), c.want)
	}
}

// Guards against data races between readers and writers, and against a reader that sees a lower position or misses a
// change.
func TestConcurrentReaders(t *testing.T) {
	j := &testLog{}
	for i := range 400 {
		j.add(ledger.WorkerJoinedRecord(worker(fmt.Sprint(i%20), uint64(i+1))))
	}

	var (
		b     ledger.Replica
		group sync.WaitGroup
	)

	for range 4 {
		r := &replicaReader{replica: &b, end: j.end(), t: t}

		group.Go(r.run)
	}

	for i := range j.records {
		w := b.Watch(j.records[i].Data())
		b.ApplyLog(j.records[i:i+1], int64(i+1))
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
	var own ledger.Replica

	for last := int64(0); last < r.end; {
		changed := r.replica.Changed()

		s := r.replica.State()
		if s.Position() < last {
			r.t.Errorf("position went from %d to %d", last, s.Position())
		}

		if last = s.Position(); last == r.end {
			break
		}

		if m := r.replica.RecordsSince(own.State().Position()); m != nil {
			if err := own.ApplyPeerRecords(m); err != nil {
				r.t.Error(err)
			}
		}

		<-changed
	}
}
