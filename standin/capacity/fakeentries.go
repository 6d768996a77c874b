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
type FakeEntries struct {
	keys    quic.Keys
	nodes   []*quic.Node
	replica ledger.Replica

	mu           sync.Mutex
	nextPosition int64
	connections  []*sidecarConnection
	// position is what the sidecar has reported.
	sidecarPosition atomic.Int64
	startCount      atomic.Int64
	failedStarts    atomic.Int64
}

// fakeLink is a connection of the sidecar.
type sidecarConnection struct {
	entries    *FakeEntries
	connection *quic.Conn
	control    *quic.Stream
	worker     *wire.Worker
	leaseEpoch atomic.Uint64
}

// Append appends records to the log in memory.
func (e *FakeEntries) Append(records ...[]byte) {
	e.mu.Lock()
	defer e.mu.Unlock()

	now := time.Now()
	all := make([]ledger.Record, 0, len(records))

	for _, r := range records {
		all = append(all, ledger.NewRecord(e.nextPosition, now, r))
		e.nextPosition++
	}

	e.replica.ApplyLog(all, e.nextPosition)
}

// Open starts n entries and returns their addresses.
func (e *FakeEntries) Start(ctx context.Context, n int) ([]string, error) {
	addresses := []string{}

	for i := range n {
		node := &quic.Node{}
		if err := node.Listen("127.0.0.1:0", e.keys); err != nil {
			return nil, err
		}

		e.nodes = append(e.nodes, node)
		addresses = append(addresses, node.Address().String())

		go e.accept(ctx, node, uint64(i)+1)
	}

	return addresses, nil
}

// Connected returns the number of entries that the sidecar is connected to.
func (e *FakeEntries) Connected() int {
	e.mu.Lock()
	defer e.mu.Unlock()

	return len(e.connections)
}

// Close closes the sockets.
func (e *FakeEntries) Close() {
	for _, n := range e.nodes {
		_ = n.Close()
	}
}

func (e *FakeEntries) accept(ctx context.Context, node *quic.Node, incarnation uint64) {
	for {
		c, err := node.Accept(ctx)
		if err != nil {
			return
		}

		go e.serve(ctx, c, incarnation)
	}
}

func (e *FakeEntries) serve(ctx context.Context, c *quic.Conn, incarnation uint64) {
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

	l := &sidecarConnection{entries: e, connection: c, control: control, worker: hello.GetHello().GetWorker()}

	e.mu.Lock()
	e.connections = append(e.connections, l)
	e.mu.Unlock()

	go l.serveRegistrations(ctx)
	l.serveControl()
}

func (l *sidecarConnection) serveRegistrations(ctx context.Context) {
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

func (l *sidecarConnection) serveControl() {
	for {
		in, err := l.control.Receive()
		if err != nil {
			return
		}

		h := in.GetHeartbeat()
		if h == nil {
			continue
		}

		l.leaseEpoch.Store(h.GetLeaseEpoch())
		l.entries.sidecarPosition.Store(h.GetPosition())

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
func (e *FakeEntries) GenerateLoad(ctx context.Context, base, rate int, input []byte) {
	runAtRate(ctx, rate, func(n int) {
		e.mu.Lock()
		l := e.connections[n%len(e.connections)]
		e.mu.Unlock()

		e.startCount.Add(1)

		if l.start(ctx, base+n, input) != nil {
			e.failedStarts.Add(1)
		}
	})
}

func (l *sidecarConnection) start(ctx context.Context, n int, input []byte) error {
	s, err := l.connection.Open(ctx)
	if err != nil {
		return err
	}
	defer s.Close()

	m := wire.Start_builder{
		Id:     wire.TaskId_builder{Submission: fmt.Sprintf("%0160d", n)}.Build(),
		Member: "member-000", Kind: "scan", Cores: 1, RemainingMs: 20_000, KeepMs: 30_000, LeaseEpoch: l.leaseEpoch.Load(),
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
