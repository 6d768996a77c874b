// Package session carries frames for repeatable jobs both ways over one stream, with a bounded queue before the writer,
// so that no decision waits for the network.
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
	// KeepAlive is how often each side sends something.
	KeepAliveInterval = 150 * time.Millisecond
	// Silence ends a session: neither side acts for a peer that it has not heard for this time. Silence and the lease of
	// the tasks together stay below the time after which callers send a job again.
	Timeout = 500 * time.Millisecond
	// queue is the number of frames that may wait for the writer.
	maxQueuedFrames = 4096
)

// Session is one stream to a peer. It ends once and does not come back.
type Session struct {
	conn      *quic.Conn
	stream    *quic.Stream
	sendQueue chan *wire.Frame
	// heard is the time of the last frame received, on the clock of uptime.
	lastContact atomic.Int64
	// sent is the time of the last frame queued, on the same clock.
	lastSent atomic.Int64
	ended    atomic.Bool
	done     chan struct{}
}

// New returns a session over a stream.
func New(c *quic.Conn, s *quic.Stream) *Session {
	t := &Session{conn: c, stream: s, sendQueue: make(chan *wire.Frame, maxQueuedFrames), done: make(chan struct{})}
	t.lastContact.Store(int64(uptime.Now()))

	return t
}

// Send queues a frame. A peer that takes nothing for so long that the queue is full loses the session.
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

// Heard returns how long ago the peer was heard.
func (s *Session) SinceContact() time.Duration {
	return uptime.Now() - time.Duration(s.lastContact.Load())
}

// Quiet returns how long ago something was sent.
func (s *Session) SinceSent() time.Duration { return uptime.Now() - time.Duration(s.lastSent.Load()) }

// Alive tells whether the session has not ended and the peer was heard lately.
func (s *Session) Alive() bool { return s.AliveAt(uptime.Now()) }

// AliveAt is Alive at a time that the caller has read from the clock, which is a system call.
func (s *Session) AliveAt(now time.Duration) bool {
	return !s.ended.Load() && now-time.Duration(s.lastContact.Load()) < Timeout
}

// Done is closed when the session has ended.
func (s *Session) Done() <-chan struct{} { return s.done }

// End ends the session.
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

		// A frame that lay in the socket while this process stood still is no sign of life now.
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

// watchdog ends a session whose peer is silent.
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
