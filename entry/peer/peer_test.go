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

// home answers each forward with its submission, after a time that the body states.
type home struct {
	mu       sync.Mutex
	imported []*wire.HeldSubmission
	written  map[string]bool
	own      uint64
	// begun receives the submission of each operation that was begun, if it is not nil.
	begun chan string
}

func (h *home) Serve(_ context.Context, f *wire.Forward) (caller.Reply, bool) {
	if f.GetIncarnation() != h.own {
		return caller.Reply{}, false
	}

	if h.begun != nil {
		h.begun <- f.GetSubmission()
	}

	wait, _ := time.ParseDuration(string(f.GetBody()))
	time.Sleep(wait)

	id := f.GetSubmission()

	return caller.NewReply(200, []byte(id), func(whole bool) {
		h.mu.Lock()
		defer h.mu.Unlock()

		h.written[id] = whole
	}), true
}

func (h *home) Import(held []*wire.HeldSubmission) {
	h.mu.Lock()
	defer h.mu.Unlock()

	h.imported = append(h.imported, held...)
}

func (h *home) taken() []*wire.HeldSubmission {
	h.mu.Lock()
	defer h.mu.Unlock()

	return h.imported
}

func (h *home) wasWritten(id string) (whole, known bool) {
	h.mu.Lock()
	defer h.mu.Unlock()

	whole, known = h.written[id]

	return whole, known
}

// appender keeps what was appended.
type appender struct {
	mu      sync.Mutex
	records [][]byte
}

func (a *appender) Append(_ context.Context, record []byte) error {
	a.mu.Lock()
	defer a.mu.Unlock()

	a.records = append(a.records, record)

	return nil
}

func (a *appender) count() int {
	a.mu.Lock()
	defer a.mu.Unlock()

	return len(a.records)
}

type entry struct {
	self     *wire.Entry
	node     *quic.Node
	book     *ledger.Replica
	fleet    *fleet.Fleet
	home     *home
	appender *appender
	silence  *peer.Silence
	peers    *peer.Peers
}

