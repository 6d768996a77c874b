package sidecar_test

import (
	"context"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/skylarkweir/skylarkweir/entry/sidecar"
	"github.com/skylarkweir/skylarkweir/weir/connection/quic"
	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
	"github.com/skylarkweir/skylarkweir/weir/process/fleet"
	"github.com/skylarkweir/skylarkweir/weir/version/ledger"
)

// fixture is a hub that accepts connections, and the node from which fake sidecars dial it.
type fixture struct {
	hub              sidecar.Hub
	fleet            fleet.Fleet
	replica          ledger.Replica
	listener, dialer quic.Node
	registered       atomic.Int64
}

func (fx *fixture) Register(context.Context, *wire.Worker) error {
	fx.registered.Add(1)

	return nil
}

func newFixture(tb testing.TB) *fixture {
	tb.Helper()
	is := is.New(tb)
	dir := tb.TempDir()
	is.NoErr(quic.IssueKeys(dir, time.Hour))

	keys, err := quic.LoadKeys(
		filepath.Join(dir, quic.CertificateFile), filepath.Join(dir, quic.KeyFile), filepath.Join(dir, quic.AuthorityFile),
	)
	is.NoErr(err)

	fx := &fixture{}
	is.NoErr(fx.listener.Listen("127.0.0.1:0", keys))
	is.NoErr(fx.dialer.Listen("127.0.0.1:0", keys))
	tb.Cleanup(func() {
		fx.dialer.Close()
		fx.listener.Close()
	})

	fx.hub.Configure(wire.Entry_builder{Name: "entry"}.Build(), &fx.fleet, &fx.replica, fx, zerolog.Nop())

	go fx.run(tb.Context())

	return fx
}

func (fx *fixture) run(ctx context.Context) {
	for {
		c, err := fx.listener.Accept(ctx)
		if err != nil {
			return
		}

		s, err := c.Accept(ctx)
		if err != nil {
			continue
		}

		f, err := s.Receive()
		if err != nil {
			continue
		}

		go fx.hub.Serve(ctx, c, s, f.GetHello())
	}
}

// fakeSidecar is the sidecar's end of a connection.
type fakeSidecar struct {
	conn    *quic.Conn
	control *quic.Stream
	reply   func(s *wire.Start) *wire.StartReply
	acks    atomic.Int64
}

func (fx *fixture) dial(tb testing.TB, reply func(s *wire.Start) *wire.StartReply) *fakeSidecar {
	tb.Helper()
	is := is.New(tb)

	c, err := fx.dialer.Dial(tb.Context(), fx.listener.Address().String())
	is.NoErr(err)

	s, err := c.Open(tb.Context())
	is.NoErr(err)

	hello := wire.Hello_builder{Worker: wire.Worker_builder{Name: "w", Incarnation: 1, Slots: 64}.Build()}.Build()

	f := wire.Frame_builder{Hello: hello}.Build()
	is.NoErr(s.Send(f))

	f, err = s.Receive()
	is.NoErr(err)
	is.Equal(f.GetWelcome().GetEntry().GetName(), "entry")

	p := &fakeSidecar{conn: c, control: s, reply: reply}
	go p.run(tb.Context())

	return p
}

func (p *fakeSidecar) run(ctx context.Context) {
	for {
		s, err := p.conn.Accept(ctx)
		if err != nil {
			return
		}

		go p.serve(s)
	}
}

func (p *fakeSidecar) serve(s *quic.Stream) {
	defer s.Close()

	f, err := s.Receive()
	if err != nil {
		return
	}

	out := &wire.Frame{}

	switch f.WhichBody() {
	case wire.Frame_Start_case:
		r := p.reply(f.GetStart())
		if r == nil {
			return
		}

		out.SetStartReply(r)
	case wire.Frame_Close_case:
		r := wire.CloseReply_builder{Incarnation: 1}.Build()

		c := wire.Closed_builder{Submission: f.GetClose().GetSubmissions()[0]}.Build()
		r.SetClosed([]*wire.Closed{c})
		out.SetCloseReply(r)
	default:
		return
	}

	if s.Send(out) == nil {
		if f, err := s.Receive(); err == nil && f.WhichBody() == wire.Frame_StartAck_case {
			p.acks.Add(1)
		}
	}
}

func (p *fakeSidecar) heartbeat(sequence, epoch uint64) error {
	b := wire.Heartbeat_builder{
		Sequence: sequence, LeaseEpoch: epoch, Load: wire.Load_builder{Sequence: sequence, HeldSlots: 5}.Build(),
	}.Build()

	return p.control.Send(wire.Frame_builder{Heartbeat: b}.Build())
}

func echo(s *wire.Start) *wire.StartReply {
	return wire.StartReply_builder{Id: s.GetId(), Completed: wire.Completed_builder{Output: s.GetInput()}.Build()}.Build()
}

