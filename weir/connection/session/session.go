// Package session exchanges frames for repeatable jobs in both directions over one stream. A bounded send queue keeps
// callers from blocking on the network.
//
// A session is active at a process while the process has work of the peer, or the peer has work of the process. Only
// then do the short times hold that bound two runs of one task. A session without work sends and expects keep-alives at
// a longer interval, so that it costs almost nothing.
package session

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/skylarkweir/skylarkweir/weir/connection/quic"
	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
	"github.com/skylarkweir/skylarkweir/weir/process/uptime"
)

const (
	// KeepAliveInterval is the interval at which each side of a session with work sends a frame.
	KeepAliveInterval = 150 * time.Millisecond
	// Timeout is the time without a frame from the peer after which a session with work ends; neither side acts for an
	// unresponsive peer. The sum of Timeout and the lease of the tasks is below the time after which callers resubmit a
	// job.
	Timeout = 500 * time.Millisecond
	// IdleKeepAliveInterval replaces KeepAliveInterval on a session without work.
	IdleKeepAliveInterval = 750 * time.Millisecond
	// IdleTimeout replaces Timeout on a session without work. Nothing runs for the peer then, so a late detection of its
	// end delays new work only.
	IdleTimeout = 2500 * time.Millisecond
	// maxQueuedFrames bounds the frames that wait for the writer.
	maxQueuedFrames = 4096
)

// Session is one stream to a peer. Once ended it cannot be reused.
type Session struct {
	conn      *quic.Conn
	stream    *quic.Stream
	sendQueue chan *wire.Frame
	// lastContact is the time of the last frame received, on the clock of package uptime.
	lastContact atomic.Int64
	// lastSent is the time of the last frame queued, on the same clock.
	lastSent atomic.Int64
	// activeSince is when this side began to have work of the peer, on the same clock, zero while it has none.
	activeSince atomic.Int64
	// peerActiveAt is when the last frame arrived that shows that the peer has work of this side, zero before.
	peerActiveAt atomic.Int64
	// idleKeepAlives is true if both sides know idle keep-alives.
	idleKeepAlives atomic.Bool
	ended          atomic.Bool
	done           chan struct{}
}

// New returns a session over a stream of the connection.
func New(c *quic.Conn, s *quic.Stream) *Session {
	t := &Session{conn: c, stream: s, sendQueue: make(chan *wire.Frame, maxQueuedFrames), done: make(chan struct{})}
	t.lastContact.Store(int64(uptime.Now()))

	return t
}

// AllowIdleKeepAlives makes the long times apply while there is no work. It is called once both sides have said that
// they know them.
func (s *Session) AllowIdleKeepAlives() { s.idleKeepAlives.Store(true) }

// Send queues a frame. If the queue is full because the peer does not read, the session ends.
func (s *Session) Send(f *wire.Frame) {
	if s.ended.Load() {
		return
	}

	s.lastSent.Store(int64(uptime.Now()))

	select {
	case s.sendQueue <- f:
	default:
		s.End("the peer does not read")
	}
}

// SetActive records whether this side has work of the peer at the time now.
func (s *Session) SetActive(active bool, now time.Duration) {
	switch {
	case !active:
		s.activeSince.Store(0)
	default:
		s.activeSince.CompareAndSwap(0, int64(now))
	}
}

// Active reports whether this side has work of the peer.
func (s *Session) Active() bool { return s.activeSince.Load() != 0 }

// Idle reports whether neither side has work of the other at the time now.
func (s *Session) Idle(now time.Duration) bool {
	peerActiveAt := time.Duration(s.peerActiveAt.Load())

	return !s.Active() && (peerActiveAt == 0 || now-peerActiveAt >= Timeout)
}

// SinceContact returns the time since the last frame from the peer.
func (s *Session) SinceContact() time.Duration { return s.sinceContact(uptime.Now()) }

func (s *Session) sinceContact(now time.Duration) time.Duration {
	return now - time.Duration(s.lastContact.Load())
}

// Alive reports whether the session has not ended and the peer is within its time.
func (s *Session) Alive() bool { return s.AliveAt(uptime.Now()) }

// AliveAt is like Alive at the given time of package uptime. It saves callers with many sessions a system call for each.
func (s *Session) AliveAt(now time.Duration) bool { return !s.ended.Load() && !s.timedOut(now) }

// timedOut reports whether the peer has been unresponsive for longer than the work of this side allows. On a session
// that has just become active, the peer has Timeout from then on.
func (s *Session) timedOut(now time.Duration) bool {
	if s.idleKeepAlives.Load() && !s.Active() {
		return s.sinceContact(now) >= IdleTimeout
	}

	return now-max(time.Duration(s.lastContact.Load()), time.Duration(s.activeSince.Load())) >= Timeout
}

// Responsive reports whether new work may be given to the peer: the session has not ended and no keep-alive of the peer
// is overdue.
func (s *Session) Responsive(now time.Duration) bool {
	limit := IdleKeepAliveInterval + Timeout
	if !s.idleKeepAlives.Load() {
		limit = Timeout
	}

	return s.AliveAt(now) && s.sinceContact(now) < limit
}

// EndIfUnresponsive ends the session if the peer is unresponsive at the time now.
func (s *Session) EndIfUnresponsive(now time.Duration) {
	if !s.ended.Load() && s.timedOut(now) {
		s.End("silence")
	}
}

// KeepAliveDue reports whether a keep-alive is to be sent at the time now. It is called at an interval of at most
// KeepAliveInterval, and a session that is skipped in one call may not be late at the next one.
func (s *Session) KeepAliveDue(now time.Duration) bool {
	interval := KeepAliveInterval
	if s.idleKeepAlives.Load() && s.Idle(now) {
		interval = IdleKeepAliveInterval
	}

	return !s.ended.Load() && now-time.Duration(s.lastSent.Load()) >= interval-KeepAliveInterval/2
}

// Done returns a channel that is closed when the session has ended.
func (s *Session) Done() <-chan struct{} { return s.done }

// End ends the session and closes its connection with the reason.
func (s *Session) End(reason string) {
	if s.ended.CompareAndSwap(false, true) {
		close(s.done)
		s.stream.Reset()
		s.conn.Close(reason)
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
		if s.timedOut(now) {
			s.End("silence")

			return
		}

		s.lastContact.Store(int64(now))

		if showsWork(f) {
			s.peerActiveAt.Store(int64(now))
		}

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
		case f := <-w.session.sendQueue:
			if err := w.session.stream.SendAll(w.queued(f)); err != nil {
				w.session.End("send failed")

				return
			}
		case <-w.session.done:
			return
		}
	}
}

// maxFramesPerWrite bounds the frames of one write, so that a peer that reads slowly does not make it large.
const maxFramesPerWrite = 64

// queued yields a frame and those that are queued behind it.
func (w *writer) queued(f *wire.Frame) func(yield func(*wire.Frame) bool) {
	return func(yield func(*wire.Frame) bool) {
		for n := 0; yield(f) && n < maxFramesPerWrite; n++ {
			select {
			case f = <-w.session.sendQueue:
			default:
				return
			}
		}
	}
}
