package peer_test

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/skylarkweir/skylarkweir/entry/caller"
	"github.com/skylarkweir/skylarkweir/entry/peer"
	"github.com/skylarkweir/skylarkweir/weir/connection/quic"
	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
	"github.com/skylarkweir/skylarkweir/weir/process/fleet"
	"github.com/skylarkweir/skylarkweir/weir/version/ledger"
)

// fakeHome answers each forward with the ID of its submission, after the duration in the body.
type fakeHome struct {
	mu          sync.Mutex
	imported    []*wire.HeldSubmission
	deliveries  map[string]bool
	incarnation uint64
	// started receives the submission ID of each operation at its start, unless it is nil.
	started chan string
}

func (h *fakeHome) Serve(_ context.Context, f *wire.Forward) (caller.Reply, bool) {
	if f.GetIncarnation() != h.incarnation {
		return caller.Reply{}, false
	}

	if h.started != nil {
		h.started <- f.GetSubmission()
	}

	wait, _ := time.ParseDuration(string(f.GetBody()))
	time.Sleep(wait)

	id := f.GetSubmission()

	return caller.NewReply(200, []byte(id), func(delivered bool) {
		h.mu.Lock()
		defer h.mu.Unlock()

		h.deliveries[id] = delivered
	}), true
}

func (h *fakeHome) Import(submissions []*wire.HeldSubmission) {
	h.mu.Lock()
	defer h.mu.Unlock()

	h.imported = append(h.imported, submissions...)
}

func (h *fakeHome) importedSubmissions() []*wire.HeldSubmission {
	h.mu.Lock()
	defer h.mu.Unlock()

	return h.imported
}

func (h *fakeHome) delivery(id string) (delivered, known bool) {
	h.mu.Lock()
	defer h.mu.Unlock()

	delivered, known = h.deliveries[id]

	return delivered, known
}

// recordingAppender records what was appended.
type recordingAppender struct {
	mu      sync.Mutex
	records [][]byte
}

func (a *recordingAppender) Append(_ context.Context, record []byte) error {
	a.mu.Lock()
	defer a.mu.Unlock()

	a.records = append(a.records, record)

	return nil
}

func (a *recordingAppender) count() int {
	a.mu.Lock()
	defer a.mu.Unlock()

	return len(a.records)
}

type testEntry struct {
	self       *wire.Entry
	node       *quic.Node
	replica    *ledger.Replica
	fleet      *fleet.Fleet
	home       *fakeHome
	appender   *recordingAppender
	workerLoss *peer.WorkerLossDetector
	peers      *peer.Peers
}

func issueKeys(t *testing.T) quic.Keys {
	t.Helper()

	dir := t.TempDir()
	if err := quic.IssueKeys(dir, time.Hour); err != nil {
		t.Fatal(err)
	}

	k, err := quic.LoadKeys(filepath.Join(dir, quic.CertificateFile), filepath.Join(dir, quic.KeyFile), filepath.Join(dir, quic.AuthorityFile))
	if err != nil {
		t.Fatal(err)
	}

	return k
}

// startEntry runs an entry that connects to the given addresses.
func startEntry(t *testing.T, keys quic.Keys, incarnation uint64, others ...string) *testEntry {
	t.Helper()

	e := &testEntry{
		self: &wire.Entry{}, node: &quic.Node{}, replica: &ledger.Replica{}, fleet: &fleet.Fleet{}, appender: &recordingAppender{},
		home: &fakeHome{incarnation: incarnation, deliveries: map[string]bool{}},
	}
	if err := e.node.Listen("127.0.0.1:0", keys); err != nil {
		t.Fatal(err)
	}

	e.self.SetName(fmt.Sprintf("e%d", incarnation))
	e.self.SetIncarnation(incarnation)
	e.self.SetAddress(e.node.Address().String())

	ctx, stop := context.WithCancel(context.Background())
	e.workerLoss = peer.NewWorkerLossDetector(e.fleet, e.replica, e.appender, 64, zerolog.Nop())
	e.peers = peer.NewPeers(e.node, e.self, e.replica, e.home, e.workerLoss, others, zerolog.Nop())
	e.peers.SetHome(e.home)

	var group sync.WaitGroup

	group.Go(func() { e.peers.Run(ctx) })
	group.Go(func() { e.workerLoss.Run(ctx, e.peers) })
	group.Go(func() { e.accept(ctx, &group) })
	t.Cleanup(func() {
		stop()
		e.node.Close()
		group.Wait()
	})

	return e
}

