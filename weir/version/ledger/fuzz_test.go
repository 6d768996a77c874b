package ledger_test

import (
	"bytes"
	"testing"

	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
	"github.com/skylarkweir/skylarkweir/weir/version/ledger"
)

// Guards against a record of the log that crashes every reader, or that yields a state whose snapshot does not read
// back as the same state.
func FuzzDecode(f *testing.F) {
	j := &testLog{}
	j.add(publication(f, 0, "one"))
	j.add(ledger.WorkerJoinedRecord(worker("w", 1)))
	j.add(ledger.WorkerLeftRecord("w", 1, false))
	j.add(ledger.EntryJoinedRecord(entry("e", 1)))
	j.add(ledger.EntryLeftRecord(entry("e", 1), entry("f", 2), false))
	j.add(ledger.BindingRecord("m", "k", "t", []byte("n")))
	j.add(ledger.SnapshotRecord(j.state()))

	for _, r := range j.records {
		f.Add(r.Data())
	}

	f.Fuzz(func(t *testing.T, data []byte) {
		_, err := ledger.Decode(data)

		// The log starts behind what was dropped, so that a snapshot is adopted.
		first := ledger.NewRecord(1000, epoch, data)
		s := (&ledger.State{}).Apply(first)

		if err != nil && s.SkippedRecords() != 1 {
			t.Fatalf("record that does not decode was not counted")
		}

		m := &wire.Records{}
		m.SetSnapshot(ledger.SnapshotRecord(s))
		m.SetSnapshotPosition(s.Position())
		m.SetThrough(s.Position())

		var again ledger.Replica

		if err := again.ApplyPeerRecords(m); err != nil {
			t.Fatal(err)
		}

		if !bytes.Equal(ledger.SnapshotRecord(again.State()), ledger.SnapshotRecord(s)) {
			t.Fatalf("snapshot of position %d reads back as another state", s.Position())
		}
	})
}
