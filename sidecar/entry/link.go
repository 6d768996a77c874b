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
	dialTimeout  = 3 * time.Second
	firstBackOff = 100 * time.Millisecond
	// lastBackOff bounds the time that a returned entry waits for this worker.
	lastBackOff = 3 * time.Second
	// stable is the life of a connection after which the back-off begins anew.
	stable = 5 * time.Second
)

// link keeps a connection to one address.
type link struct {
	links   *Links
	address string
	stop    context.CancelFunc
	// session is the established connection or nil.
	session atomic.Pointer[Session]
	// entry is the incarnation of the entry that answered last; zero if none did. Guarded by the mutex of links.
	entry uint64
}

func (k *link) run(ctx context.Context) {
	defer k.stop()

	backOff := firstBackOff

	for ctx.Err() == nil {
		if k.links.duplicates(k) {
			wait(ctx, nil, jitter(lastBackOff))
			continue
		}

		began := time.Now()
		err := k.connect(ctx)

		if time.Since(began) >= stable {
			backOff = firstBackOff
		}

		if ctx.Err() != nil || k.links.retire(k) {
			return
		}

		pause := jitter(backOff)
		backOff = min(2*backOff, lastBackOff)

		k.links.log.Warn().Err(err).Str("event", "entry_disconnected").Str("address", k.address).Dur("retry_ms", pause).Msg("")
		wait(ctx, nil, pause)
	}
}

// connect dials the entry and serves the connection until it ends.
func (k *link) connect(ctx context.Context) error {
	dialling, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()

	c, err := k.links.node.Dial(dialling, k.address)
	if err != nil {
		return err
	}
	defer c.Close("link ended")

	s, err := k.greet(dialling, c)
	if err != nil {
		return err
	}

	if err := k.links.establish(k, s); err != nil {
		return err
	}

	k.links.connected.Update(int64(len(k.links.Sessions())))
	k.links.log.Info().Str("event", "entry_connected").Str("address", k.address).Str("entry", s.entry.GetName()).Msg("")

	defer func() {
		k.session.Store(nil)
		k.links.connected.Update(int64(len(k.links.Sessions())))
	}()

	return s.run(ctx)
}

// greet exchanges Hello and Welcome on the control stream.
func (k *link) greet(ctx context.Context, c *quic.Conn) (*Session, error) {
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
	h.SetPosition(k.links.book.State().Position())

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
		return nil, merry.New("entry did not answer with Welcome")
	}

	control.SetDeadline(time.Time{})

	return newSession(k.links, c, control, worker.GetIncarnation(), f.GetWelcome()), nil
}
