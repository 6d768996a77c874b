package repeatable

import (
	"context"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/rs/zerolog"

	"github.com/skylarkweir/skylarkweir/weir/connection/quic"
	"github.com/skylarkweir/skylarkweir/weir/connection/session"
	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
)

const (
	// dialTimeout bounds the start of a session.
	dialTimeout = 500 * time.Millisecond
	// firstRedial and lastRedial bound the pause before an entry is dialled again.
	minRedialDelay = 50 * time.Millisecond
	maxRedialDelay = 250 * time.Millisecond
	// forgetAfter is how long an entry that only a directory named is dialled in vain.
	unreachableTimeout = 30 * time.Second
)

// Links keeps a session with each known entry.
type Links struct {
	node        *quic.Node
	worker      *Worker
	incarnation uint64
	log         zerolog.Logger

	mu sync.Mutex
	// dialled holds the addresses for which a link runs.
	active map[string]bool
}

// NewLinks returns links of a sidecar process of a random incarnation.
func NewLinks(n *quic.Node, w *Worker, incarnation uint64, log zerolog.Logger) *Links {
	return &Links{node: n, worker: w, incarnation: incarnation, log: log, active: map[string]bool{}}
}

// Learn begins to dial an entry unless a link to the address runs already.
func (l *Links) Add(ctx context.Context, address string) {
	l.mu.Lock()
	defer l.mu.Unlock()

	if l.active[address] {
		return
	}

	l.active[address] = true
	k := &link{links: l, address: address}

	go k.run(ctx)
}

func (l *Links) remove(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()

	delete(l.active, address)
}

// link dials one address again and again.
type link struct {
	links   *Links
	address string
}

func (k *link) run(ctx context.Context) {
	defer k.links.remove(k.address)

	pause := minRedialDelay
	reached := time.Now()

	for ctx.Err() == nil && time.Since(reached) < unreachableTimeout {
		entry, s, err := k.dial(ctx)
		if err == nil {
			k.links.worker.Serve(ctx, entry, s)

			reached = time.Now()
			pause = minRedialDelay
		} else {
			pause = min(2*pause, maxRedialDelay)
		}

		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}

	k.links.log.Info().Str("event", "entry_forgotten").Str("address", k.address).Msg("an entry is not dialled any more")
}

// dial opens a session.
func (k *link) dial(ctx context.Context) (string, *session.Session, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()

	c, err := k.links.node.Dial(ctx, k.address)
	if err != nil {
		return "", nil, err
	}

	entry, s, err := k.attach(ctx, c)
	if err != nil {
		c.Close("no session")
	}

	return entry, s, err
}

func (k *link) attach(ctx context.Context, c *quic.Conn) (string, *session.Session, error) {
	s, err := c.Open(ctx)
	if err != nil {
		return "", nil, err
	}

	s.SetDeadline(time.Now().Add(dialTimeout))

	if err := s.Send(wire.Frame_builder{Attach: wire.Attach_builder{
		Sidecar: k.links.worker.name, Incarnation: k.links.incarnation,
	}.Build()}.Build()); err != nil {
		return "", nil, err
	}

	f, err := s.Receive()
	if err != nil {
		return "", nil, err
	}

	if !f.HasAttached() {
		return "", nil, merry.New("the entry did not answer the attachment")
	}

	s.SetDeadline(time.Time{})

	return f.GetAttached().GetEntry(), session.New(c, s), nil
}
