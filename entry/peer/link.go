package peer

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/skylarkweir/skylarkweir/entry/caller"
	"github.com/skylarkweir/skylarkweir/weir/connection/quic"
	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
)

const (
	// lostAfter is the silence after which an entry counts as lost.
	lostAfter = 2 * time.Second
	// exchangeInterval is the time between exchanges, and busyInterval while an answer is awaited. A new agreement and a
	// forward start one at once, so the interval bounds only how late other records pass on without the log; it is below
	// the allowance delay of 5 s, within which the sidecars have to know who joined.
	exchangeInterval = 3 * time.Second
	busyInterval     = 500 * time.Millisecond
	// The wait between attempts to connect doubles from minRedial to maxRedial.
	minRedial = 100 * time.Millisecond
	maxRedial = 5 * time.Second
)

// link is the connection that this entry opens to another one. It carries all exchanges that this entry starts.
type link struct {
	peers   *Peers
	address string
	// stop ends the link. It is nil until Run has started the link, and guarded by the mutex of peers.
	stop context.CancelFunc
	// wake asks for an exchange, or for an attempt to connect, without further delay.
	wake chan struct{}
	// waiting is the number of forwards without an answer.
	waiting atomic.Int64
	// used is when the link was last needed, in nanoseconds since the Unix epoch.
	used atomic.Int64

	mu sync.Mutex
	// conn is nil while there is no connection, and entry is what answers at its other end.
	conn  *quic.Conn
	entry *wire.Entry
	// changed is closed when conn changes.
	changed chan struct{}
	// silent holds the workers that the peer confirmed as silent in its latest exchange.
	silent map[string]bool
}

func newLink(p *Peers, address string) *link {
	l := &link{peers: p, address: address, wake: make(chan struct{}, 1), changed: make(chan struct{})}
	l.touch()

	return l
}

func (l *link) touch() { l.used.Store(time.Now().UnixNano()) }

func (l *link) idle(now time.Time) time.Duration {
	if l.waiting.Load() > 0 {
		return 0
	}

	return now.Sub(time.Unix(0, l.used.Load()))
}

func (l *link) kick() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

func (l *link) current() (*quic.Conn, *wire.Entry) {
	l.mu.Lock()
	defer l.mu.Unlock()

	return l.conn, l.entry
}

func (l *link) set(c *quic.Conn, e *wire.Entry) {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.conn, l.entry, l.silent = c, e, nil
	close(l.changed)
	l.changed = make(chan struct{})
}

// run keeps the connection until ctx ends.
func (l *link) run(ctx context.Context) {
	defer l.peers.group.Done()

	redial := minRedial

	for ctx.Err() == nil {
		c, e, err := l.dial(ctx)
		if err == nil && e.GetIncarnation() == l.peers.self.GetIncarnation() {
			c.Close("same entry")

			return
		}

		if err == nil {
			redial = minRedial

			l.peers.log.Info().Str("event", "peer_connected").Str("peer", e.GetName()).Str("address", l.address).Msg("connected to an entry")
			l.set(c, e)
			reason := l.exchanges(ctx, c)
			l.set(nil, nil)
			c.Close(reason)
			l.peers.log.Warn().Str("event", "peer_lost").Str("peer", e.GetName()).Str("address", l.address).Str("reason", reason).Msg("lost an entry")
		}

		select {
		case <-time.After(redial):
			redial = min(2*redial, maxRedial)
		case <-l.wake:
		case <-ctx.Done():
		}
	}
}

func (l *link) dial(ctx context.Context) (*quic.Conn, *wire.Entry, error) {
	ctx, stop := context.WithTimeout(ctx, lostAfter)
	defer stop()

	c, err := l.peers.node.Dial(ctx, l.address)
	if err != nil {
		return nil, nil, err
	}

	h := &wire.Hello{}
	h.SetRole(wire.Role_ROLE_ENTRY)
	h.SetEntry(l.peers.self)
	h.SetPosition(l.peers.book.State().Position())

	f := &wire.Frame{}
	f.SetHello(h)

	control, err := c.Open(ctx)
	if err != nil {
		c.Close("no control stream")

		return nil, nil, err
	}

	control.SetDeadline(time.Now().Add(lostAfter))

	err = control.Send(f)
	if err == nil {
		f, err = control.Receive()
	}

	if err != nil || !f.HasWelcome() {
		c.Close("no welcome")

		return nil, nil, merry.Prepend(err, "no welcome")
	}

	return c, f.GetWelcome().GetEntry(), nil
}