func (e *testEntry) accept(ctx context.Context, group *sync.WaitGroup) {
	for {
		c, err := e.node.Accept(ctx)
		if err != nil {
			return
		}

		group.Go(func() {
			s, err := c.Accept(ctx)
			if err != nil {
				return
			}

			f, err := s.Receive()
			if err != nil {
				return
			}

			e.peers.Serve(ctx, c, s, f.GetHello())
		})
	}
}

func newForward(id string, incarnation uint64, wait time.Duration) *wire.Forward {
	f := &wire.Forward{}
	f.SetSubmission(id)
	f.SetIncarnation(incarnation)
	f.SetBody([]byte(wait.String()))

	return f
}

func eventually(is *is.I, done func() bool) {
	is.Helper()

	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if done() {
			return
		}
	}

	is.Fail() // condition was not met within 5 s
}

// Guards against a reply that is matched to the wrong request when many forwards run in both directions and their
// replies arrive in any order.
func TestConcurrentForwards(t *testing.T) {
	t.Parallel()

	const seed = 41

	t.Logf("seed %d", seed)

	is := is.New(t)
	random := rand.New(rand.NewPCG(seed, 1))
	keys := issueKeys(t)
	a := startEntry(t, keys, 1)
	b := startEntry(t, keys, 2, a.self.GetAddress())

	type result struct{ want, got string }

	results := make(chan result, 400)

	for i := range cap(results) {
		from, to := a, b
		if i%2 == 0 {
			from, to = b, a
		}

		id, wait := fmt.Sprintf("s%d", i), time.Duration(random.IntN(200))*time.Millisecond

		go func() {
			r, isHome, err := from.peers.Forward(context.Background(), to.self, newForward(id, to.self.GetIncarnation(), wait))
			if err != nil || !isHome {
				results <- result{id, fmt.Sprint(isHome, err)}

				return
			}

			r.ReportDelivery(true)
			results <- result{id, string(r.Body())}
		}()
	}

	for range cap(results) {
		r := <-results
		is.Equal(r.got, r.want)
	}
}

// Guards against a home that records an answer as delivered although its caller did not get it, and against the
// reverse.
func TestDeliveryReport(t *testing.T) {
	t.Parallel()

	is := is.New(t)
	keys := issueKeys(t)
	a := startEntry(t, keys, 1)
	b := startEntry(t, keys, 2)

	for id, delivered := range map[string]bool{"got": true, "broken": false} {
		r, _, err := a.peers.Forward(t.Context(), b.self, newForward(id, 2, 0))
		is.NoErr(err)
		r.ReportDelivery(delivered)
		eventually(is, func() bool {
			_, known := b.home.delivery(id)

			return known
		})

		got, _ := b.home.delivery(id)
		is.Equal(got, delivered)
	}

	is.NoErr(b.peers.Drain(t.Context()))
}

