package process_test

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/skylarkweir/skylarkweir/sidecar/process"
	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
	"github.com/skylarkweir/skylarkweir/weir/version/ledger"
)

// Guards against three faults when the connection to the entry breaks: a running task is interrupted, a repeated start
// runs the task a second time, or a task that was queued at the break starts afterwards.
func TestBrokenConnectionKeepsTask(t *testing.T) {
	t.Parallel()

	f := newFixture(t)
	is := f.is
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()

	reply, err := f.entry.sendStart(ctx, f.entry.newStart("short", `{"run_ms":5,"echo":"yes"}`))
	is.NoErr(err)
	is.Equal(string(reply.GetCompleted().GetOutput()), "yes")

	for _, id := range []string{"long", "other"} {
		go func() { _, _ = f.entry.sendStart(ctx, f.entry.newStart(id, `{"run_ms":700,"echo":"first"}`)) }()
	}

	f.waitFor("two tasks run", func() bool { return f.counts().Running == 2 })

	go func() { _, _ = f.entry.sendStart(ctx, f.entry.newStart("queued", "")) }()

	f.waitFor("one task is queued", f.hasQueuedTask)

	broken := f.entry.link()
	broken.connection.Close("broken by the test")
	f.waitFor("the sidecar has reconnected", func() bool {
		return f.entry.link() != broken && f.entry.link().epoch.Load() > 0
	})

	reply, err = f.entry.sendStart(ctx, f.entry.newStart("long", `{"run_ms":700,"echo":"second"}`))
	is.NoErr(err)
	is.Equal(string(reply.GetCompleted().GetOutput()), "first")
	f.waitFor("the other task has ended", func() bool { return f.counts().Running == 0 })
	is.Equal(f.counts(), backendCounts{Started: 3, Completed: 3})

	metrics := f.get(f.admin, "/metrics")
	for _, line := range []string{
		"tasks_started_total 3", "tasks_repeated_total 1",
		`tasks_rejected_total{reason="lease_lapsed"} 1`, "entries_connected 1",
	} {
		is.True(strings.Contains(metrics, "\nweir_sidecar_"+line+"\n"))
	}
}

// Guards against execution of starts that were sent under a lease that has since lapsed, such as starts that were
// buffered while the process was paused.
func TestLapsedLeaseRejectsStarts(t *testing.T) {
	t.Parallel()

	f := newFixture(t)
	is := f.is
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()

	link, lapsed := f.entry.link(), f.entry.newStart("late", `{"echo":"x"}`)

	f.entry.withholdAcks.Store(true)
	f.waitFor("a heartbeat carries the next epoch", func() bool { return link.epoch.Load() > lapsed.GetLeaseEpoch() })
	is.Equal(f.entry.link(), link) // the lease lapses before the connection times out

	reply, err := f.entry.sendStart(ctx, lapsed)
	is.NoErr(err)
	is.Equal(reply.GetRejected().GetReason(), wire.Rejection_REJECTION_LEASE_LAPSED)

	f.entry.withholdAcks.Store(false)
	f.waitFor("a start of the new epoch runs", func() bool {
		reply, err := f.entry.sendStart(ctx, f.entry.newStart("late", `{"echo":"x"}`))
		return err == nil && reply.HasCompleted()
	})
	is.Equal(f.counts().Started, 1)
}

// Guards against starts that run late after the process was paused by SIGSTOP for longer than a lease: one that arrived
// during the pause, and one that was queued before it and would get a slot after it. Also guards against an exit code
// other than 0 after SIGTERM.
func TestPausedProcessStartsNothingLate(t *testing.T) {
	t.Parallel()

	f, sidecar := newFixtureWithProcess(t)
	is := f.is
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()

	replies := map[string]chan *wire.StartReply{}
	send := func(id string) {
		replies[id] = make(chan *wire.StartReply, 1)

		go func() {
			reply, _ := f.entry.sendStart(ctx, f.entry.newStart(id, `{"run_ms":1000,"echo":"done"}`))
			replies[id] <- reply
		}()
	}

	send("a")
	send("b")
	f.waitFor("two tasks run", func() bool { return f.counts().Running == 2 })
	send("queued")
	f.waitFor("one task is queued", f.hasQueuedTask)

	is.NoErr(sidecar.Process.Signal(syscall.SIGSTOP))
	time.Sleep(time.Second)
	send("buffered")
	time.Sleep(3 * time.Second)
	is.NoErr(sidecar.Process.Signal(syscall.SIGCONT))

	for id, want := range map[string]wire.Rejection{
		"a": 0, "b": 0,
		"queued": wire.Rejection_REJECTION_LEASE_LAPSED, "buffered": wire.Rejection_REJECTION_LEASE_LAPSED,
	} {
		is.Equal((<-replies[id]).GetRejected().GetReason(), want)
	}

	is.Equal(f.counts(), backendCounts{Started: 2, Completed: 2})

	is.NoErr(sidecar.Process.Signal(syscall.SIGTERM))
	is.NoErr(sidecar.Wait())
}