// exchanges runs one exchange after the other and returns why the connection is given up.
func (l *link) exchanges(ctx context.Context, c *quic.Conn) string {
	version := int64(-1)

	for {
		if err := l.exchange(ctx, c); err != nil {
			return err.Error()
		}

		interval := exchangeInterval
		if l.waiting.Load() > 0 {
			interval = busyInterval
		}

		timer := time.NewTimer(interval)

		// Only a new agreement is passed on at once: bindings change the ledger many times a second.
		for wait := true; wait; {
			changed := l.peers.book.Changed()
			if v := l.peers.book.State().Version(); v != version {
				version = v

				break
			}

			select {
			case <-changed:
			case <-timer.C:
				wait = false
			case <-l.wake:
				wait = false
			case <-c.Done():
				return "connection ended"
			case <-ctx.Done():
				return "entry stops"
			}
		}

		timer.Stop()
	}
}

func (l *link) exchange(ctx context.Context, c *quic.Conn) error {
	ctx, stop := context.WithTimeout(ctx, lostAfter)
	defer stop()

	s, err := c.Open(ctx)
	if err != nil {
		return err
	}
	defer s.Close()

	s.SetDeadline(time.Now().Add(lostAfter))

	own := l.peers.exchange(l.peers.silence.Suspected())

	f := &wire.Frame{}
	f.SetExchange(own)

	if err := s.Send(f); err != nil {
		return err
	}

	f, err = s.Receive()
	if err != nil {
		return merry.Prepend(err, "no answer to the liveness check")
	}

	if !f.HasExchange() {
		return merry.New("the answer to an exchange is none")
	}

	silent := map[string]bool{}
	for _, w := range f.GetExchange().GetSilentWorkers() {
		silent[w] = true
	}

	l.mu.Lock()
	l.silent = silent
	l.mu.Unlock()

	return l.peers.level(s, own.GetPosition(), f.GetExchange().GetPosition())
}

// quiet tells whether the peer has confirmed that the worker is silent to it.
func (l *link) quiet(worker string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()

	return l.silent[worker]
}

// connected waits for a connection.
func (l *link) connected(ctx context.Context) (*quic.Conn, *wire.Entry, error) {
	ctx, stop := context.WithTimeout(ctx, lostAfter)
	defer stop()

	for {
		l.mu.Lock()
		c, e, changed := l.conn, l.entry, l.changed
		l.mu.Unlock()

		// Either the attempt to connect or the liveness check starts now, not after its interval.
		l.kick()

		if c != nil {
			return c, e, nil
		}

		select {
		case <-changed:
		case <-ctx.Done():
			return nil, nil, merry.Errorf("no connection to %s within %s", l.address, lostAfter)
		}
	}
}

// forward sends f and waits for the reply as long as the peer answers the liveness checks of exchanges, which close
// the connection otherwise.
func (l *link) forward(ctx context.Context, incarnation uint64, f *wire.Forward) (caller.Reply, bool, error) {
	l.waiting.Add(1)
	defer l.waiting.Add(-1)

	c, e, err := l.connected(ctx)
	if err != nil {
		return caller.Reply{}, false, err
	}

	if e.GetIncarnation() != incarnation {
		return caller.Reply{}, false, merry.Errorf("another incarnation answers at %s", l.address)
	}

	s, err := c.Open(ctx)
	if err != nil {
		return caller.Reply{}, false, err
	}

	stop := context.AfterFunc(ctx, s.Reset)
	defer stop()

	frame := &wire.Frame{}
	frame.SetForward(f)

	err = s.Send(frame)
	if err == nil {
		frame, err = s.Receive()
	}

	if err != nil || !frame.HasForwardReply() {
		s.Reset()

		return caller.Reply{}, false, merry.Prepend(err, "no reply")
	}

	r := frame.GetForwardReply()
	if r.GetNotHome() {
		s.Close()

		return caller.Reply{}, false, nil
	}

	// The end of the stream tells the home that the caller has the answer; a reset tells that it may not have it.
	written := func(whole bool) {
		if whole {
			s.Close()
		} else {
			s.Reset()
		}
	}

	return caller.NewReply(int(r.GetStatus()), r.GetBody(), written), true, nil
}
