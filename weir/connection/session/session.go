// Package session exchanges frames for repeatable jobs in both directions over one stream. A bounded send queue keeps
// callers from blocking on the network.
//
// A session is active at a process while the process has work of the peer, or the peer has work of the process. Only
// then do the short times hold that bound two runs of one task. A session without work sends and expects keep-alives at
// a longer interval, so that it costs almost nothing.
package session

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/skylarkweir/skylarkweir/weir/connection/quic"
	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
	"github.com/skylarkweir/skylarkweir/weir/process/uptime"
)

// Session is one stream to a peer. Once ended it cannot be reused.
type Session struct {
	Liveness

	conn   *quic.Conn
	stream *quic.Stream
	queue  sendQueue
	ended  atomic.Bool
	done   chan struct{}
}

// New returns a session over a stream of the connection.
func New(c *quic.Conn, s *quic.Stream) *Session {
	t := &Session{conn: c, stream: s, queue: newSendQueue(), done: make(chan struct{})}
	t.RecordContact(uptime.Now(), false)

	return t
}

// Send queues a frame. If the queue is full because the peer does not read, the session ends.
func (s *Session) Send(f *wire.Frame) {
	if s.ended.Load() {
		return
	}

	s.RecordSent(uptime.Now())

	if !s.queue.add(f) {
		s.End("the peer does not read")
	}
}

// Alive reports whether the session has not ended and the peer is within its time.
func (s *Session) Alive() bool { return !s.ended.Load() && !s.Expired(uptime.Now()) }

// Responsive reports whether new work may be given to the peer: the session has not ended and no keep-alive of the peer
// is overdue at the time now.
func (s *Session) Responsive(now time.Duration) bool {
	return !s.ended.Load() && s.Liveness.Responsive(now)
}

// EndIfUnresponsive ends the session if the peer is unresponsive at the time now.
func (s *Session) EndIfUnresponsive(now time.Duration) {
	if !s.ended.Load() && s.Expired(now) {
		s.endUnresponsive()
	}
}

// Done returns a channel that is closed when the session has ended.
func (s *Session) Done() <-chan struct{} { return s.done }

// End ends the session and closes its connection with the reason.
func (s *Session) End(reason string) { s.end(reason, s.conn.Close) }

func (s *Session) endUnresponsive() { s.end("peer unresponsive", s.conn.CloseUnresponsive) }

func (s *Session) end(reason string, closeConn func(string)) {
	if s.ended.CompareAndSwap(false, true) {
		close(s.done)
		s.stream.Reset()
		closeConn(reason)
	}
}

// Run passes the frames of the peer to handle, one at a time, until the session ends.
func (s *Session) Run(ctx context.Context, handle func(*wire.Frame)) {
	stop := context.AfterFunc(ctx, func() { s.End("shutdown") })
	defer stop()

	w := &writer{session: s}
	go w.run()

	for {
		f, err := s.stream.Receive()
		if err != nil || s.ended.Load() {
			s.End("stream ended")

			return
		}

		now := uptime.Now()

		// A frame that waited in the socket while this process was paused does not show that the peer is alive now.
		if s.Expired(now) {
			s.endUnresponsive()

			return
		}

		s.RecordContact(now, showsWork(f))
		handle(f)
	}
}

// showsWork reports whether a frame shows that the peer has work of this side.
func showsWork(f *wire.Frame) bool {
	switch f.WhichBody() {
	case wire.Frame_KeepAlive_case:
		return f.GetKeepAlive().GetActive()
	case wire.Frame_Room_case:
		return f.GetRoom().GetActive()
	case wire.Frame_Reserve_case, wire.Frame_Reserved_case, wire.Frame_Launch_case:
		return true
	default:
		return false
	}
}

// writer sends the queued frames, in one write those that are queued at the same time.
type writer struct{ session *Session }

func (w *writer) run() {
	for {
		select {
		case <-w.session.queue.filled:
			if err := w.session.stream.SendAll(slices.Values(w.session.queue.takeAll())); err != nil {
				w.session.End("send failed")

				return
			}
		case <-w.session.done:
			return
		}
	}
}
