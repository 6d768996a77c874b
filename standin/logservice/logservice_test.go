package logservice_test

import (
	"context"
	"fmt"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/skylarkweir/skylarkweir/weir/connection/logservice"
	"github.com/skylarkweir/skylarkweir/weir/request/fault"
	"github.com/skylarkweir/skylarkweir/weir/version/ledger"
)

// Guards against a stand-in that deviates from the API of the log service, and against a client that misreads it.
func TestContract(t *testing.T) {
	is := is.New(t)
	fx := newFixture(t)
	c := logservice.NewClient(fx.server.URL)
	ctx := t.Context()

	first, err := c.Append(ctx, []byte("a"), []byte("b"))
	is.NoErr(err)
	is.Equal(first, int64(0))

	p, err := c.Read(ctx, 0, 0, 1)
	is.NoErr(err)
	is.Equal(p.Next(), int64(1))
	is.Equal(string(p.Records()[0].Data()), "a")

	pages := make(chan logservice.Page, 1)

	go func() {
		p, _ := c.Read(ctx, 2, 5*time.Second, 10)
		pages <- p
	}()

	time.Sleep(50 * time.Millisecond)

	began := time.Now()
	_, err = c.Append(ctx, []byte("c"))
	is.NoErr(err)
	is.Equal((<-pages).Next(), int64(3))
	is.True(time.Since(began) < time.Second) // a long poll ends when the record is appended

	fx.post("/admin/trim", `{"keep":1}`)

	_, err = c.Read(ctx, 0, 0, 10)
	is.True(err != nil)
	is.Equal(fx.logStatus().First, int64(2))

	_, err = c.Append(ctx)
	is.True(logservice.IsRefused(err))

	fx.post("/admin/trim", `{"max_age_ms":0}`)
	is.Equal(fx.logStatus().First, int64(3))
}

// Guards against a record that is appended twice or reported as failed because the answer to its append was lost.
func TestLostAnswers(t *testing.T) {
	is := is.New(t)
	fx := newFixture(t)
	p := fx.startProcess(0)

	fx.setFaults(`{"lose_answers":true}`)

	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()

	for _, err := range p.appendAll(
		ctx, publication(t, 0, "a"), workerJoinedRecord(1), ledger.BindingRecord("m", "k", "t", []byte("n")),
	) {
		is.NoErr(err)
	}

	s := fx.logStatus()
	is.True(s.Lost > 0)
	is.Equal(s.Types, map[string]int64{"publication": 1, "worker_joined": 1, "binding": 1})

	inForce, known := p.replica.State().PublicationOutcome([]byte("a"))
	is.True(inForce && known)
}

// Guards against two operators whose publications are both reported as in force, or both as not in force, while the log
// loses its answers or applies slow appends after the publisher has timed out.
func TestConcurrentPublishers(t *testing.T) {
	const delay = 1200 * time.Millisecond

	for name, faults := range map[string]string{
		"lost": `{"lose_answers":true}`, "slow": fmt.Sprintf(`{"delay_ms":%d}`, delay.Milliseconds()), "none": `{}`,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			fx := newFixture(t)
			processes := []*process{fx.startProcess(0), fx.startProcess(0)}

			fx.setFaults(faults)

			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			defer cancel()

			var group sync.WaitGroup

			published := make([]bool, len(processes))

			for i, p := range processes {
				group.Go(func() {
					nonce := strconv.Itoa(i)
					if err := p.appender.Append(ctx, publication(t, 0, nonce)); err != nil {
						t.Error(err)
					}

					inForce, known := p.replica.State().PublicationOutcome([]byte(nonce))
					published[i] = inForce && known
				})
			}

			group.Wait()
			is.True(published[0] != published[1]) // exactly one is in force
			is.Equal(processes[0].replica.State().Version(), int64(1))

			// An append is repeated only after the log has been read past it. A second append would take effect after the
			// delay.
			time.Sleep(delay + 100*time.Millisecond)
			is.Equal(fx.logStatus().Types["publication"], int64(2))
		})
	}
}

// Guards against callers that wait beyond their deadline while the log is down, a process that reports such a log as
// healthy, and a record that is never appended after the outage.
func TestOutage(t *testing.T) {
	for name, faults := range map[string]string{"down": `{"down":true}`, "silent": `{"silent":true}`} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			fx := newFixture(t)
			p := fx.startProcess(0)

			is.NoErr(p.appender.Append(t.Context(), publication(t, 0, "a")))
			is.True(p.follower.Healthy())

			fx.setFaults(faults)

			ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
			defer cancel()

			// On a busy machine the deadline itself is noticed late.
			noticed := make(chan time.Time, 1)
			context.AfterFunc(ctx, func() { noticed <- time.Now() })

			err := p.appender.Append(ctx, workerJoinedRecord(1))
			returned := time.Now()
			is.Equal(fault.KindOf(err), fault.LogUnavailable)
			is.True(!logservice.IsRefused(err))
			is.True(returned.Sub(<-noticed) < 500*time.Millisecond)

			for deadline := time.Now().Add(5 * time.Second); p.follower.Healthy(); {
				is.True(time.Now().Before(deadline)) // the follower notices within 4 s
				time.Sleep(10 * time.Millisecond)
			}

			is.True(p.replica.State().Ready()) // the version stays in force

			// A record whose caller still waits is appended once after the outage.
			done := make(chan []error, 1)
			wait, stop := context.WithTimeout(t.Context(), 9*time.Second)

			defer stop()

			go func() { done <- p.appendAll(wait, workerJoinedRecord(2), workerJoinedRecord(3)) }()

			time.Sleep(time.Second)
			// The follower and the probes of the appender wait between calls, from 50 ms up to 2 s.
			is.True(fx.logStatus().Refused < 50)
			fx.setFaults(`{}`)

			for _, err := range <-done {
				is.NoErr(err)
			}

			is.True(p.follower.Healthy())
			is.Equal(fx.logStatus().Types["worker_joined"], int64(2))
		})
	}
}

