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

// FakeEntries are the entries of one real sidecar. They share a log in memory.
type FakeEntries struct {
	keys    quic.Keys
	nodes   []*quic.Node
	replica ledger.Replica

	mu           sync.Mutex
	nextPosition int64
	connections  []*sidecarConnection
	// sidecarPosition is the log position in the latest heartbeat of the sidecar.
	sidecarPosition atomic.Int64
	startCount      atomic.Int64
	failedStarts    atomic.Int64
}

// sidecarConnection is the connection of the sidecar to one fake entry.
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

// Start starts n entries and returns their addresses.
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

// Connected returns the number of connections that the sidecar has opened.
func (e *FakeEntries) Connected() int {
	e.mu.Lock()
	defer e.mu.Unlock()

	return len(e.connections)
}

// Close closes the sockets of the entries.
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

	sc := &sidecarConnection{entries: e, connection: c, control: control, worker: hello.GetHello().GetWorker()}

	e.mu.Lock()
	e.connections = append(e.connections, sc)
	e.mu.Unlock()

	go sc.serveRegistrations(ctx)
	sc.serveControl()
}

func (sc *sidecarConnection) serveRegistrations(ctx context.Context) {
	for {
		s, err := sc.connection.Accept(ctx)
		if err != nil {
			return
		}

		if in, err := s.Receive(); err == nil && in.HasRegister() {
			sc.entries.Append(ledger.WorkerJoinedRecord(in.GetRegister().GetWorker()))
			_ = s.Send(wire.Frame_builder{RegisterReply: wire.RegisterReply_builder{Ok: true}.Build()}.Build())
		}

		s.Close()
	}
}

func (sc *sidecarConnection) serveControl() {
	for {
		in, err := sc.control.Receive()
		if err != nil {
			return
		}

		h := in.GetHeartbeat()
		if h == nil {
			continue
		}

		sc.leaseEpoch.Store(h.GetLeaseEpoch())
		sc.entries.sidecarPosition.Store(h.GetPosition())

		a := wire.HeartbeatAck_builder{
			Sequence: h.GetSequence(), LeaseEpoch: h.GetLeaseEpoch(), Position: sc.entries.replica.State().Position(),
		}.Build()
		_ = sc.control.Send(wire.Frame_builder{HeartbeatAck: a}.Build())

		if r := sc.entries.replica.RecordsSince(h.GetPosition()); r != nil {
			_ = sc.control.Send(wire.Frame_builder{Records: r}.Build())
		}
	}
}

// GenerateLoad sends starts of tasks, numbered from base, over all connections in turn until ctx ends. The rate is in
// starts/s.
func (e *FakeEntries) GenerateLoad(ctx context.Context, base, rate int, input []byte) {
	runAtRate(ctx, rate, func(n int) {
		e.mu.Lock()
		sc := e.connections[n%len(e.connections)]
		e.mu.Unlock()

		e.startCount.Add(1)

		if sc.start(ctx, base+n, input) != nil {
			e.failedStarts.Add(1)
		}
	})
}

func (sc *sidecarConnection) start(ctx context.Context, n int, input []byte) error {
	s, err := sc.connection.Open(ctx)
	if err != nil {
		return err
	}
	defer s.Close()

	m := wire.Start_builder{
		Id:     wire.TaskId_builder{Submission: fmt.Sprintf("%0160d", n)}.Build(),
		Member: "member-000", Kind: "scan", Cores: 1, RemainingMs: 20_000, KeepMs: 30_000,
		LeaseEpoch: sc.leaseEpoch.Load(),
		Position:   sc.entries.replica.State().Position(), Input: input, Incarnation: sc.worker.GetIncarnation(),
	}.Build()
	if err := s.Send(wire.Frame_builder{Start: m}.Build()); err != nil {
		return err
	}

	in, err := s.Receive()
	if err != nil {
		return err
	}

	r := in.GetStartReply()
	a := wire.StartAck_builder{
		HeartbeatSequence: r.GetHeartbeatSequence(), LeaseEpoch: r.GetLeaseEpoch(), Position: m.GetPosition(),
	}.Build()
	_ = s.Send(wire.Frame_builder{StartAck: a}.Build())

	if !r.HasCompleted() {
		return errNotCompleted
	}

	return nil
}
