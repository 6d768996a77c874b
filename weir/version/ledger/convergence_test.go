package ledger_test

import (
	"bytes"
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/skylarkweir/skylarkweir/weir/version/ledger"
)

const seed = "20261204"

// fixSeed makes rapid run the same cases each time unless the command line sets another seed.
func fixSeed(t *testing.T) {
	t.Helper()

	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		if err := f.Value.Set(seed); err != nil {
			t.Fatal(err)
		}
	}

	t.Logf("rapid seed %s", flag.Lookup("rapid.seed").Value)
}

// Guards against readers of the same log that disagree. Whatever record they start at, in whatever pages they read, and
// whichever peers send them records, the shared states at one position are equal, no state moves back, and each state
// is the one that a reader of the whole log has at that position.
func TestConvergence(t *testing.T) {
	fixSeed(t)
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)

		var a, b ledger.Replica

		b.BeginLoad()

		for i, replica := range []*ledger.Replica{&a, &b} {
			other := []*ledger.Replica{&b, &a}[i]
			m.readLog(t, replica, other)
		}

		m.exchange(t, &a, &b)
		m.exchange(t, &b, &a)

		if a.State().Complete() && b.State().Complete() && a.State().Position() != b.State().Position() {
			t.Fatalf("complete readers ended at %d and %d", a.State().Position(), b.State().Position())
		}
	})
}

// logModel is a log and the states that a reader of the whole log has at each position.
type logModel struct {
	testLog
	// snapshots holds the encoded state for each position.
	snapshots [][]byte
	// snapshotPositions holds the position of the snapshot at each offset, or -1 if another record is there.
	snapshotPositions []int64
	// version is the expected version, counted independently of the ledger.
	version int64
	// evacuated are the expected evacuated failure domains, counted independently of the ledger.
	evacuated map[string]bool
}

func newModel(t *rapid.T) *logModel {
	m := &logModel{evacuated: map[string]bool{}}
	s := &ledger.State{}
	prefixes := []*ledger.State{s}
	m.snapshots = append(m.snapshots, ledger.SnapshotRecord(s))

	for range rapid.IntRange(1, 60).Draw(t, "records") {
		m.now = m.now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "minutes")) * time.Minute)
		position := int64(-1)

		if rapid.IntRange(0, 5).Draw(t, "snapshot") == 0 {
			// A lagging process may append the state of any earlier position.
			old := prefixes[rapid.IntRange(0, len(prefixes)-1).Draw(t, "of")]
			position = old.Position()
			m.add(ledger.SnapshotRecord(old))
		} else {
			m.add(m.drawRecord(t))
		}

		m.snapshotPositions = append(m.snapshotPositions, position)
		s = s.Apply(m.records[len(m.records)-1])
		prefixes = append(prefixes, s)
		m.snapshots = append(m.snapshots, ledger.SnapshotRecord(s))

		for _, d := range s.Evacuations().Domains() {
			if !m.evacuated[d] {
				t.Fatalf("%s is evacuated at position %d, want %v", d, s.Position(), m.evacuated)
			}
		}

		if s.Evacuations().Len() != len(m.evacuated) {
			t.Fatalf("evacuated at position %d: %v, want %v", s.Position(), s.Evacuations().Domains(), m.evacuated)
		}

		if s.Version() != m.version {
			t.Fatalf("version %d at position %d, want %d", s.Version(), s.Position(), m.version)
		}
	}

	return m
}

func (m *logModel) drawRecord(t *rapid.T) []byte {
	i := len(m.records)
	name := fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "name"))
	incarnation := uint64(rapid.IntRange(1, 3).Draw(t, "incarnation"))

	switch rapid.IntRange(0, 7).Draw(t, "type") {
	case 0:
		return ledger.WorkerJoinedRecord(worker(name, incarnation))
	case 1:
		return ledger.WorkerLeftRecord(name, incarnation, true)
	case 2:
		return ledger.EntryJoinedRecord(entry(name, incarnation))
	case 3:
		return ledger.EntryLeftRecord(entry(name, incarnation), entry(name, incarnation+1), false)
	case 4:
		return ledger.BindingRecord("m", name, fmt.Sprint(i), nil)
	case 5:
		return []byte("not a record")
	case 6:
		ended := rapid.Bool().Draw(t, "ended")
		if m.evacuated[name] = true; ended {
			delete(m.evacuated, name)
		}

		return ledger.EvacuationRecord(name, ended, []byte{byte(i)}, "operator")
	default:
		base := max(0, m.version+int64(rapid.IntRange(-1, 1).Draw(t, "base")))
		if base == m.version {
			m.version++
		}

		return publication(t, base, fmt.Sprintf("m%d", i))
	}
}

// readLog reads the log from a drawn offset on and receives records of another reader in between.
func (m *logModel) readLog(t *rapid.T, replica, other *ledger.Replica) {
	first := rapid.IntRange(0, len(m.records)).Draw(t, "first")

	for i := first; i < len(m.records); {
		end := min(len(m.records), i+rapid.IntRange(1, 20).Draw(t, "page"))
		m.checkStep(t, replica, func() { replica.ApplyLog(m.records[i:end], int64(end)) })
		i = end

		if rapid.Bool().Draw(t, "peer") {
			m.exchange(t, other, replica)
		}
	}

	if first == len(m.records) {
		m.checkStep(t, replica, func() { replica.ApplyLog(nil, m.end()) })
	}

	m.checkStep(t, replica, replica.EndLoad)

	// A snapshot is usable if the log still holds all records from its position on.
	usable := first == 0
	for o := first; o < len(m.records); o++ {
		usable = usable || m.snapshotPositions[o] >= int64(first)
	}

	if usable && !replica.State().Complete() {
		t.Fatalf("the log from %d on holds a usable snapshot, but the state is not complete", first)
	}
}

func (m *logModel) exchange(t *rapid.T, from, to *ledger.Replica) {
	if r := from.RecordsSince(to.State().Position()); r != nil {
		m.checkStep(t, to, func() {
			if err := to.ApplyPeerRecords(r); err != nil {
				t.Fatal(err)
			}
		})
	}
}

func (m *logModel) checkStep(t *rapid.T, b *ledger.Replica, change func()) {
	before := b.State()

	change()

	after := b.State()
	if after.Position() < before.Position() || after.Version() < before.Version() {
		t.Fatalf("state moved back from position %d to %d", before.Position(), after.Position())
	}

	if after.Evacuations().Position() < before.Evacuations().Position() {
		t.Fatalf("evacuations moved back from position %d", before.Evacuations().Position())
	}

	if got := ledger.SnapshotRecord(after); !bytes.Equal(got, m.snapshots[after.Position()]) {
		t.Fatalf("state at position %d differs from that of a reader of the whole log", after.Position())
	}
}