func eventually(is *is.I, condition func() bool) {
	is.Helper()

	for end := time.Now().Add(10 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			is.Fail() // not within 10 s
		}
	}
}

func start() *wire.Start {
	return wire.Start_builder{Id: wire.TaskId_builder{Submission: "s"}.Build(), Input: []byte("input")}.Build()
}

// Guards against starts that do not carry the lease epoch of the latest heartbeat, outcomes that are not acknowledged,
// and a sidecar that never receives the log records that it lacks.
func TestHeartbeatsStartsAndRecords(t *testing.T) {
	is := is.New(t)
	fx := newFixture(t)
	fx.replica.ApplyLog([]ledger.Record{ledger.NewRecord(0, time.Now(), ledger.WorkerLeftRecord("x", 1, false))}, 1)

	epochs := make(chan uint64, 1)
	p := fx.dial(t, func(s *wire.Start) *wire.StartReply {
		epochs <- s.GetLeaseEpoch()

		return echo(s)
	})
	is.NoErr(p.heartbeat(1, 42))

	f, err := p.control.Receive()
	is.NoErr(err)
	is.Equal(f.GetHeartbeatAck().GetSequence(), uint64(1))
	is.Equal(f.GetHeartbeatAck().GetLeaseEpoch(), uint64(42))
	is.Equal(f.GetHeartbeatAck().GetPosition(), int64(1))

	f, err = p.control.Receive()
	is.NoErr(err)
	is.Equal(f.GetRecords().GetThrough(), int64(1))
	is.Equal(len(f.GetRecords().GetRecords()), 1)

	w, found := fx.fleet.View().Find("w")
	is.True(found)
	is.Equal(w.Load(), 5)

	reply, sent, err := fx.hub.Start(t.Context(), w, start())
	is.NoErr(err)
	is.True(sent)
	is.Equal(string(reply.GetCompleted().GetOutput()), "input")
	is.Equal(<-epochs, uint64(42))
	eventually(is, func() bool { return p.acks.Load() == 1 })

	c, err := fx.hub.Close(t.Context(), "w", 1, []string{"s"}, true)
	is.NoErr(err)
	is.Equal(c.GetClosed()[0].GetSubmission(), "s")

	_, err = fx.hub.Close(t.Context(), "w", 2, []string{"s"}, true)
	is.True(err != nil) // only the connected incarnation can confirm a close
}

// Guards against a sidecar that registers a worker other than the one of its connection, and against a registration that
// is not answered.
func TestRegister(t *testing.T) {
	is := is.New(t)
	fx := newFixture(t)
	p := fx.dial(t, echo)

	for name, ok := range map[string]bool{"w": true, "v": false} {
		m := wire.Register_builder{Worker: wire.Worker_builder{Name: name, Incarnation: 1}.Build()}.Build()

		reply, err := p.conn.RoundTrip(t.Context(), wire.Frame_builder{Register: m}.Build())
		is.NoErr(err)
		is.Equal(reply.GetRegisterReply().GetOk(), ok)
	}

	is.Equal(fx.registered.Load(), int64(1))
}

// Guards against reporting a start as not sent when the connection broke after it was sent, since the task may have run,
// and against a disconnected worker that stays in the view.
func TestBrokenConnection(t *testing.T) {
	is := is.New(t)
	fx := newFixture(t)
	received := make(chan bool)
	p := fx.dial(t, func(*wire.Start) *wire.StartReply {
		close(received)
		<-t.Context().Done()

		return nil
	})
	eventually(is, func() bool { return len(fx.fleet.View().Workers()) == 1 })
	w := fx.fleet.View().Workers()[0]

	go func() {
		<-received
		p.conn.Close("test")
	}()

	_, sent, err := fx.hub.Start(t.Context(), w, start())
	is.True(err != nil)
	is.True(sent)
	eventually(is, func() bool { return len(fx.fleet.View().Workers()) == 0 })

	_, sent, err = fx.hub.Start(t.Context(), w, start())
	is.True(err != nil)
	is.True(!sent)

	// The same incarnation gets the same worker object when it reconnects.
	fx.dial(t, echo)
	eventually(is, func() bool { return len(fx.fleet.View().Workers()) == 1 })
	is.Equal(fx.fleet.View().Workers()[0], w)
	_, _, err = fx.hub.Start(t.Context(), w, start())
	is.NoErr(err)
}

// BenchmarkStart measures one exchange over QUIC on loopback, including both ends.
func BenchmarkStart(b *testing.B) {
	is := is.New(b)
	fx := newFixture(b)
	fx.dial(b, echo)
	eventually(is, func() bool { return len(fx.fleet.View().Workers()) == 1 })
	w := fx.fleet.View().Workers()[0]

	b.SetParallelism(64)
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			if _, _, err := fx.hub.Start(b.Context(), w, start()); err != nil {
				b.Error(err)
			}
		}
	})
}
