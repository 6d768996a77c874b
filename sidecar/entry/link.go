package entry

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/skylarkweir/skylarkweir/weir/connection/quic"
	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
)

const (
	dialTimeout = 3 * time.Second
	minBackOff  = 100 * time.Millisecond
	// maxBackOff limits how long an entry that is reachable again waits for this worker.
	maxBackOff = 3 * time.Second
	// stableConnectionTime is the duration of a connection after which the back-off starts again at minBackOff.
	stableConnectionTime = 5 * time.Second
)

// link keeps a connection to one address and dials again when it ends.
type link struct {
	links   *Links
	address string
	cancel  context.CancelFunc
	// session is the established connection, or nil.
	session atomic.Pointer[Session]
	// entryIncarnation is that of the entry that answered last at the address. It is zero if none has answered. Guarded
	// by links.mu.
	entryIncarnation uint64
}

func (k *link) run(ctx context.Context) {
	defer k.cancel()

	backOff := minBackOff

	for ctx.Err() == nil {
		if k.links.isDuplicate(k) {
			wait(ctx, nil, jitter(maxBackOff))
			continue
		}

		connectStart := time.Now()
		err := k.connect(ctx)

		if time.Since(connectStart) >= stableConnectionTime {
			backOff = minBackOff
		}

		if ctx.Err() != nil || k.links.removeUnknown(k) {
			return
		}

		pause := jitter(backOff)
		backOff = min(2*backOff, maxBackOff)

		k.links.log.Warn().Err(err).Str("event", "entry_disconnected").Str("address", k.address).
			Dur("retry_ms", pause).Msg("not connected to an entry, dialling it again after a pause")
		wait(ctx, nil, pause)
	}
}

// connect dials the entry and serves the connection until it ends.
func (k *link) connect(ctx context.Context) error {
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()

	c, err := k.links.node.Dial(dialCtx, k.address)
	if err != nil {
		return err
	}
	defer c.Close("link ended")

	s, err := k.handshake(dialCtx, c)
	if err != nil {
		return err
	}

	if err := k.links.setSession(k, s); err != nil {
		return err
	}

	k.links.connected.Update(int64(len(k.links.Sessions())))
	k.links.log.Info().Str("event", "entry_connected").Str("address", k.address).Str("entry", s.entry.GetName()).
		Msg("connected to an entry")

	defer func() {
		k.session.Store(nil)
		k.links.connected.Update(int64(len(k.links.Sessions())))
	}()

	return s.serve(ctx)
}

// handshake opens the control stream and exchanges Hello and Welcome on it.
func (k *link) handshake(ctx context.Context, c *quic.Conn) (*Session, error) {
	control, err := c.Open(ctx)
	if err != nil {
		return nil, err
	}

	if deadline, ok := ctx.Deadline(); ok {
		control.SetDeadline(deadline)
	}

	worker := k.links.identity.Worker()

	h := &wire.Hello{}
	h.SetRole(wire.Role_ROLE_SIDECAR)
	h.SetWorker(worker)
	h.SetPosition(k.links.replica.State().Position())

	f := &wire.Frame{}
	f.SetHello(h)

	if err := control.Send(f); err != nil {
		return nil, err
	}

	f, err = control.Receive()
	if err != nil {
		return nil, err
	}

	if !f.HasWelcome() {
		return nil, merry.New("entry answered Hello with a frame other than Welcome")
	}

	control.SetDeadline(time.Time{})

	return newSession(k.links, c, control, worker.GetIncarnation(), f.GetWelcome()), nil
}
