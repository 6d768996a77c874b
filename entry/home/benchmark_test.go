package home_test

import (
	"fmt"
	"io"
	"runtime"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/skylarkweir/skylarkweir/entry/home"
	"github.com/skylarkweir/skylarkweir/weir/request/submission"
)

func workerNames(n int) (names []string) {
	for i := range n {
		names = append(names, fmt.Sprintf("w%02d", i))
	}

	return names
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)

	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkSubmitToAnswer measures requests at their home from submission to answer, with sidecars that answer at once.
// It includes the encoding of log lines, which are discarded, and the creation of the ticket by the test.
func BenchmarkSubmitToAnswer(b *testing.B) {
	for _, workers := range []int{12, 64} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			is := is.New(b)
			f := newFixture(b, workerNames(workers)...)
			f.table.Configure(f.fleet, f, zerolog.New(io.Discard))
			f.table.SetLimits(0, b.N+1, 0)
			f.discardStarts = true

			go f.sendHeartbeats(b.Context())

			cpuBefore := cpuTime()

			b.ResetTimer()
			b.SetParallelism(32)
			b.RunParallel(func(p *testing.PB) {
				for p.Next() {
					h, err := f.table.Submit(f.submission(1, options{form: submission.NewRequest(false)}))
					is.NoErr(err)
					<-h.Done()
					h.RecordDelivery()
				}
			})
			b.ReportMetric(float64(cpuTime()-cpuBefore)/float64(time.Microsecond)/float64(b.N), "cpu-us/op")
		})
	}
}

// BenchmarkSaturated measures the cost of waiting tasks: tasks of two kinds at a full fleet.
func BenchmarkSaturated(b *testing.B) {
	is := is.New(b)
	f := newFixture(b, workerNames(64)...)
	f.table.SetLimits(0, b.N+1, 0)
	f.discardStarts = true

	go f.sendHeartbeats(b.Context())

	var handles []*home.Handle

	cpuBefore := cpuTime()

	b.ResetTimer()

	for n := range b.N {
		h, err := f.table.Submit(f.submission(1, options{kind: []string{"scan", "quote"}[n%2], deadline: time.Minute}))
		is.NoErr(err)

		if handles = append(handles, h); len(handles) > 5000 {
			<-handles[0].Done()
			handles = handles[1:]
		}
	}

	for _, h := range handles {
		<-h.Done()
	}

	b.ReportMetric(float64(cpuTime()-cpuBefore)/float64(time.Microsecond)/float64(b.N), "cpu-us/op")
}

// BenchmarkHeldMemory measures the memory of an ended submission with a small answer, including its ticket.
func BenchmarkHeldMemory(b *testing.B) {
	const count = 50000

	is := is.New(b)

	for range b.N {
		f := newFixture(b, workerNames(12)...)
		f.discardStarts = true

		go f.sendHeartbeats(b.Context())

		var before, after runtime.MemStats

		runtime.GC()
		runtime.ReadMemStats(&before)

		for range count {
			h, err := f.table.Submit(f.submission(1, options{}))
			is.NoErr(err)
			<-h.Done()
		}

		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/count, "B/held")
		is.Equal(f.table.Count(), count)
	}
}

// BenchmarkLogLine measures the cost of the log line of a decision, and of a disabled logger.
func BenchmarkLogLine(b *testing.B) {
	for name, l := range map[string]zerolog.Logger{
		"line": zerolog.New(io.Discard).With().Timestamp().Logger(),
		"none": zerolog.Nop(),
	} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()

			for b.Loop() {
				l.Info().Int("candidates", 2).Str("against", "worker-02").Str("submission", "AAECAwQFBgcICQoLDA0ODw").
					Str("member", "mill").Str("kind", "scan").Int("task", 17).Int("attempt", 0).
					Str("choice", "worker-01").Str("reason", "less_loaded").Msg("task_placed")
			}
		})
	}
}
