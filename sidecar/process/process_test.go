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

// Guards against a task that runs again when its start is repeated, against one that is cut off by a connection that
// breaks in mid task, and against a queued one that starts after its connection broke.
func TestBrokenConnectionKeepsTask(t *testing.T) {
	t.Parallel()

	b := newBench(t)
	is := b.is
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()

	reply, err := b.entry.send(ctx, b.entry.start("short", `{"run_ms":5,"echo":"yes"}`))
	is.NoErr(err)
	is.Equal(string(reply.GetCompleted().GetOutput()), "yes")

	for _, id := range []string{"long", "other"} {
		go func() { _, _ = b.entry.send(ctx, b.entry.start(id, `{"run_ms":700,"echo":"first"}`)) }()
	}

	b.await("two tasks run", func() bool { return b.counts().Running == 2 })

	go func() { _, _ = b.entry.send(ctx, b.entry.start("queued", "")) }()

	b.await("one task is queued", b.queued)

	broken := b.entry.link()
	broken.connection.Close("broken by the test")
	b.await("the sidecar has reconnected", func() bool { return b.entry.link() != broken && b.entry.link().epoch.Load() > 0 })

	reply, err = b.entry.send(ctx, b.entry.start("long", `{"run_ms":700,"echo":"second"}`))
	is.NoErr(err)
	is.Equal(string(reply.GetCompleted().GetOutput()), "first")
	b.await("the other task has ended", func() bool { return b.counts().Running == 0 })
	is.Equal(b.counts(), backendCounts{Started: 3, Completed: 3})

	metrics := b.get(b.admin, "/metrics")
	for _, line := range []string{"tasks_started_total 3", "tasks_repeated_total 1", `tasks_rejected_total{reason="lease_lapsed"} 1`, "entries_connected 1"} {
		is.True(strings.Contains(metrics, "\nweir_sidecar_"+line+"\n"))
	}
}

// Guards against starts that were sent under a lease that has lapsed since, such as those buffered during a pause.
func TestLapsedLeaseRejectsStarts(t *testing.T) {
	t.Parallel()

	b := newBench(t)
	is := b.is
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()

	link, old := b.entry.link(), b.entry.start("late", `{"echo":"x"}`)

	b.entry.mute.Store(true)
	b.await("a heartbeat carries the next epoch", func() bool { return link.epoch.Load() > old.GetLeaseEpoch() })
	is.Equal(b.entry.link(), link) // the lease lapses before the connection is given up

	reply, err := b.entry.send(ctx, old)
	is.NoErr(err)
	is.Equal(reply.GetRejected().GetReason(), wire.Rejection_REJECTION_LEASE_LAPSED)

	b.entry.mute.Store(false)
	b.await("a start of the new epoch runs", func() bool {
		reply, err := b.entry.send(ctx, b.entry.start("late", `{"echo":"x"}`))
		return err == nil && reply.HasCompleted()
	})
	is.Equal(b.counts().Started, 1)
}

// Guards against starts that run late after the process was stopped for longer than a lease: one that arrived during the
// stop, and one that was queued before it and gets a slot after it. Also guards against an exit code other than 0.
func TestStoppedProcessStartsNothingLate(t *testing.T) {
	t.Parallel()

	b, sidecar := newProcessBench(t)
	is := b.is
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()

	replies := map[string]chan *wire.StartReply{}
	send := func(id string) {
		replies[id] = make(chan *wire.StartReply, 1)

		go func() {
			reply, _ := b.entry.send(ctx, b.entry.start(id, `{"run_ms":1000,"echo":"done"}`))
			replies[id] <- reply
		}()
	}

	send("a")
	send("b")
	b.await("two tasks run", func() bool { return b.counts().Running == 2 })
	send("queued")
	b.await("one task is queued", b.queued)

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

	is.Equal(b.counts(), backendCounts{Started: 2, Completed: 2})

	is.NoErr(sidecar.Process.Signal(syscall.SIGTERM))
	is.NoErr(sidecar.Wait())
}

