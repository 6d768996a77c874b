package repeatable

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/skylarkweir/skylarkweir/weir/connection/quic"
	"github.com/skylarkweir/skylarkweir/weir/connection/session"
	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
	"github.com/skylarkweir/skylarkweir/weir/process/sessionset"
)

const (
	// dialTimeout limits the time to open a session. Entries that all sidecars dial at once answer late.
	dialTimeout = 1500 * time.Millisecond
	// minRedialDelay and maxRedialDelay limit the pause before an entry is dialled again.
	minRedialDelay = 50 * time.Millisecond
	maxRedialDelay = 250 * time.Millisecond
	// deadRedialDelay is the pause once an entry was unreachable for deadAfter. It may be gone for good.
	deadRedialDelay = 5 * time.Second
	deadAfter       = 30 * time.Second
)

// link keeps a session with one entry and dials it again when the session ends, until its context ends. Its fields
// change under the mutex of the links.
type link struct {
	links  *Links
	entry  sessionset.Entry
	cancel context.CancelFunc
	// session is nil while there is none.
	session *session.Session
	// hadSession is true once there was a session.
	hadSession bool
	// withoutSessionSince is when the last session ended, or when the link was created; it is meaningful while there is no
	// session.
	withoutSessionSince time.Time
	// surplusSince is when the entry left the set of sessions, zero while it is in the set.
	surplusSince time.Time
}

func (k *link) run(ctx context.Context) {
	delay, failures := minRedialDelay, 0

	for ctx.Err() == nil {
		name, s, err := k.dial(ctx)
		if err == nil {
			k.setSession(s)
			k.links.worker.Serve(ctx, name, s)
			k.setSession(nil)

			delay, failures = minRedialDelay, 0
		} else {
			failures++
			k.logFailure(ctx, err, failures)

			delay = min(2*delay, k.maxDelay())
		}

		select {
		case <-time.After(delay):
		case <-ctx.Done():
		}
	}
}

// logFailure logs a failed attempt to dial, if it is the first since the last session.
func (k *link) logFailure(ctx context.Context, err error, failures int) {
	if failures == 1 && ctx.Err() == nil {
		k.links.log.Info().Err(err).Str("event", "dial_failed").Str("address", k.entry.Address()).
			Msg("no session with an entry; dialling it again until there is one")
	}
}

func (k *link) setSession(s *session.Session) {
	k.links.mu.Lock()
	defer k.links.mu.Unlock()

	k.session = s
	k.hadSession = k.hadSession || s != nil
	k.withoutSessionSince = time.Now()

	k.links.notify()
}

// maxDelay returns the longest pause between two attempts to dial.
func (k *link) maxDelay() time.Duration {
	k.links.mu.Lock()
	defer k.links.mu.Unlock()

	if time.Since(k.withoutSessionSince) > deadAfter {
		return deadRedialDelay
	}

	return maxRedialDelay
}

// dial opens a session and returns it with the name of the entry.
func (k *link) dial(ctx context.Context) (string, *session.Session, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()

	c, err := k.links.node.Dial(ctx, k.entry.Address())
	if err != nil {
		return "", nil, err
	}

	name, s, err := k.attach(ctx, c)
	if err != nil {
		c.Close("no session")
	}

	return name, s, err
}

func (k *link) attach(ctx context.Context, c *quic.Conn) (string, *session.Session, error) {
	s, err := c.Open(ctx)
	if err != nil {
		return "", nil, err
	}

	s.SetDeadline(time.Now().Add(dialTimeout))

	if err := s.Send(wire.Frame_builder{Attach: wire.Attach_builder{
		Sidecar: k.links.worker.name, Incarnation: k.links.incarnation, IdleKeepAlives: true,
	}.Build()}.Build()); err != nil {
		return "", nil, err
	}

	f, err := s.Receive()
	if err != nil {
		return "", nil, err
	}

	if !f.HasAttached() {
		return "", nil, merry.New("entry did not answer the Attach frame with Attached")
	}

	s.SetDeadline(time.Time{})

	t := session.New(c, s)
	if f.GetAttached().GetIdleKeepAlives() {
		t.AllowIdleKeepAlives()
	}

	return f.GetAttached().GetEntry(), t, nil
}
