package session_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/skylarkweir/skylarkweir/weir/connection/quic"
	"github.com/skylarkweir/skylarkweir/weir/connection/session"
	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
	"github.com/skylarkweir/skylarkweir/weir/process/uptime"
)

const (
	// waitTimeout limits every wait of a test.
	waitTimeout = 20 * time.Second
	// tick is the time between two checks of a session.
	tick = 50 * time.Millisecond
)

// pair is the two ends of a session over loopback.
type pair struct {
	near, far *session.Session
	// frames holds the frames that the near end has received.
	frames chan *wire.Frame
}

func newPair(t *testing.T) *pair {
	t.Helper()

	is := is.New(t)
	keys, err := quic.SharedKeys(t.Name())
	is.NoErr(err)

	nearNode, farNode := &quic.Node{}, &quic.Node{}
	is.NoErr(nearNode.Listen("127.0.0.1:0", keys))
	is.NoErr(farNode.Listen("127.0.0.1:0", keys))
	t.Cleanup(func() { _ = nearNode.Close(); _ = farNode.Close() })

	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()

	c, err := farNode.Dial(ctx, nearNode.Address().String())
	is.NoErr(err)
	s, err := c.Open(ctx)
	is.NoErr(err)
	is.NoErr(s.Send(wire.Frame_builder{Attach: &wire.Attach{}}.Build()))

	accepted, err := nearNode.Accept(ctx)
	is.NoErr(err)
	stream, err := accepted.Accept(ctx)
	is.NoErr(err)

	_, err = stream.Receive()
	is.NoErr(err)

	p := &pair{near: session.New(accepted, stream), far: session.New(c, s), frames: make(chan *wire.Frame, 1024)}
	go p.run(t.Context())
	go p.runFar(t.Context())

	return p
}

func (p *pair) run(ctx context.Context) { p.near.Run(ctx, func(f *wire.Frame) { p.frames <- f }) }

func (p *pair) runFar(ctx context.Context) { p.far.Run(ctx, func(*wire.Frame) {}) }

// receive waits for the next frame at the near end.
func (p *pair) receive(t *testing.T) *wire.Frame {
	t.Helper()

	select {
	case f := <-p.frames:
		return f
	case <-time.After(waitTimeout):
		t.Fatalf("no frame arrived within %s", waitTimeout)

		return nil
	}
}

// Guards against a session with work that outlives the time which bounds two runs of one task, and against one without
// work that ends although nothing runs.
func TestTimeoutFollowsTheWork(t *testing.T) {
	is := is.New(t)
	p := newPair(t)
	p.near.AllowIdleKeepAlives()

	now := uptime.Now()
	is.True(!p.near.Expired(now + session.IdleTimeout - session.Timeout))

	p.near.SetActive(true, now)
	is.True(p.near.Expired(now + session.Timeout))

	p.near.SetActive(false, now)
	is.True(!p.near.Expired(now + session.Timeout))

	p.near.EndIfUnresponsive(now + session.IdleTimeout + time.Second)
	is.True(!p.near.Alive())
}

// Guards against a session that ends at its first request because the last idle keep-alive is older than the time for a
// session with work.
func TestPeerHasTimeToAnswerTheFirstRequest(t *testing.T) {
	is := is.New(t)
	p := newPair(t)
	p.near.AllowIdleKeepAlives()

	begin := uptime.Now() + session.IdleKeepAliveInterval
	p.near.SetActive(true, begin)
	is.True(!p.near.Expired(begin + session.Timeout - session.KeepAliveInterval))

	// Further requests do not give an unresponsive peer more time.
	p.near.SetActive(true, begin+session.Timeout/2)
	is.True(p.near.Expired(begin + session.Timeout))
}

// Guards against a peer of an older version, which sends and expects keep-alives at the short interval only.
func TestPeerWithoutIdleKeepAlives(t *testing.T) {
	is := is.New(t)
	p := newPair(t)
	now := uptime.Now()

	is.True(p.near.KeepAliveDue(now+session.KeepAliveInterval, tick))
	is.True(p.near.Expired(now + session.Timeout + session.KeepAliveInterval))
}

// Guards against a side without work that sends keep-alives at the long interval while the peer has work and expects
// them at the short one.
func TestKeepAlivesFollowTheWorkOfThePeer(t *testing.T) {
	is := is.New(t)
	p := newPair(t)
	p.near.AllowIdleKeepAlives()
	p.near.Send(wire.Frame_builder{KeepAlive: &wire.KeepAlive{}}.Build())

	is.True(!p.near.KeepAliveDue(uptime.Now()+session.KeepAliveInterval, tick))

	p.far.Send(wire.Frame_builder{KeepAlive: wire.KeepAlive_builder{Active: true}.Build()}.Build())
	p.receive(t)

	now := uptime.Now()
	is.True(!p.near.Idle(now))
	is.True(p.near.KeepAliveDue(now+session.KeepAliveInterval, tick))
	is.True(p.near.Idle(now + session.Timeout + session.KeepAliveInterval)) // the peer has said nothing since
}

// Guards against keep-alives of the entry that are sent shortly before those of the sidecar and so never carry their
// acknowledgement, and against an entry that sends none because the sidecar is silent.
func TestEntryAnswersKeepAlives(t *testing.T) {
	for _, idle := range []bool{false, true} {
		is := is.New(t)

		var entry, sidecar session.Liveness

		interval := session.KeepAliveInterval

		if idle {
			entry.AllowIdleKeepAlives()
			sidecar.AllowIdleKeepAlives()

			interval = session.IdleKeepAliveInterval
		}

		answers := 0

		for now := time.Second; now < 11*time.Second; now += tick {
			if sidecar.KeepAliveDue(now, tick) {
				sidecar.RecordSent(now)
				is.True(entry.AnswerDue(now))
				entry.RecordSent(now)

				answers++
			}

			is.True(!entry.AnswerOverdue(now, tick))
		}

		is.Equal(answers, 1+int((10*time.Second-1)/interval))
		is.True(entry.AnswerOverdue(11*time.Second+interval+interval/3, tick))
	}
}

// Guards against new work for a peer whose idle keep-alive is overdue.
func TestOverduePeerGetsNoNewWork(t *testing.T) {
	is := is.New(t)
	p := newPair(t)
	p.near.AllowIdleKeepAlives()

	now := uptime.Now()
	is.True(p.near.Responsive(now + session.IdleKeepAliveInterval))
	is.True(!p.near.Responsive(now + session.IdleKeepAliveInterval + session.Timeout + session.KeepAliveInterval))
	is.True(p.near.Alive())
}

// Guards against frames that are lost or change their order when they are sent in one write.
func TestQueuedFramesKeepTheirOrder(t *testing.T) {
	is := is.New(t)
	p := newPair(t)

	const frames = 500

	for n := range frames {
		p.far.Send(wire.Frame_builder{Release: wire.Release_builder{Job: uint64(n)}.Build()}.Build())
	}

	for n := range frames {
		is.Equal(p.receive(t).GetRelease().GetJob(), uint64(n))
	}
}