// Guards against a shutdown that interrupts a running task, takes new ones, or leaves queued ones without an answer.
func TestGracefulShutdown(t *testing.T) {
	t.Parallel()

	b := newBench(t)
	is := b.is
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()

	replies := make(chan *wire.StartReply, 3)
	for _, id := range []string{"a", "b", "c"} {
		go func() {
			reply, _ := b.entry.send(ctx, b.entry.start(id, `{"run_ms":800,"echo":"done"}`))
			replies <- reply
		}()
	}

	b.await("two tasks run", func() bool { return b.counts().Running == 2 })
	b.await("one task is queued", func() bool {
		return strings.Contains(b.get(b.admin, "/v1/status"), `"queued_slots":1,"room"`)
	})

	stopped := make(chan error, 1)
	go func() { stopped <- b.app.Stop(ctx) }()

	queued := <-replies
	is.Equal(queued.GetRejected().GetReason(), wire.Rejection_REJECTION_LEAVING)

	reply, err := b.entry.send(ctx, b.entry.start("d", `{}`))
	is.NoErr(err)
	is.Equal(reply.GetRejected().GetReason(), wire.Rejection_REJECTION_LEAVING)

	for range 2 {
		is.Equal(string((<-replies).GetCompleted().GetOutput()), "done")
	}

	is.NoErr(<-stopped)

	b.entry.mu.Lock()
	defer b.entry.mu.Unlock()
	is.True(b.entry.leaving)
}

// Guards against a sidecar that was declared lost and goes on under the same incarnation, and against a close that
// forgets the tasks of the older one.
func TestDeclaredLost(t *testing.T) {
	t.Parallel()

	b := newBench(t)
	is := b.is
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()

	first := b.entry.link()
	old := b.entry.start("old", `{"echo":"x"}`)
	_, err := b.entry.send(ctx, old)
	is.NoErr(err)

	b.entry.append(ledger.WorkerLeftRecord("w", first.worker.GetIncarnation(), true))
	b.await("a new incarnation is registered", func() bool { return b.entry.link() != first && b.entry.link().registered.Load() })
	is.True(b.entry.link().worker.GetIncarnation() != first.worker.GetIncarnation())

	closed, err := b.entry.close(ctx, "old")
	is.NoErr(err)
	is.Equal(len(closed.GetClosed()[0].GetStarted()), 1)

	late := b.entry.start("late", `{}`)
	late.SetIncarnation(first.worker.GetIncarnation())
	reply, err := b.entry.send(ctx, late)
	is.NoErr(err)
	is.Equal(reply.GetRejected().GetReason(), wire.Rejection_REJECTION_WRONG_INCARNATION)

	// A ticket from before the registration belongs to a set of workers without this incarnation.
	early := b.entry.start("early", `{}`)
	early.SetPosition(old.GetPosition())
	reply, err = b.entry.send(ctx, early)
	is.NoErr(err)
	is.Equal(reply.GetRejected().GetReason(), wire.Rejection_REJECTION_NOT_REGISTERED)
	is.Equal(b.counts().Started, 1)
}

// Guards against two connections to an entry that is named by two addresses, which would end each other in turn.
func TestEntryWithTwoAddresses(t *testing.T) {
	t.Parallel()

	b := newSurroundings(t)
	is := b.is

	text, err := os.ReadFile(b.settings)
	is.NoErr(err)

	address := b.entry.node.Address().String()
	both := strings.Replace(string(text), `["`+address, `["`+address+`","`+strings.Replace(address, "127.0.0.1", "localhost", 1), 1)
	is.NoErr(os.WriteFile(b.settings, []byte(both), 0o600))
	b.startHere(t)

	// The first attempts may end each other once; the link that finds the entry connected dials it no more.
	time.Sleep(2 * time.Second)

	link := b.entry.link()

	time.Sleep(5 * time.Second) // longer than the longest back-off
	is.Equal(b.entry.link(), link)
	is.True(strings.Contains(b.get(b.admin, "/metrics"), "\nweir_sidecar_entries_connected 1\n"))
}

// Guards against exit codes that scripts cannot rely on.
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

// BenchmarkStart measures a start without run time from the fake entry over QUIC to the stand-in backend server and
// back, all in one process, by the number of starts under way.
func BenchmarkStart(b *testing.B) {
	for _, parallel := range []int{1, 2} {
		b.Run(fmt.Sprintf("parallel=%d", parallel), func(b *testing.B) {
			x := newBench(b)

			var (
				group    sync.WaitGroup
				sequence atomic.Int64
			)

			b.ResetTimer()

			for range parallel {
				group.Go(func() {
					for n := sequence.Add(1); n <= int64(b.N); n = sequence.Add(1) {
						reply, err := x.entry.send(b.Context(), x.entry.start(fmt.Sprint("s", n), `{"echo":"x"}`))
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
