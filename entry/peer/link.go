package peer

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/skylarkweir/skylarkweir/entry/caller"
	"github.com/skylarkweir/skylarkweir/weir/connection/quic"
	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
)

const (
	// peerTimeout bounds an attempt to connect, the wait for a connection and an exchange. An entry that does not answer
	// within it counts as lost, and the connection to it is closed.
	peerTimeout = 2 * time.Second
	// exchangeInterval is the time between two exchanges, pendingForwardInterval the time between them while a forward has
	// no reply. A new agreement and a forward start an exchange at once. For other records the interval bounds how late
	// peers receive them without the log; it is below the allowance delay of 5 s, within which the sidecars need to know
	// which entries joined.
	exchangeInterval       = 3 * time.Second
	pendingForwardInterval = 500 * time.Millisecond
	// The delay between attempts to connect doubles from minRedialDelay to maxRedialDelay.
	minRedialDelay = 100 * time.Millisecond
	maxRedialDelay = 5 * time.Second
)

// errUnexpectedFrame is returned when a peer answers with a frame of another kind than the request asks for.
var errUnexpectedFrame = errors.New("the peer answered with a frame of another kind")

// link keeps the connection that this entry opens to another entry. All streams that this entry opens use it.
type link struct {
	peers   *Peers
	address string
	// stop ends the link. It is nil until Run has started the link, and guarded by the mutex of peers.
	stop context.CancelFunc
	// wake has room for one request to start an exchange, or an attempt to connect, at once.
	wake chan struct{}
	// pendingForwards is the number of forwards without a reply.
	pendingForwards atomic.Int64
	// lastUsed is when the link was last needed, in nanoseconds since the Unix epoch.
	lastUsed atomic.Int64

	mu sync.Mutex
	// conn is nil while there is no connection. entry is the entry at its other end.
	conn  *quic.Conn
	entry *wire.Entry
	// changed is closed and replaced when conn changes.
	changed chan struct{}
	// unresponsive holds the workers that the peer confirmed as unresponsive in the latest exchange.
	unresponsive map[string]bool
}

func newLink(p *Peers, address string) *link {
	l := &link{peers: p, address: address, wake: make(chan struct{}, 1), changed: make(chan struct{})}
	l.markUsed()

	return l
}

func (l *link) markUsed() { l.lastUsed.Store(time.Now().UnixNano()) }

func (l *link) idleTime(now time.Time) time.Duration {
	if l.pendingForwards.Load() > 0 {
		return 0
	}

	return now.Sub(time.Unix(0, l.lastUsed.Load()))
}

func (l *link) requestExchange() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

func (l *link) connection() (*quic.Conn, *wire.Entry) {
	l.mu.Lock()
	defer l.mu.Unlock()

	return l.conn, l.entry
}

func (l *link) setConnection(c *quic.Conn, e *wire.Entry) {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.conn, l.entry, l.unresponsive = c, e, nil
	close(l.changed)
	l.changed = make(chan struct{})
}

// run connects, and reconnects after a loss, until ctx ends or the address turns out to be this entry.
func (l *link) run(ctx context.Context) {
	defer l.peers.linkGroup.Done()

	redialDelay := minRedialDelay

	for ctx.Err() == nil {
		c, e, err := l.dial(ctx)
		if err == nil && e.GetIncarnation() == l.peers.self.GetIncarnation() {
			c.Close("same entry")

			return
		}

		if err == nil {
			redialDelay = minRedialDelay

			l.peers.log.Info().Str("event", "peer_connected").Str("peer", e.GetName()).Str("address", l.address).
				Msg("connected to entry")
			l.setConnection(c, e)
			reason := l.exchangeLoop(ctx, c)
			l.setConnection(nil, nil)
			c.Close(reason)
			l.peers.log.Warn().Str("event", "peer_lost").Str("peer", e.GetName()).Str("address", l.address).Str("reason", reason).
				Msg("lost the connection to entry; reconnecting unless the link is no longer needed")
		}

		select {
		case <-time.After(redialDelay):
			redialDelay = min(2*redialDelay, maxRedialDelay)
		case <-l.wake:
		case <-ctx.Done():
		}
	}
}

