package ledger_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/skylarkweir/skylarkweir/weir/version/agreement"
	"github.com/skylarkweir/skylarkweir/weir/version/ledger"
)

// Numbers of workers and members that the design must support within two years.
const (
	benchWorkers = 690
	benchMembers = 190
)

func benchAgreement(b *testing.B) *agreement.Agreement {
	b.Helper()

	names := make([]string, 0, benchMembers)
	for i := range benchMembers {
		names = append(names, fmt.Sprintf("member-%03d", i))
	}

	a, err := agreement.Parse([]byte(agreementText(names...)))
	if err != nil {
		b.Fatal(err)
	}

	return a
}

func benchWorkerRecord(i int, incarnation uint64) []byte {
	w := worker(fmt.Sprintf("worker-%04d", i), incarnation)
	w.SetFailureDomain(fmt.Sprintf("domain-%d", i%6))
	w.SetRack(fmt.Sprintf("rack-%03d", i/3))
	w.SetMemoryMb(256 << 10)
	w.SetServices([]string{"blade-fit", "stock"})

	return ledger.WorkerJoinedRecord(w)
}

func benchLog(b *testing.B) *testLog {
	b.Helper()

	l := &testLog{}
	l.add(ledger.PublicationRecord(0, []byte("nonce"), "operator", benchAgreement(b)))

	for i := range benchWorkers {
		l.add(benchWorkerRecord(i, 1<<60+uint64(i)))
	}

	return l
}

// BenchmarkReplicaState measures reads of the state. A process may spend at most 1.5 % of a core and 256 MB on control.
func BenchmarkReplicaState(b *testing.B) {
	var replica ledger.Replica

	l := benchLog(b)
	replica.ApplyLog(l.records, l.end())
	b.ReportAllocs()
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			if replica.State().Version() != 1 {
				b.Error("no version")
			}
		}
	})
}

func BenchmarkApply(b *testing.B) {
	l := benchLog(b)
	fullState := l.state()
	a := benchAgreement(b)

	for name, data := range map[string][]byte{
		"worker":      benchWorkerRecord(1, 7),
		"binding":     ledger.BindingRecord("member-001", "0190b6e2-0000-7000-8000-000000000000", "ticket", []byte("nonce")),
		"publication": ledger.PublicationRecord(1, []byte("other"), "operator", a),
		"snapshot":    ledger.SnapshotRecord(fullState),
	} {
		r := ledger.NewRecord(fullState.LogPosition(), l.now, data)

		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()

			for b.Loop() {
				fullState.Apply(r)
			}
		})
	}

	b.Run("whole", func(b *testing.B) {
		b.ReportAllocs()

		for b.Loop() {
			l.state()
		}
	})
}

// BenchmarkBindings applies batches of bindings to a state that holds 100,000, as an entry does at a high rate of new
// idempotency keys.
func BenchmarkBindings(b *testing.B) {
	const heldBindings, batchSize = 100_000, 100

	l := &testLog{}

	before := heap()

	var replica ledger.Replica

	add := func() {
		first := len(l.records)
		for range batchSize {
			key := fmt.Sprintf("0190b6e2-0000-7000-8000-%012d", len(l.records))
			l.add(ledger.BindingRecord("member-001", key, fmt.Sprintf("%0200d", len(l.records)), []byte("nonce-of-16-byte")))
		}

		replica.ApplyLog(l.records[first:], l.end())
	}

	for len(l.records) < heldBindings {
		add()
		clear(l.records)
	}

	size := heap() - before

	b.ReportAllocs()

	for b.Loop() {
		add()
	}

	b.ReportMetric(float64(size)/heldBindings, "heap-B/binding")
}

// BenchmarkSize reports the size of a snapshot and of an agreement, and the heap of a replica with its recent records.
func BenchmarkSize(b *testing.B) {
	l := benchLog(b)
	before := heap()

	var replica ledger.Replica

	replica.ApplyLog(l.records, l.end())
	after := heap()

	for b.Loop() {
		_ = ledger.SnapshotRecord(replica.State())
	}

	b.ReportMetric(float64(len(ledger.SnapshotRecord(replica.State()))), "snapshot-B")
	b.ReportMetric(float64(len(benchAgreement(b).Marshal())), "agreement-B")
	b.ReportMetric(float64(after-before), "heap-B")
	runtime.KeepAlive(l)
}

func heap() int64 {
	var m runtime.MemStats

	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)

	return int64(m.HeapAlloc)
}