// Guards against a reply that arrives after its forward was cancelled, and is then matched to a later forward or
// counted as delivered.
func TestLateReply(t *testing.T) {
	t.Parallel()

	is := is.New(t)
	keys := issueKeys(t)
	a := startEntry(t, keys, 1)
	b := startEntry(t, keys, 2)

	b.home.started = make(chan string, 2)

	for i := range 20 {
		abandoned, next := fmt.Sprintf("late%d", i), fmt.Sprintf("next%d", i)
		ctx, cancel := context.WithCancel(t.Context())
		failed := make(chan error, 1)

		go func() {
			_, _, err := a.peers.Forward(ctx, b.self, newForward(abandoned, 2, 100*time.Millisecond))
			failed <- err
		}()

		// The home executes the operation when the sender cancels the forward, so the reply is sent after that.
		is.Equal(<-b.home.started, abandoned)
		cancel()
		is.True(<-failed != nil)

		r, isHome, err := a.peers.Forward(t.Context(), b.self, newForward(next, 2, 60*time.Millisecond))
		is.NoErr(err)
		is.True(isHome)
		is.Equal(string(r.Body()), next)
		is.Equal(<-b.home.started, next)
		r.ReportDelivery(true)

		eventually(is, func() bool {
			_, known := b.home.delivery(abandoned)

			return known
		})

		delivered, _ := b.home.delivery(abandoned)
		is.True(!delivered)
	}
}

// Guards against a forward that counts as answered although another incarnation answers at the address, the entry is
// not the home, or no entry is reachable there.
func TestForwardToWrongEntry(t *testing.T) {
	t.Parallel()

	is := is.New(t)
	keys := issueKeys(t)
	a := startEntry(t, keys, 1)
	b := startEntry(t, keys, 2)

	other := &wire.Entry{}
	other.SetAddress(b.self.GetAddress())
	other.SetIncarnation(9)

	_, _, err := a.peers.Forward(t.Context(), other, newForward("s", 9, 0))
	is.True(err != nil) // another incarnation answers at the address

	_, isHome, err := a.peers.Forward(t.Context(), b.self, newForward("s", 9, 0))
	is.NoErr(err)
	is.True(!isHome)

	unreachable := &wire.Entry{}
	unreachable.SetAddress("127.0.0.1:1")
	unreachable.SetIncarnation(5)

	begin := time.Now()
	_, _, err = a.peers.Forward(t.Context(), unreachable, newForward("s", 5, 0))
	is.True(err != nil)
	is.True(time.Since(begin) < 2500*time.Millisecond)
}

// Guards against a home that counts as lost because its operation takes longer than the 2 s timeout between peers, and
// against a forward that waits until its deadline for a home that no longer answers.
func TestLongOperationAndUnresponsiveHome(t *testing.T) {
	t.Parallel()

	is := is.New(t)
	keys := issueKeys(t)
	a := startEntry(t, keys, 1)
	b := startEntry(t, keys, 2)

	r, isHome, err := a.peers.Forward(t.Context(), b.self, newForward("long", 2, 4*time.Second))
	is.NoErr(err)
	is.True(isHome)
	r.ReportDelivery(true)

	paused := &pausedEntry{node: &quic.Node{}, self: &wire.Entry{}}
	is.NoErr(paused.node.Listen("127.0.0.1:0", keys))
	defer paused.node.Close()
	paused.self.SetAddress(paused.node.Address().String())
	paused.self.SetIncarnation(3)

	go paused.run(t.Context())

	begin := time.Now()
	_, _, err = a.peers.Forward(t.Context(), paused.self, newForward("s", 3, 0))
	is.True(err != nil)
	is.True(time.Since(begin) < 2500*time.Millisecond)
}

// pausedEntry is an entry that answers Hello with Welcome and then nothing, like a process that is paused.
type pausedEntry struct {
	node *quic.Node
	self *wire.Entry
}

func (p *pausedEntry) run(ctx context.Context) {
	for {
		c, err := p.node.Accept(ctx)
		if err != nil {
			return
		}

		s, err := c.Accept(ctx)
		if err != nil {
			continue
		}

		_, _ = s.Receive()

		w := &wire.Welcome{}
		w.SetEntry(p.self)

		f := &wire.Frame{}
		f.SetWelcome(w)
		_ = s.Send(f)
	}
}