// Guards against a refusal that is reported as an unknown outcome, and against an unknown outcome that is reported as a
// refusal.
func TestRejectedAppends(t *testing.T) {
	is := is.New(t)
	fx := newFixture(t)
	p := fx.startProcess(0)

	fx.setFaults(`{"reject_appends":true}`)

	err := p.appender.Append(t.Context(), workerJoinedRecord(1))
	is.True(logservice.IsRefused(err))
	is.Equal(fault.KindOf(err), fault.LogUnavailable)
	is.Equal(fx.logStatus().Next, int64(0))

	// A refusal that follows a lost answer says nothing about the first append.
	fx.setFaults(`{"down":true}`)

	failed := make(chan error, 1)

	go func() { failed <- p.appender.Append(t.Context(), workerJoinedRecord(2)) }()

	for fx.logStatus().RefusedAppends == 0 {
		time.Sleep(time.Millisecond)
	}

	fx.setFaults(`{"reject_appends":true}`)
	is.True(!logservice.IsRefused(<-failed))
}

// Guards against a flood of bindings that exceeds the budget of 20 appends/s.
func TestAppendBudget(t *testing.T) {
	is := is.New(t)
	fx := newFixture(t)
	p := fx.startProcess(0)

	const count = 2000

	records := make([][]byte, 0, count)
	for i := range count {
		records = append(records, ledger.BindingRecord("m", strconv.Itoa(i), "t", nil))
	}

	began := time.Now()

	for _, err := range p.appendAll(t.Context(), records...) {
		is.NoErr(err)
	}

	budget := int64(time.Since(began).Seconds()*logservice.DefaultAppendRate) + 1
	s := fx.logStatus()
	is.Equal(s.Types["binding"], int64(count))
	is.True(s.Appends <= budget)
	t.Logf("%d appends for %d bindings in %s", s.Appends, count, time.Since(began))
}

// Guards against a new process that becomes ready from a truncated log without a snapshot of what was dropped, and
// against a log that is truncated before any process has appended a snapshot.
func TestSnapshotsSurviveTruncation(t *testing.T) {
	is := is.New(t)
	fx := newFixture(t)
	// No process appends a snapshot in time, so the state before the retained records is missing from the log.
	oldProcess := fx.startProcess(time.Hour)
	is.NoErr(oldProcess.appender.Append(t.Context(), publication(t, 0, "a")))
	is.NoErr(oldProcess.appender.Append(t.Context(), publication(t, 1, "b")))
	fx.post("/admin/trim", `{"keep":1}`)

	newProcess := fx.startProcess(time.Hour)
	newProcess.await(t, "reads to the end", func(s *ledger.State) bool { return s.LogPosition() == 2 })
	time.Sleep(50 * time.Millisecond)
	is.True(!newProcess.replica.State().Ready())
	is.Equal(newProcess.replica.State().Version(), int64(0))

	// A process that has the missing records from a peer, and a short retention, appends a snapshot soon.
	snapshotter := fx.startProcess(400 * time.Millisecond)
	is.NoErr(snapshotter.replica.ApplyPeerRecords(oldProcess.replica.RecordsSince(0)))
	newProcess.await(t, "ready by the snapshot", func(s *ledger.State) bool { return s.Ready() && s.Version() == 2 })
	is.True(fx.logStatus().Types["snapshot"] >= 1)

	time.Sleep(time.Second)

	// A snapshot is due every 75 to 100 ms, and a read may take pollWait. More than 20 would be a loop of snapshots.
	n := fx.logStatus().Types["snapshot"]
	is.True(n <= 20)
	t.Logf("%d snapshots", n)
}

// Guards against a new process that uses an old version while it reads the log.
func TestNoOldVersionWhileLoading(t *testing.T) {
	is := is.New(t)
	fx := newFixture(t)
	c := logservice.NewClient(fx.server.URL)

	const versions = 2500

	records := make([][]byte, 0, versions)
	for i := range versions {
		records = append(records, publication(t, int64(i), fmt.Sprint(i)))
	}

	_, err := c.Append(t.Context(), records...)
	is.NoErr(err)
	fx.setFaults(`{"delay_ms":50}`)

	p := fx.startProcess(0)
	p.await(t, "ready", func(s *ledger.State) bool {
		if s.Ready() && s.Version() < versions {
			t.Errorf("ready with version %d", s.Version())
		}

		return s.Ready()
	})
}
