// Package session exchanges frames for repeatable jobs in both directions over one stream. A bounded send queue keeps
// callers from blocking on the network.
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
	// KeepAliveInterval is the interval at which each side sends a frame.
	KeepAliveInterval = 150 * time.Millisecond
	// Timeout is the time without a frame from the peer after which a session ends; neither side acts for an unresponsive
	// peer. The sum of Timeout and the lease of the tasks is below the time after which callers resubmit a job.
	Timeout = 500 * time.Millisecond
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
	ended    atomic.Bool
	done     chan struct{}
}

// New returns a session over a stream of the connection.
func New(c *quic.Conn, s *quic.Stream) *Session {
	t := &Session{conn: c, stream: s, sendQueue: make(chan *wire.Frame, maxQueuedFrames), done: make(chan struct{})}
	t.lastContact.Store(int64(uptime.Now()))

	return t
}

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

// SinceContact returns the time since the last frame from the peer.
func (s *Session) SinceContact() time.Duration {
	return uptime.Now() - time.Duration(s.lastContact.Load())
}

// SinceSent returns the time since a frame was last queued.
func (s *Session) SinceSent() time.Duration { return uptime.Now() - time.Duration(s.lastSent.Load()) }

// Alive reports whether the session has not ended and the last contact is more recent than Timeout.
func (s *Session) Alive() bool { return s.AliveAt(uptime.Now()) }

// AliveAt is like Alive at the given time of package uptime. It saves callers with many sessions a system call for each.
func (s *Session) AliveAt(now time.Duration) bool {
	return !s.ended.Load() && now-time.Duration(s.lastContact.Load()) < Timeout
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
	w := &writer{s}
	go w.run()

	d := &watchdog{s}
	go d.run(ctx)

	for {
		f, err := s.stream.Receive()
		if err != nil || s.ended.Load() {
			s.End("stream ended")

			return
		}

		// A frame that waited in the socket while this process was paused does not show that the peer is alive now.
		if s.SinceContact() >= Timeout {
			s.End("silence")

			return
		}

		s.lastContact.Store(int64(uptime.Now()))
		handle(f)
	}
}

type writer struct{ session *Session }

func (w *writer) run() {
	for {
		select {
		case f := <-w.session.sendQueue:
			if err := w.session.stream.Send(f); err != nil {
				w.session.End("send failed")

				return
			}
		case <-w.session.done:
			return
		}
	}
}

// watchdog ends a session whose peer is unresponsive.
type watchdog struct{ session *Session }

func (w *watchdog) run(ctx context.Context) {
	t := time.NewTicker(KeepAliveInterval)
	defer t.Stop()

	for {
		select {
		case <-t.C:
			if !w.session.Alive() {
				w.session.End("silence")

				return
			}
		case <-w.session.done:
			return
		case <-ctx.Done():
			w.session.End("shutdown")

			return
		}
	}
}