// Guards against a graceful shutdown that interrupts running tasks, accepts new ones, or leaves queued ones unanswered.
func TestGracefulShutdown(t *testing.T) {
	t.Parallel()

	f := newFixture(t)
	is := f.is
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()

	replies := make(chan *wire.StartReply, 3)
	for _, id := range []string{"a", "b", "c"} {
		go func() {
			reply, _ := f.entry.sendStart(ctx, f.entry.newStart(id, `{"run_ms":800,"echo":"done"}`))
			replies <- reply
		}()
	}

	f.waitFor("two tasks run", func() bool { return f.counts().Running == 2 })
	f.waitFor("one task is queued", func() bool {
		return strings.Contains(f.get(f.admin, "/v1/status"), `"queued_slots":1,"room"`)
	})

	stopped := make(chan error, 1)
	go func() { stopped <- f.app.Stop(ctx) }()

	queued := <-replies
	is.Equal(queued.GetRejected().GetReason(), wire.Rejection_REJECTION_LEAVING)

	reply, err := f.entry.sendStart(ctx, f.entry.newStart("d", `{}`))
	is.NoErr(err)
	is.Equal(reply.GetRejected().GetReason(), wire.Rejection_REJECTION_LEAVING)

	for range 2 {
		is.Equal(string((<-replies).GetCompleted().GetOutput()), "done")
	}

	is.NoErr(<-stopped)

	f.entry.mu.Lock()
	defer f.entry.mu.Unlock()
	is.True(f.entry.leaving)
}

// Guards against a sidecar that continues under the same incarnation after it was declared lost, and against a close
// that does not report the tasks that the old incarnation started.
func TestDeclaredLost(t *testing.T) {
	t.Parallel()

	f := newFixture(t)
	is := f.is
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()

	first := f.entry.link()
	oldStart := f.entry.newStart("old", `{"echo":"x"}`)
	_, err := f.entry.sendStart(ctx, oldStart)
	is.NoErr(err)

	f.entry.append(ledger.WorkerLeftRecord("w", first.worker.GetIncarnation(), true))
	f.waitFor("a new incarnation is registered", func() bool {
		return f.entry.link() != first && f.entry.link().registered.Load()
	})
	is.True(f.entry.link().worker.GetIncarnation() != first.worker.GetIncarnation())

	closed, err := f.entry.closeSubmission(ctx, "old")
	is.NoErr(err)
	is.Equal(len(closed.GetClosed()[0].GetStarted()), 1)

	lateStart := f.entry.newStart("late", `{}`)
	lateStart.SetIncarnation(first.worker.GetIncarnation())
	reply, err := f.entry.sendStart(ctx, lateStart)
	is.NoErr(err)
	is.Equal(reply.GetRejected().GetReason(), wire.Rejection_REJECTION_WRONG_INCARNATION)

	// A ticket issued before the registration belongs to a set of workers that does not include this incarnation.
	earlyStart := f.entry.newStart("early", `{}`)
	earlyStart.SetPosition(oldStart.GetPosition())
	reply, err = f.entry.sendStart(ctx, earlyStart)
	is.NoErr(err)
	is.Equal(reply.GetRejected().GetReason(), wire.Rejection_REJECTION_NOT_REGISTERED)
	is.Equal(f.counts().Started, 1)
}

// Guards against two connections to one entry that the settings name by two addresses: each new connection replaces the
// other, so both links would reconnect forever.
func TestEntryWithTwoAddresses(t *testing.T) {
	t.Parallel()

	f := newFixtureWithoutSidecar(t)
	is := f.is

	text, err := os.ReadFile(f.settings)
	is.NoErr(err)

	address := f.entry.node.Address().String()
	both := strings.Replace(
		string(text), `["`+address, `["`+address+`","`+strings.Replace(address, "127.0.0.1", "localhost", 1), 1,
	)
	is.NoErr(os.WriteFile(f.settings, []byte(both), 0o600))
	f.startInProcess(t)

	// The first two connections may replace each other once. Then the link that finds the entry connected stops
	// dialing.
	time.Sleep(2 * time.Second)

	link := f.entry.link()

	time.Sleep(5 * time.Second) // longer than the longest reconnect back-off
	is.Equal(f.entry.link(), link)
	is.True(strings.Contains(f.get(f.admin, "/metrics"), "\nweir_sidecar_entries_connected 1\n"))
}

// Guards against exit codes and messages that differ from the documented ones, on which scripts rely.
func TestExitCodes(t *testing.T) {
	is := is.New(t)
	bad := filepath.Join(t.TempDir(), "bad.jsonc")
	is.NoErr(os.WriteFile(bad, []byte(`{"name":"w"}`), 0o600))

	for _, c := range []struct {
		arguments []string
		code      int
		text      string
	}{
		{[]string{"--help"}, 0, "--settings /etc"},
		{[]string{"--version"}, 0, "sidecar"},
		{[]string{}, 2, "--settings is required"},
		{[]string{"--unknown"}, 2, "unknown"},
		{[]string{"--settings", bad, "--check-settings"}, 2, "entries"},
		{[]string{"--settings", bad + ".none"}, 2, "no such file"},
	} {
		var out bytes.Buffer
		is.Equal(process.Main(c.arguments, &out, &out), c.code)
		is.True(strings.Contains(out.String(), c.text))
	}
}

// BenchmarkStart measures the round trip of a start from the fake entry over QUIC to the stand-in backend server and
// back, all in one process, for one and two concurrent starts. The task has no run time.
func BenchmarkStart(b *testing.B) {
	for _, parallel := range []int{1, 2} {
		b.Run(fmt.Sprintf("parallel=%d", parallel), func(b *testing.B) {
			f := newFixture(b)

			var (
				group    sync.WaitGroup
				sequence atomic.Int64
			)

			b.ResetTimer()

			for range parallel {
				group.Go(func() {
					for n := sequence.Add(1); n <= int64(b.N); n = sequence.Add(1) {
						reply, err := f.entry.sendStart(b.Context(), f.entry.newStart(fmt.Sprint("s", n), `{"echo":"x"}`))
						if err != nil || !reply.HasCompleted() {
							b.Error(reply, err)
						}
					}
				})
			}

			group.Wait()
			b.StopTimer()
		})
	}
}
