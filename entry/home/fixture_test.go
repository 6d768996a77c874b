package home_test

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/skylarkweir/skylarkweir/entry/home"
	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
	"github.com/skylarkweir/skylarkweir/weir/process/fleet"
	"github.com/skylarkweir/skylarkweir/weir/request/submission"
	"github.com/skylarkweir/skylarkweir/weir/request/ticket"
	"github.com/skylarkweir/skylarkweir/weir/version/agreement"
	"github.com/skylarkweir/skylarkweir/weir/version/ledger"
)

const agreementText = `{"agreement":"test","members":[
 {"name":"mill","limit_percent":100,"credential_sha256":"` + hash1 + `"},
 {"name":"shop","limit_slots":2,"credential_sha256":"` + hash2 + `"}],
 "kinds":[{"name":"scan","service":"grain","share_percent":40,"urgent":false,"max_cores":8},
 {"name":"quote","service":"mix","share_percent":40,"urgent":true,"max_cores":4}]}`

const (
	hash1 = "0000000000000000000000000000000000000000000000000000000000000001"
	hash2 = "0000000000000000000000000000000000000000000000000000000000000002"
)

// fixture is a table with a fleet and fake sidecars, without a network.
type fixture struct {
	table   *home.Table
	fleet   *fleet.Fleet
	replica *ledger.Replica
	workers map[string]*fleet.Worker

	mu     sync.Mutex
	starts []*wire.Start
	// discardStarts is set by benchmarks, so that the recorded starts do not count towards memory and time.
	discardStarts bool
	closeMessages map[string]int
	// start returns the outcome of a start; by default, the task completes and returns its input.
	start func(ctx context.Context, w *fleet.Worker, s *wire.Start) (*wire.StartReply, bool, error)
	// close returns the tasks that a worker reports as started; by default none.
	close func(worker string, submission string) ([]*wire.TaskId, error)

	ticketSequence atomic.Uint64
	reportSequence atomic.Uint64
}

func newFixture(tb testing.TB, names ...string) *fixture {
	tb.Helper()

	f := &fixture{
		table: &home.Table{}, fleet: &fleet.Fleet{}, replica: &ledger.Replica{},
		workers: map[string]*fleet.Worker{}, closeMessages: map[string]int{},
		start: func(_ context.Context, _ *fleet.Worker, s *wire.Start) (*wire.StartReply, bool, error) {
			return completed(s, s.GetInput()), true, nil
		},
	}

	a, err := agreement.Parse([]byte(agreementText))
	if err != nil {
		tb.Fatal(err)
	}

	records := []ledger.Record{ledger.NewRecord(0, time.Now(), ledger.PublicationRecord(0, []byte("n"), "op", a))}
	for i, n := range names {
		records = append(records, ledger.NewRecord(int64(i+1), time.Now(), ledger.WorkerJoinedRecord(descriptor(n, 1))))
	}

	f.replica.ApplyLog(records, int64(len(records)))
	f.table.Configure(f.fleet, f, zerolog.Nop())

	for _, n := range names {
		f.connect(n)
	}

	f.table.Follow(tb.Context(), f.replica)

	go f.table.Run(tb.Context())

	return f
}

func descriptor(name string, incarnation uint64) *wire.Worker {
	return wire.Worker_builder{
		Name: name, Incarnation: incarnation, Slots: 8, MemoryMb: 1024, FailureDomain: "d-" + name,
	}.Build()
}

func (f *fixture) connect(name string) {
	w := f.fleet.Connect(descriptor(name, 1), time.Now())
	f.workers[name] = w
}

// reportLoad applies a load report of an idle worker to the fleet.
func (f *fixture) reportLoad(name string) {
	f.fleet.Report(f.workers[name], wire.Load_builder{Sequence: f.reportSequence.Add(1), Slots: 8}.Build(), time.Now())
}

// sendHeartbeats applies load reports of all workers until ctx ends.
func (f *fixture) sendHeartbeats(ctx context.Context) {
	for ctx.Err() == nil {
		for n := range f.workers {
			f.reportLoad(n)
		}

		time.Sleep(10 * time.Millisecond)
	}
}

