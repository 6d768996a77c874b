package sidecar

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/skylarkweir/skylarkweir/weir/connection/quic"
	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
	"github.com/skylarkweir/skylarkweir/weir/process/fleet"
)

// registerTimeout bounds the time of a registration. If the log is unavailable for longer, the sidecar registers again.
const registerTimeout = 30 * time.Second

// link is the connection of one sidecar.
type link struct {
	hub     *Hub
	conn    *quic.Conn
	control *quic.Stream
	worker  *fleet.Worker
	// leaseEpoch is the epoch of the latest heartbeat.
	leaseEpoch atomic.Uint64
	// sendMutex serialises frames on the control stream.
	sendMutex sync.Mutex
	// position is the log position that the sidecar has reported or that was sent to it at sentAt. Both fields are guarded
	// by sendMutex.
	position int64
	sentAt   time.Time
}

func (l *link) send(f *wire.Frame) error {
	l.sendMutex.Lock()
	defer l.sendMutex.Unlock()

	return l.control.Send(f)
}

func (l *link) sendWelcome() error {
	f := wire.Frame_builder{
		Welcome: wire.Welcome_builder{Entry: l.hub.entry, Position: l.hub.replica.State().Position()}.Build(),
	}.Build()

	return l.send(f)
}

// run reads the control stream until it ends.
func (l *link) run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, l.control.Reset)
	defer stop()

	for {
		f, err := l.control.Receive()
		if err != nil {
			return err
		}

		now := time.Now()
		l.hub.workers.RecordContact(l.worker, now)

		switch f.WhichBody() {
		case wire.Frame_Heartbeat_case:
			err = l.handleHeartbeat(f.GetHeartbeat(), now)
		case wire.Frame_Records_case:
			err = l.hub.replica.ApplyPeerRecords(f.GetRecords())
		case wire.Frame_Leaving_case:
			l.hub.workers.MarkLeaving(l.worker)
		default:
			err = merry.Errorf("unexpected frame %v on the control stream", f.WhichBody())
		}

		if err != nil {
			return err
		}
	}
}

func (l *link) handleHeartbeat(b *wire.Heartbeat, now time.Time) error {
	// The epoch is stored before the load is reported, since the report may cause a queued task to start with this epoch.
	l.leaseEpoch.Store(b.GetLeaseEpoch())
	l.hub.workers.Report(l.worker, b.GetLoad(), now)

	m := wire.HeartbeatAck_builder{
		Sequence: b.GetSequence(), LeaseEpoch: b.GetLeaseEpoch(), Position: l.hub.replica.State().Position(),
	}.Build()

	if err := l.send(wire.Frame_builder{HeartbeatAck: m}.Build()); err != nil {
		return err
	}

	return l.sendRecords(b.GetPosition(), now)
}

// resendInterval is the time after which a sidecar that still reports an older position is sent the same records again.
const resendInterval = 2 * time.Second

// sendRecords sends the records after the position that the sidecar has reported. It runs after each heartbeat and not
// after each change of the replica, because otherwise all entries would send each record to each sidecar at once.
func (l *link) sendRecords(position int64, now time.Time) error {
	l.sendMutex.Lock()
	defer l.sendMutex.Unlock()

	if position >= l.position || now.Sub(l.sentAt) > resendInterval {
		l.position = position
	}

	r := l.hub.replica.RecordsSince(l.position)
	if r == nil {
		return nil
	}

	if err := l.control.Send(wire.Frame_builder{Records: r}.Build()); err != nil {
		return err
	}

	l.position, l.sentAt = max(r.GetThrough(), r.GetSnapshotPosition()), now

	return nil
}

// acceptor serves the streams that the sidecar opens.
type acceptor struct{ link *link }

func (a *acceptor) run(ctx context.Context) {
	for {
		s, err := a.link.conn.Accept(ctx)
		if err != nil {
			return
		}

		go (&exchange{a.link, s}).run(ctx)
	}
}

func (l *link) start(ctx context.Context, m *wire.Start) (reply *wire.StartReply, sent bool, err error) {
	s, err := l.conn.Open(ctx)
	if err != nil {
		return nil, false, err
	}
	defer s.Close()

	stop := context.AfterFunc(ctx, s.Reset)
	defer stop()

	m.SetLeaseEpoch(l.leaseEpoch.Load())

	if err := s.Send(wire.Frame_builder{Start: m}.Build()); err != nil {
		return nil, true, err
	}

	in, err := s.Receive()
	if err != nil {
		return nil, true, err
	}

	l.hub.workers.RecordContact(l.worker, time.Now())

	if in.WhichBody() != wire.Frame_StartReply_case {
		return nil, true, merry.Errorf("worker %s answered a start with frame %v", l.worker.Name(), in.WhichBody())
	}

	l.acknowledge(s, in.GetStartReply())

	return in.GetStartReply(), true, nil
}

// acknowledge notifies the sidecar that the entry holds the outcome, and answers the heartbeat that the reply may carry.
func (l *link) acknowledge(s *quic.Stream, r *wire.StartReply) {
	m := &wire.StartAck{}

	if n := r.GetHeartbeatSequence(); n > 0 {
		l.leaseEpoch.Store(r.GetLeaseEpoch())
		m.SetHeartbeatSequence(n)
		m.SetLeaseEpoch(r.GetLeaseEpoch())
		m.SetPosition(l.hub.replica.State().Position())
	}

	f := &wire.Frame{}
	f.SetStartAck(m)
	// If the acknowledgement is lost, the sidecar only keeps the outcome in memory until the ticket expires.
	_ = s.Send(f)

	if m.GetHeartbeatSequence() > 0 {
		// An error means that the control stream has failed; its reader then ends the connection.
		_ = l.sendRecords(r.GetPosition(), time.Now())
	}
}

// exchange serves a registration on a stream that the sidecar opened.
type exchange struct {
	link   *link
	stream *quic.Stream
}

func (e *exchange) run(ctx context.Context) {
	defer e.stream.Close()

	f, err := e.stream.Receive()
	if err != nil || f.WhichBody() != wire.Frame_Register_case {
		e.stream.Reset()

		return
	}

	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()

	reply := wire.RegisterReply_builder{Ok: true}.Build()

	w := f.GetRegister().GetWorker()

	if w.GetName() != e.link.worker.Name() || w.GetIncarnation() != e.link.worker.Incarnation() {
		err = merry.New("registration is for another worker than the connection")
	} else {
		err = e.link.hub.registrar.Register(ctx, w)
	}

	if err != nil {
		reply.SetOk(false)
		reply.SetMessage(err.Error())
	}

	_ = e.stream.Send(wire.Frame_builder{RegisterReply: reply}.Build())
}