// Guards against entries that receive records only from the log, so that they miss them while it is down.
func TestRecordsInBothDirections(t *testing.T) {
	t.Parallel()

	is := is.New(t)
	keys := issueKeys(t)
	a := startEntry(t, keys, 1)
	b := startEntry(t, keys, 2, a.self.GetAddress())

	w := &wire.Worker{}
	w.SetName("w")
	w.SetIncarnation(5)

	for i, e := range []*testEntry{a, b, a} {
		offset := int64(i)
		w.SetName(fmt.Sprintf("w%d", i))
		e.replica.ApplyLog([]ledger.Record{ledger.NewRecord(offset, time.Now(), ledger.WorkerJoinedRecord(w))}, offset+1)

		for _, x := range []*testEntry{a, b} {
			eventually(is, func() bool { return x.replica.State().Position() == offset+1 })
			is.Equal(len(x.replica.State().Workers()), i+1)
		}
	}
}

// Guards against submissions that are lost or altered in a handover of several frames, and against a successor that the
// other entries are not notified of.
func TestHandoverAndDeparture(t *testing.T) {
	t.Parallel()

	is := is.New(t)
	keys := issueKeys(t)
	a := startEntry(t, keys, 1)
	b := startEntry(t, keys, 2, a.self.GetAddress())
	c := startEntry(t, keys, 3, a.self.GetAddress(), b.self.GetAddress())
	eventually(is, func() bool { return len(a.peers.Reached()) == 2 && len(c.peers.Reached()) == 2 })

	var submissions []*wire.HeldSubmission

	for i := range 40 {
		h := &wire.HeldSubmission{}
		h.SetSubmission(fmt.Sprintf("s%d", i))
		h.SetAnswer(bytes.Repeat([]byte{byte(i)}, 1<<20))
		submissions = append(submissions, h)
	}

	successor, found := a.peers.Handover(t.Context(), submissions)
	is.True(found)

	receiver := b
	if successor.GetIncarnation() == 3 {
		receiver = c
	}

	is.Equal(len(receiver.home.importedSubmissions()), len(submissions))

	for i, h := range receiver.home.importedSubmissions() {
		is.Equal(h.GetSubmission(), submissions[i].GetSubmission())
		is.True(bytes.Equal(h.GetAnswer(), submissions[i].GetAnswer()))
	}

	a.peers.AnnounceDeparture(t.Context(), successor)

	for _, e := range []*testEntry{b, c} {
		s, found := e.peers.Successor(1)
		is.True(found)
		is.Equal(s.GetIncarnation(), successor.GetIncarnation())
	}
}

// Guards against a handover from an entry that was replaced while it was paused. Its submissions may have been closed
// as lost.
func TestHandoverOfReplacedEntry(t *testing.T) {
	t.Parallel()

	is := is.New(t)
	keys := issueKeys(t)
	a := startEntry(t, keys, 1)
	b := startEntry(t, keys, 2, a.self.GetAddress())
	eventually(is, func() bool { return len(a.peers.Reached()) == 1 })

	replacement := &wire.Entry{}
	replacement.SetName(a.self.GetName())
	replacement.SetIncarnation(8)
	replacement.SetAddress("127.0.0.1:1")
	b.replica.ApplyLog([]ledger.Record{ledger.NewRecord(0, time.Now(), ledger.EntryJoinedRecord(replacement))}, 1)

	_, found := a.peers.Handover(t.Context(), []*wire.HeldSubmission{{}})
	is.True(!found)
	is.Equal(len(b.home.importedSubmissions()), 0)
}