func keysOf(t *testing.T) quic.Keys {
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

// start runs an entry that connects to the others.
func start(t *testing.T, keys quic.Keys, incarnation uint64, others ...string) *entry {
	t.Helper()

	e := &entry{
		self: &wire.Entry{}, node: &quic.Node{}, book: &ledger.Replica{}, fleet: &fleet.Fleet{}, appender: &appender{},
		home: &home{own: incarnation, written: map[string]bool{}},
	}
	if err := e.node.Listen("127.0.0.1:0", keys); err != nil {
		t.Fatal(err)
	}

	e.self.SetName(fmt.Sprintf("e%d", incarnation))
	e.self.SetIncarnation(incarnation)
	e.self.SetAddress(e.node.Address().String())

	ctx, stop := context.WithCancel(context.Background())
	e.silence = peer.NewSilence(e.fleet, e.book, e.appender, 64, zerolog.Nop())
	e.peers = peer.NewPeers(e.node, e.self, e.book, e.home, e.silence, others, zerolog.Nop())
	e.peers.Use(e.home)

	var group sync.WaitGroup

	group.Go(func() { e.peers.Run(ctx) })
	group.Go(func() { e.silence.Run(ctx, e.peers) })
	group.Go(func() { e.accept(ctx, &group) })
	t.Cleanup(func() {
		stop()
		e.node.Close()
		group.Wait()
	})

	return e
}

func (e *entry) accept(ctx context.Context, group *sync.WaitGroup) {
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

func forwardOf(id string, incarnation uint64, wait time.Duration) *wire.Forward {
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

	is.Fail() // condition did not come true within 5 s
}

// Guards against replies that reach another request than their own when many are in flight in both directions and come
// back in any order.
func TestCrossedReplies(t *testing.T) {
	t.Parallel()

	const seed = 41

	t.Logf("seed %d", seed)

	is := is.New(t)
	random := rand.New(rand.NewPCG(seed, 1))
	keys := keysOf(t)
	a := start(t, keys, 1)
	b := start(t, keys, 2, a.self.GetAddress())

	type result struct{ want, got string }

	results := make(chan result, 400)

	for i := range cap(results) {
		from, to := a, b
		if i%2 == 0 {
			from, to = b, a
		}

		id, wait := fmt.Sprintf("s%d", i), time.Duration(random.IntN(200))*time.Millisecond

		go func() {
			r, isHome, err := from.peers.Forward(context.Background(), to.self, forwardOf(id, to.self.GetIncarnation(), wait))
			if err != nil || !isHome {
				results <- result{id, fmt.Sprint(isHome, err)}

				return
			}

			r.Written(true)
			results <- result{id, string(r.Body())}
		}()
	}

	for range cap(results) {
		r := <-results
		is.Equal(r.got, r.want)
	}
}

// Guards against an answer that counts as delivered although its caller did not get it, and against the reverse.
func TestWrittenReachesTheHome(t *testing.T) {
	t.Parallel()

	is := is.New(t)
	keys := keysOf(t)
	a := start(t, keys, 1)
	b := start(t, keys, 2)

	for id, whole := range map[string]bool{"got": true, "broken": false} {
		r, _, err := a.peers.Forward(t.Context(), b.self, forwardOf(id, 2, 0))
		is.NoErr(err)
		r.Written(whole)
		eventually(is, func() bool {
			_, known := b.home.wasWritten(id)

			return known
		})

		got, _ := b.home.wasWritten(id)
		is.Equal(got, whole)
	}

	is.NoErr(b.peers.Drain(t.Context()))
}

// Guards against a late reply that reaches a later request, and against one that counts as delivered.
func TestLateReply(t *testing.T) {
	t.Parallel()

	is := is.New(t)
	keys := keysOf(t)
	a := start(t, keys, 1)
	b := start(t, keys, 2)

	b.home.begun = make(chan string, 2)

	for i := range 20 {
		late, next := fmt.Sprintf("late%d", i), fmt.Sprintf("next%d", i)
		ctx, giveUp := context.WithCancel(t.Context())
		failed := make(chan error, 1)

		go func() {
			_, _, err := a.peers.Forward(ctx, b.self, forwardOf(late, 2, 100*time.Millisecond))
			failed <- err
		}()

		// The home is at work when the sender gives up, so its reply comes late.
		is.Equal(<-b.home.begun, late)
		giveUp()
		is.True(<-failed != nil)

		r, isHome, err := a.peers.Forward(t.Context(), b.self, forwardOf(next, 2, 60*time.Millisecond))
		is.NoErr(err)
		is.True(isHome)
		is.Equal(string(r.Body()), next)
		is.Equal(<-b.home.begun, next)
		r.Written(true)

		eventually(is, func() bool {
			_, known := b.home.wasWritten(late)

			return known
		})

		whole, _ := b.home.wasWritten(late)
		is.True(!whole)
	}
}

// Guards against an operation that another incarnation, or a lost home, is taken to have answered.
func TestNotHomeAndOtherIncarnation(t *testing.T) {
	t.Parallel()

	is := is.New(t)
	keys := keysOf(t)
	a := start(t, keys, 1)
	b := start(t, keys, 2)

	other := &wire.Entry{}
	other.SetAddress(b.self.GetAddress())
	other.SetIncarnation(9)

	_, _, err := a.peers.Forward(t.Context(), other, forwardOf("s", 9, 0))
	is.True(err != nil) // another incarnation answers at the address

	_, isHome, err := a.peers.Forward(t.Context(), b.self, forwardOf("s", 9, 0))
	is.NoErr(err)
	is.True(!isHome)

	nobody := &wire.Entry{}
	nobody.SetAddress("127.0.0.1:1")
	nobody.SetIncarnation(5)

	begin := time.Now()
	_, _, err = a.peers.Forward(t.Context(), nobody, forwardOf("s", 5, 0))
	is.True(err != nil)
	is.True(time.Since(begin) < 2500*time.Millisecond)
}

// Guards against a home that counts as lost because its job takes longer than the liveness limit, and against a home
// that stopped answering and is waited for until the deadline.
func TestLongJobAndSilentHome(t *testing.T) {
	t.Parallel()

	is := is.New(t)
	keys := keysOf(t)
	a := start(t, keys, 1)
	b := start(t, keys, 2)

	r, isHome, err := a.peers.Forward(t.Context(), b.self, forwardOf("long", 2, 4*time.Second))
	is.NoErr(err)
	is.True(isHome)
	r.Written(true)

	silent := &frozen{node: &quic.Node{}, self: &wire.Entry{}}
	is.NoErr(silent.node.Listen("127.0.0.1:0", keys))
	defer silent.node.Close()
	silent.self.SetAddress(silent.node.Address().String())
	silent.self.SetIncarnation(3)

	go silent.run(t.Context())

	begin := time.Now()
	_, _, err = a.peers.Forward(t.Context(), silent.self, forwardOf("s", 3, 0))
	is.True(err != nil)
	is.True(time.Since(begin) < 2500*time.Millisecond)
}

// frozen is an entry that welcomes and then answers nothing, as one that is paused after its start.
type frozen struct {
	node *quic.Node
	self *wire.Entry
}

func (z *frozen) run(ctx context.Context) {
	for {
		c, err := z.node.Accept(ctx)
		if err != nil {
			return
		}

		s, err := c.Accept(ctx)
		if err != nil {
			continue
		}

		_, _ = s.Receive()

		w := &wire.Welcome{}
		w.SetEntry(z.self)

		f := &wire.Frame{}
		f.SetWelcome(w)
		_ = s.Send(f)
	}
}

// Guards against entries that only learn of records from the log, which may be down.
func TestRecordsInBothDirections(t *testing.T) {
	t.Parallel()

	is := is.New(t)
	keys := keysOf(t)
	a := start(t, keys, 1)
	b := start(t, keys, 2, a.self.GetAddress())

	w := &wire.Worker{}
	w.SetName("w")
	w.SetIncarnation(5)

	for i, e := range []*entry{a, b, a} {
		offset := int64(i)
		w.SetName(fmt.Sprintf("w%d", i))
		e.book.ApplyLog([]ledger.Record{ledger.NewRecord(offset, time.Now(), ledger.WorkerJoinedRecord(w))}, offset+1)

		for _, x := range []*entry{a, b} {
			eventually(is, func() bool { return x.book.State().Position() == offset+1 })
			is.Equal(len(x.book.State().Workers()), i+1)
		}
	}
}

// Guards against submissions that are lost or altered on the way to the successor, and against a successor that nobody
// learns of.
func TestHandoverAndDeparture(t *testing.T) {
	t.Parallel()

	is := is.New(t)
	keys := keysOf(t)
	a := start(t, keys, 1)
	b := start(t, keys, 2, a.self.GetAddress())
	c := start(t, keys, 3, a.self.GetAddress(), b.self.GetAddress())
	eventually(is, func() bool { return len(a.peers.Reached()) == 2 && len(c.peers.Reached()) == 2 })

	var held []*wire.HeldSubmission

	for i := range 40 {
		h := &wire.HeldSubmission{}
		h.SetSubmission(fmt.Sprintf("s%d", i))
		h.SetAnswer(bytes.Repeat([]byte{byte(i)}, 1<<20))
		held = append(held, h)
	}

	next, found := a.peers.Handover(t.Context(), held)
	is.True(found)

	successor := b
	if next.GetIncarnation() == 3 {
		successor = c
	}

	is.Equal(len(successor.home.taken()), len(held))

	for i, h := range successor.home.taken() {
		is.Equal(h.GetSubmission(), held[i].GetSubmission())
		is.True(bytes.Equal(h.GetAnswer(), held[i].GetAnswer()))
	}

	a.peers.Depart(t.Context(), next)

	for _, e := range []*entry{b, c} {
		s, found := e.peers.Successor(1)
		is.True(found)
		is.Equal(s.GetIncarnation(), next.GetIncarnation())
	}
}

// Guards against a handover from an entry that was replaced while it was paused: its submissions may have been closed.
func TestHandoverOfReplacedEntry(t *testing.T) {
	t.Parallel()

	is := is.New(t)
	keys := keysOf(t)
	a := start(t, keys, 1)
	b := start(t, keys, 2, a.self.GetAddress())
	eventually(is, func() bool { return len(a.peers.Reached()) == 1 })

	newer := &wire.Entry{}
	newer.SetName(a.self.GetName())
	newer.SetIncarnation(8)
	newer.SetAddress("127.0.0.1:1")
	b.book.ApplyLog([]ledger.Record{ledger.NewRecord(0, time.Now(), ledger.EntryJoinedRecord(newer))}, 1)

	_, found := a.peers.Handover(t.Context(), []*wire.HeldSubmission{{}})
	is.True(!found)
	is.Equal(len(b.home.taken()), 0)
}

// Guards against a worker that is declared lost while another entry hears from it, and against one that is never
// declared lost.
func TestWorkerLoss(t *testing.T) {
	t.Parallel()

	is := is.New(t)
	keys := keysOf(t)
	a := start(t, keys, 1)
	b := start(t, keys, 2, a.self.GetAddress())
	c := start(t, keys, 3, a.self.GetAddress(), b.self.GetAddress())
	entries := []*entry{a, b, c}

	for _, e := range entries {
		eventually(is, func() bool { return len(e.peers.Reached()) == 2 })
	}

	connected := map[string]*fleet.Worker{}

	for i, name := range []string{"gone", "heard", "x", "y"} {
		w := &wire.Worker{}
		w.SetName(name)
		w.SetIncarnation(uint64(i + 1))
		a.book.ApplyLog([]ledger.Record{ledger.NewRecord(int64(i), time.Now(), ledger.WorkerJoinedRecord(w))}, int64(i)+1)

		for _, e := range entries {
			connected[e.self.GetName()+name] = e.fleet.Connect(w, time.Now())
		}
	}

	// a hears half of the workers, b hears all but one, and c hears none, so that it must not judge.
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

// Guards against the loss of a whole failure domain that is confirmed in parts, which takes the longer the more entries
// there are.
func TestFailureDomainLoss(t *testing.T) {
	t.Parallel()

	const lost, heard = 115, 115

	is := is.New(t)
	keys := keysOf(t)

	var (
		entries []*entry
		others  []string
	)

	for i := range 4 {
		e := start(t, keys, uint64(i)+1, others...)
		entries, others = append(entries, e), append(others, e.self.GetAddress())
	}

	for _, e := range entries {
		eventually(is, func() bool { return len(e.peers.Reached()) == len(entries)-1 })
	}

	var alive []*fleet.Worker

	for i := range lost + heard {
		w := wire.Worker_builder{Name: fmt.Sprintf("w%03d", i), Incarnation: 1}.Build()
		entries[0].book.ApplyLog([]ledger.Record{ledger.NewRecord(int64(i), time.Now(), ledger.WorkerJoinedRecord(w))}, int64(i)+1)

		for _, e := range entries {
			if c := e.fleet.Connect(w, time.Now()); i >= lost {
				alive = append(alive, c)
			}
		}
	}

	declared := map[string]bool{}

	for begin := time.Now(); len(declared) < lost && time.Since(begin) < 20*time.Second; time.Sleep(200 * time.Millisecond) {
		for _, w := range alive {
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

// Guards against submissions that are handed to an entry after it has handed on its own.
func TestHandoverToLeavingEntry(t *testing.T) {
	t.Parallel()

	is := is.New(t)
	keys := keysOf(t)
	a := start(t, keys, 1)
	b := start(t, keys, 2, a.self.GetAddress())
	eventually(is, func() bool { return len(a.peers.Reached()) == 1 })
	b.peers.Leave()

	_, found := a.peers.Handover(t.Context(), []*wire.HeldSubmission{{}})
	is.True(!found)
	is.Equal(len(b.home.taken()), 0)
}
