package ledger_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/skylarkweir/skylarkweir/weir/version/agreement"
	"github.com/skylarkweir/skylarkweir/weir/version/ledger"
)

// The sizes of the design within two years.
const (
	benchWorkers = 690
	benchMembers = 190
)

func fullAgreement(b *testing.B) *agreement.Agreement {
	b.Helper()

	names := make([]string, 0, benchMembers)
	for i := range benchMembers {
		names = append(names, fmt.Sprintf("member-%03d", i))
	}

	a, err := agreement.Parse([]byte(collected(names...)))
	if err != nil {
		b.Fatal(err)
	}

	return a
}

func fullWorker(i int, incarnation uint64) []byte {
	w := worker(fmt.Sprintf("worker-%04d", i), incarnation)
	w.SetFailureDomain(fmt.Sprintf("domain-%d", i%6))
	w.SetRack(fmt.Sprintf("rack-%03d", i/3))
	w.SetMemoryMb(256 << 10)
	w.SetServices([]string{"blade-fit", "stock"})

	return ledger.WorkerJoinedRecord(w)
}

func fullJournal(b *testing.B) *journal {
	b.Helper()

	j := &journal{}
	j.add(ledger.PublicationRecord(0, []byte("nonce"), "operator", fullAgreement(b)))

	for i := range benchWorkers {
		j.add(fullWorker(i, 1<<60+uint64(i)))
	}

	return j
}

// Guards against a state whose cost keeps a process from its limits of 1.5 % of a core and 256 MB for control.
func BenchmarkReplicaState(b *testing.B) {
	var book ledger.Replica

	j := fullJournal(b)
	book.ApplyLog(j.records, j.end())
	b.ReportAllocs()
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			if book.State().Version() != 1 {
				b.Error("no version")
			}
		}
	})
}

func BenchmarkApply(b *testing.B) {
	j := fullJournal(b)
	full := j.state()
	a := fullAgreement(b)

	for name, data := range map[string][]byte{
		"worker":      fullWorker(1, 7),
		"binding":     ledger.BindingRecord("member-001", "0190b6e2-0000-7000-8000-000000000000", "ticket", []byte("nonce")),
		"publication": ledger.PublicationRecord(1, []byte("other"), "operator", a),
		"snapshot":    ledger.SnapshotRecord(full),
	} {
		r := ledger.NewRecord(full.LogPosition(), j.now, data)

		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()

			for b.Loop() {
				full.Apply(r)
			}
		})
	}

	b.Run("whole", func(b *testing.B) {
		b.ReportAllocs()

		for b.Loop() {
			j.state()
		}
	})
}

// BenchmarkBindings applies batches of bindings to a state that holds 100,000, as an entry does in a flood of keys.
func BenchmarkBindings(b *testing.B) {
	const held, batch = 100_000, 100

	j := &journal{}

	before := heap()

	var book ledger.Replica

	add := func() {
		first := len(j.records)
		for range batch {
			key := fmt.Sprintf("0190b6e2-0000-7000-8000-%012d", len(j.records))
			j.add(ledger.BindingRecord("member-001", key, fmt.Sprintf("%0200d", len(j.records)), []byte("nonce-of-16-byte")))
		}

		book.ApplyLog(j.records[first:], j.end())
	}

	for len(j.records) < held {
		add()
		clear(j.records)
	}

	size := heap() - before

	b.ReportAllocs()

	for b.Loop() {
		add()
	}

	b.ReportMetric(float64(size)/held, "heap-B/binding")
}

// BenchmarkSize reports the bytes of a snapshot, and of the memory of a book with the recent records.
func BenchmarkSize(b *testing.B) {
	j := fullJournal(b)
	before := heap()

	var book ledger.Replica

	book.ApplyLog(j.records, j.end())
	after := heap()

	for b.Loop() {
		_ = ledger.SnapshotRecord(book.State())
	}

	b.ReportMetric(float64(len(ledger.SnapshotRecord(book.State()))), "snapshot-B")
	b.ReportMetric(float64(len(fullAgreement(b).Marshal())), "agreement-B")
	b.ReportMetric(float64(after-before), "heap-B")
	runtime.KeepAlive(j)
}

func heap() int64 {
	var m runtime.MemStats

	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)

	return int64(m.HeapAlloc)
}
