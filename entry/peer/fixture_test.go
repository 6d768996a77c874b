package peer_test

import (
	"context"
	"fmt"
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
