package capacity

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/skylarkweir/skylarkweir/weir/connection/quic"
	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
	"github.com/skylarkweir/skylarkweir/weir/version/ledger"
)

// Entries are fake entries of one sidecar. They keep the log in memory.
type Entries struct {
	keys    quic.Keys
	nodes   []*quic.Node
	replica ledger.Replica

	mu    sync.Mutex
	next  int64
	links []*fakeLink
	// position is what the sidecar has reported.
	position atomic.Int64
	starts   atomic.Int64
	failed   atomic.Int64
}

// fakeLink is a connection of the sidecar.
type fakeLink struct {
	entries    *Entries
	connection *quic.Conn
	control    *quic.Stream
	worker     *wire.Worker
	epoch      atomic.Uint64
}

// Append appends records to the log in memory.
func (e *Entries) Append(records ...[]byte) {
	e.mu.Lock()
	defer e.mu.Unlock()

	now := time.Now()
	all := make([]ledger.Record, 0, len(records))

	for _, r := range records {
		all = append(all, ledger.NewRecord(e.next, now, r))
		e.next++
	}

	e.replica.ApplyLog(all, e.next)
}

// Open starts n entries and returns their addresses.
func (e *Entries) Open(ctx context.Context, n int) ([]string, error) {
	addresses := []string{}

	for i := range n {
		node := &quic.Node{}
		if err := node.Listen("127.0.0.1:0", e.keys); err != nil {
			return nil, err
		}

		e.nodes = append(e.nodes, node)
		addresses = append(addresses, node.Address().String())

		go e.run(ctx, node, uint64(i)+1)
	}

	return addresses, nil
}

// Connected returns the number of entries that the sidecar is connected to.
func (e *Entries) Connected() int {
	e.mu.Lock()
	defer e.mu.Unlock()

	return len(e.links)
}

// Close closes the sockets.
func (e *Entries) Close() {
	for _, n := range e.nodes {
		_ = n.Close()
	}
}

func (e *Entries) run(ctx context.Context, node *quic.Node, incarnation uint64) {
	for {
		c, err := node.Accept(ctx)
		if err != nil {
			return
		}

		go e.serve(ctx, c, incarnation)
	}
}

func (e *Entries) serve(ctx context.Context, c *quic.Conn, incarnation uint64) {
	control, err := c.Accept(ctx)
	if err != nil {
		return
	}

	hello, err := control.Receive()
	if err != nil {
		return
	}

	w := wire.Welcome_builder{
		Entry:    wire.Entry_builder{Name: fmt.Sprintf("fake-%d", incarnation), Incarnation: incarnation}.Build(),
		Position: e.replica.State().Position(),
	}.Build()
	if control.Send(wire.Frame_builder{Welcome: w}.Build()) != nil {
		return
	}

	l := &fakeLink{entries: e, connection: c, control: control, worker: hello.GetHello().GetWorker()}

	e.mu.Lock()
	e.links = append(e.links, l)
	e.mu.Unlock()

	go l.registrations(ctx)
	l.listen()
}

func (l *fakeLink) registrations(ctx context.Context) {
	for {
		s, err := l.connection.Accept(ctx)
		if err != nil {
			return
		}

		if in, err := s.Receive(); err == nil && in.HasRegister() {
			l.entries.Append(ledger.WorkerJoinedRecord(in.GetRegister().GetWorker()))
			_ = s.Send(wire.Frame_builder{RegisterReply: wire.RegisterReply_builder{Ok: true}.Build()}.Build())
		}

		s.Close()
	}
}

func (l *fakeLink) listen() {
	for {
		in, err := l.control.Receive()
		if err != nil {
			return
		}

		h := in.GetHeartbeat()
		if h == nil {
			continue
		}

		l.epoch.Store(h.GetLeaseEpoch())
		l.entries.position.Store(h.GetPosition())

		a := wire.HeartbeatAck_builder{
			Sequence: h.GetSequence(), LeaseEpoch: h.GetLeaseEpoch(), Position: l.entries.replica.State().Position(),
		}.Build()
		_ = l.control.Send(wire.Frame_builder{HeartbeatAck: a}.Build())

		if r := l.entries.replica.RecordsSince(h.GetPosition()); r != nil {
			_ = l.control.Send(wire.Frame_builder{Records: r}.Build())
		}
	}
}

// Load sends starts, numbered from base, at a rate over all links until ctx ends.
func (e *Entries) Load(ctx context.Context, base, rate int, input []byte) {
	pace(ctx, rate, func(n int) {
		e.mu.Lock()
		l := e.links[n%len(e.links)]
		e.mu.Unlock()

		e.starts.Add(1)

		if l.start(ctx, base+n, input) != nil {
			e.failed.Add(1)
		}
	})
}

func (l *fakeLink) start(ctx context.Context, n int, input []byte) error {
	s, err := l.connection.Open(ctx)
	if err != nil {
		return err
	}
	defer s.Close()

	m := wire.Start_builder{
		Id:     wire.TaskId_builder{Submission: fmt.Sprintf("%0160d", n)}.Build(),
		Member: "member-000", Kind: "scan", Cores: 1, RemainingMs: 20_000, KeepMs: 30_000, LeaseEpoch: l.epoch.Load(),
		Position: l.entries.replica.State().Position(), Input: input, Incarnation: l.worker.GetIncarnation(),
	}.Build()
	if err := s.Send(wire.Frame_builder{Start: m}.Build()); err != nil {
		return err
	}

	in, err := s.Receive()
	if err != nil {
		return err
	}

	r := in.GetStartReply()
	a := wire.StartAck_builder{HeartbeatSequence: r.GetHeartbeatSequence(), LeaseEpoch: r.GetLeaseEpoch(), Position: m.GetPosition()}.Build()
	_ = s.Send(wire.Frame_builder{StartAck: a}.Build())

	if !r.HasCompleted() {
		return errNotCompleted
	}

	return nil
}