// Guards against a worker that is declared lost while another entry has contact with it, against an entry that declares
// losses while it is isolated, and against an unresponsive worker that is never declared lost.
func TestWorkerLoss(t *testing.T) {
	t.Parallel()

	is := is.New(t)
	keys := issueKeys(t)
	a := startEntry(t, keys, 1)
	b := startEntry(t, keys, 2, a.self.GetAddress())
	c := startEntry(t, keys, 3, a.self.GetAddress(), b.self.GetAddress())
	entries := []*testEntry{a, b, c}

	for _, e := range entries {
		eventually(is, func() bool { return len(e.peers.Reached()) == 2 })
	}

	connected := map[string]*fleet.Worker{}

	for i, name := range []string{"gone", "heard", "x", "y"} {
		w := &wire.Worker{}
		w.SetName(name)
		w.SetIncarnation(uint64(i + 1))
		a.replica.ApplyLog([]ledger.Record{ledger.NewRecord(int64(i), time.Now(), ledger.WorkerJoinedRecord(w))}, int64(i)+1)

		for _, e := range entries {
			connected[e.self.GetName()+name] = e.fleet.Connect(w, time.Now())
		}
	}

	// a has contact with half of the workers, b with all but one. c has none, so it must not declare any lost.
	for begin := time.Now(); time.Since(begin) < 15*time.Second; time.Sleep(200 * time.Millisecond) {
		for _, name := range []string{"e1x", "e1y", "e2x", "e2y", "e2heard"} {
			a.fleet.RecordContact(connected[name], time.Now())
		}
	}

	is.Equal(c.appender.count(), 0)
	is.True(a.appender.count()+b.appender.count() > 0)

	for _, e := range entries {
		e.appender.mu.Lock()
		for _, r := range e.appender.records {
			is.Equal(r, ledger.WorkerLeftRecord("gone", 1, true))
		}
		e.appender.mu.Unlock()
	}
}

// Guards against slow detection when all workers of a failure domain are lost at once. If an exchange named only some of
// them, the declarations would take longer the more entries there are.
func TestFailureDomainLoss(t *testing.T) {
	t.Parallel()

	const lost, alive = 115, 115

	is := is.New(t)
	keys := issueKeys(t)

	var (
		entries []*testEntry
		others  []string
	)

	for i := range 4 {
		e := startEntry(t, keys, uint64(i)+1, others...)
		entries, others = append(entries, e), append(others, e.self.GetAddress())
	}

	for _, e := range entries {
		eventually(is, func() bool { return len(e.peers.Reached()) == len(entries)-1 })
	}

	var aliveWorkers []*fleet.Worker

	for i := range lost + alive {
		w := wire.Worker_builder{Name: fmt.Sprintf("w%03d", i), Incarnation: 1}.Build()
		entries[0].replica.ApplyLog([]ledger.Record{ledger.NewRecord(int64(i), time.Now(), ledger.WorkerJoinedRecord(w))}, int64(i)+1)

		for _, e := range entries {
			if c := e.fleet.Connect(w, time.Now()); i >= lost {
				aliveWorkers = append(aliveWorkers, c)
			}
		}
	}

	declared := map[string]bool{}

	for begin := time.Now(); len(declared) < lost && time.Since(begin) < 20*time.Second; time.Sleep(200 * time.Millisecond) {
		for _, w := range aliveWorkers {
			entries[0].fleet.RecordContact(w, time.Now())
		}

		for _, e := range entries {
			e.appender.mu.Lock()
			for _, r := range e.appender.records {
				declared[string(r)] = true
			}
			e.appender.mu.Unlock()
		}
	}

	is.Equal(len(declared), lost)
}

// Guards against submissions that are handed over to an entry after it has handed over its own.
func TestHandoverToLeavingEntry(t *testing.T) {
	t.Parallel()

	is := is.New(t)
	keys := issueKeys(t)
	a := startEntry(t, keys, 1)
	b := startEntry(t, keys, 2, a.self.GetAddress())
	eventually(is, func() bool { return len(a.peers.Reached()) == 1 })
	b.peers.Leave()

	_, found := a.peers.Handover(t.Context(), []*wire.HeldSubmission{{}})
	is.True(!found)
	is.Equal(len(b.home.importedSubmissions()), 0)
}