func (f *fixture) Start(ctx context.Context, w *fleet.Worker, s *wire.Start) (*wire.StartReply, bool, error) {
	f.mu.Lock()
	if !f.discardStarts {
		f.starts = append(f.starts, s)
	}

	start := f.start
	f.mu.Unlock()

	return start(ctx, w, s)
}

func (f *fixture) Close(
	_ context.Context, worker string, incarnation uint64, ids []string, _ bool,
) (*wire.CloseReply, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closeMessages[worker]++

	r := wire.CloseReply_builder{Incarnation: incarnation}.Build()

	var closed []*wire.Closed

	for _, id := range ids {
		c := wire.Closed_builder{Submission: id}.Build()

		if f.close != nil {
			started, err := f.close(worker, id)
			if err != nil {
				return nil, err
			}

			c.SetStarted(started)
		}

		closed = append(closed, c)
	}

	r.SetClosed(closed)

	return r, nil
}

func (f *fixture) sentStarts() []*wire.Start {
	f.mu.Lock()
	defer f.mu.Unlock()

	return append([]*wire.Start{}, f.starts...)
}

type options struct {
	kind     string
	form     submission.Form
	cores    int
	memory   int
	position int64
	deadline time.Duration
	lifetime time.Duration
	member   string
}

// submission returns a submission of n tasks with the inputs "0", "1" and so on.
func (f *fixture) submission(n int, o options) submission.Submission {
	now := time.Now()
	if o.kind == "" {
		o.kind = "scan"
	}

	if o.member == "" {
		o.member = "mill"
	}

	if o.position == 0 {
		o.position = f.replica.State().Position()
	}

	if o.deadline == 0 {
		o.deadline = 10 * time.Second
	}

	if o.lifetime == 0 {
		o.lifetime = 5 * time.Minute
	}

	q := f.ticketSequence.Add(1)
	t := ticket.New(netip.MustParseAddrPort("127.0.0.1:1"), 7, q, o.member, o.position, now.Add(o.lifetime))
	inputs := make([][]byte, n)

	for i := range inputs {
		inputs[i] = fmt.Append(nil, i)
	}

	return submission.New(
		ticket.Key("key").Sign(t), t, o.kind, o.form, inputs, max(o.cores, 1), o.memory, now.Add(o.deadline))
}

func completed(s *wire.Start, output []byte) *wire.StartReply {
	c := wire.Completed_builder{Output: output}.Build()

	d := sha256.Sum256(output)
	c.SetDigest(d[:])
	c.SetRunUs(1000)

	return wire.StartReply_builder{Id: s.GetId(), Completed: c}.Build()
}

func failed(s *wire.Start, code string) *wire.StartReply {
	return wire.StartReply_builder{Id: s.GetId(), Failed: wire.Failed_builder{
		Code: code, Message: "injected by the test",
	}.Build()}.Build()
}

func rejected(s *wire.Start, reason wire.Rejection) *wire.StartReply {
	return wire.StartReply_builder{Id: s.GetId(), Rejected: wire.Rejected_builder{Reason: reason}.Build()}.Build()
}

// result is an answer decoded by a caller.
type result struct {
	Submission string
	State      string
	Length     int
	Digest     string
	Results    []struct {
		Index  int
		Output []byte
	}
	Error  struct{ Code, Ran, Message string }
	status int
}

func awaitResult(is *is.I, h *home.Handle) (r result) {
	is.Helper()

	select {
	case <-h.Done():
	case <-time.After(20 * time.Second):
		is.Fail() // no answer within 20 s
	}

	status, body := h.Answer()
	is.NoErr(json.Unmarshal(body, &r))
	r.status = status

	return r
}

// waitUntil waits at most 10 s for a condition that depends on other goroutines.
func waitUntil(is *is.I, condition func() bool) {
	is.Helper()

	for end := time.Now().Add(10 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			is.Fail() // not within 10 s
		}
	}
}
