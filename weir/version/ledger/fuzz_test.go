package ledger_test

import (
	"bytes"
	"testing"

	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
	"github.com/skylarkweir/skylarkweir/weir/version/ledger"
)

// Guards against a record of the log that crashes every reader, or that leads to a state whose snapshot decodes to
// another state.
func FuzzDecode(f *testing.F) {
	l := &testLog{}
	l.add(publication(f, 0, "one"))
	l.add(ledger.WorkerJoinedRecord(worker("w", 1)))
	l.add(ledger.WorkerLeftRecord("w", 1, false))
	l.add(ledger.EntryJoinedRecord(entry("e", 1)))
	l.add(ledger.EntryLeftRecord(entry("e", 1), entry("f", 2), false))
	l.add(ledger.BindingRecord("m", "k", "t", []byte("n")))
	l.add(ledger.SnapshotRecord(l.state()))

	for _, r := range l.records {
		f.Add(r.Data())
	}

	f.Fuzz(func(t *testing.T, data []byte) {
		_, err := ledger.Decode(data)

		// The log starts after dropped records, so that the state of a snapshot is used.
		first := ledger.NewRecord(1000, epoch, data)
		s := (&ledger.State{}).Apply(first)

		if err != nil && s.SkippedRecords() != 1 {
			t.Fatalf("a record that does not decode was not counted as skipped")
		}

		m := &wire.Records{}
		m.SetSnapshot(ledger.SnapshotRecord(s))
		m.SetSnapshotPosition(s.Position())
		m.SetThrough(s.Position())

		var restored ledger.Replica

		if err := restored.ApplyPeerRecords(m); err != nil {
			t.Fatal(err)
		}

		if !bytes.Equal(ledger.SnapshotRecord(restored.State()), ledger.SnapshotRecord(s)) {
			t.Fatalf("snapshot of position %d decodes to another state", s.Position())
		}
	})
}