func (l *link) dial(ctx context.Context) (*quic.Conn, *wire.Entry, error) {
	ctx, stop := context.WithTimeout(ctx, peerTimeout)
	defer stop()

	c, err := l.peers.node.Dial(ctx, l.address)
	if err != nil {
		return nil, nil, err
	}

	h := &wire.Hello{}
	h.SetRole(wire.Role_ROLE_ENTRY)
	h.SetEntry(l.peers.self)
	h.SetPosition(l.peers.replica.State().Position())

	f := &wire.Frame{}
	f.SetHello(h)

	control, err := c.Open(ctx)
	if err != nil {
		c.Close("no control stream")

		return nil, nil, err
	}

	control.SetDeadline(time.Now().Add(peerTimeout))

	err = control.Send(f)
	if err == nil {
		f, err = control.Receive()
	}

	if err == nil && !f.HasWelcome() {
		err = errUnexpectedFrame
	}

	if err != nil {
		c.Close("no welcome")

		return nil, nil, merry.Prepend(err, "no Welcome frame in answer to Hello")
	}

	return c, f.GetWelcome().GetEntry(), nil
}

// exchangeLoop runs one exchange after the other and returns the reason to close the connection.
func (l *link) exchangeLoop(ctx context.Context, c *quic.Conn) string {
	sentVersion := int64(-1)

	for {
		if err := l.exchange(ctx, c); err != nil {
			c.CloseUnresponsive(err.Error())

			return err.Error()
		}

		interval := exchangeInterval
		if l.pendingForwards.Load() > 0 {
			interval = pendingForwardInterval
		}

		timer := time.NewTimer(interval)

		// Only a new agreement starts an exchange at once, since bindings change the ledger many times a second.
		for waiting := true; waiting; {
			changed := l.peers.replica.Changed()
			if v := l.peers.replica.State().Version(); v != sentVersion {
				sentVersion = v

				break
			}

			select {
			case <-changed:
			case <-timer.C:
				waiting = false
			case <-l.wake:
				waiting = false
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
	ctx, stop := context.WithTimeout(ctx, peerTimeout)
	defer stop()

	s, err := c.Open(ctx)
	if err != nil {
		return err
	}
	defer s.Close()

	s.SetDeadline(time.Now().Add(peerTimeout))

	request := l.peers.newExchange(l.peers.workerLoss.Suspected())

	f := &wire.Frame{}
	f.SetExchange(request)

	if err := s.Send(f); err != nil {
		return err
	}

	f, err = s.Receive()
	if err != nil {
		return merry.Prepend(err, "no answer to the exchange")
	}

	if !f.HasExchange() {
		return merry.Prepend(errUnexpectedFrame, "no answer to the exchange")
	}

	unresponsive := map[string]bool{}
	for _, w := range f.GetExchange().GetSilentWorkers() {
		unresponsive[w] = true
	}

	l.mu.Lock()
	l.unresponsive = unresponsive
	l.mu.Unlock()

	return l.peers.syncRecords(s, request.GetPosition(), f.GetExchange().GetPosition())
}

// confirmsUnresponsive reports whether the peer confirmed in the latest exchange that the worker is unresponsive.
func (l *link) confirmsUnresponsive(worker string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()

	return l.unresponsive[worker]
}

// awaitConnection waits up to peerTimeout for a connection.
func (l *link) awaitConnection(ctx context.Context) (*quic.Conn, *wire.Entry, error) {
	ctx, stop := context.WithTimeout(ctx, peerTimeout)
	defer stop()

	for {
		l.mu.Lock()
		c, e, changed := l.conn, l.entry, l.changed
		l.mu.Unlock()

		// The next attempt to connect, or the exchange that checks liveness, starts now and not after its interval.
		l.requestExchange()

		if c != nil {
			return c, e, nil
		}

		select {
		case <-changed:
		case <-ctx.Done():
			return nil, nil, merry.Errorf("no connection to %s within %s", l.address, peerTimeout)
		}
	}
}

// forward sends f and waits for the reply without a limit of its own: an exchange that the peer does not answer closes
// the connection, which ends the wait.
func (l *link) forward(ctx context.Context, incarnation uint64, f *wire.Forward) (caller.Reply, bool, error) {
	l.pendingForwards.Add(1)
	defer l.pendingForwards.Add(-1)

	c, e, err := l.awaitConnection(ctx)
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

	if err == nil && !frame.HasForwardReply() {
		err = errUnexpectedFrame
	}

	if err != nil {
		s.Reset()

		return caller.Reply{}, false, merry.Prepend(err, "no reply to the forward")
	}

	r := frame.GetForwardReply()
	if r.GetNotHome() {
		s.Close()

		return caller.Reply{}, false, nil
	}

	// Closing the stream reports to the home that the caller has the answer; a reset reports that it may not have it.
	reportDelivery := func(delivered bool) {
		if delivered {
			s.Close()
		} else {
			s.Reset()
		}
	}

	return caller.NewReply(int(r.GetStatus()), r.GetBody(), reportDelivery), true, nil
}
