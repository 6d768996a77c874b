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
	// dialTimeout limits the time to open a session.
	dialTimeout = 500 * time.Millisecond
	// minRedialDelay and maxRedialDelay limit the pause before an entry is dialled again.
	minRedialDelay = 50 * time.Millisecond
	maxRedialDelay = 250 * time.Millisecond
	// unreachableTimeout is how long an entry is dialled without success. An entry that was known only from a directory
	// may be gone for good.
	unreachableTimeout = 30 * time.Second
)

// Links keeps a session with each known entry, and dials entries again when a session ends.
type Links struct {
	node        *quic.Node
	worker      *Worker
	incarnation uint64
	log         zerolog.Logger

	mu sync.Mutex
	// active holds the addresses for which a link runs.
	active map[string]bool
}

// NewLinks returns the links of a sidecar process. The incarnation is a random number that identifies the process.
func NewLinks(n *quic.Node, w *Worker, incarnation uint64, log zerolog.Logger) *Links {
	return &Links{node: n, worker: w, incarnation: incarnation, log: log, active: map[string]bool{}}
}

// Add starts to dial an entry unless a link to the address runs already.
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

// link keeps a session with the entry at one address. It ends when the entry cannot be reached for unreachableTimeout.
type link struct {
	links   *Links
	address string
}

func (k *link) run(ctx context.Context) {
	defer k.links.remove(k.address)

	delay := minRedialDelay
	lastReached := time.Now()

	for ctx.Err() == nil && time.Since(lastReached) < unreachableTimeout {
		entry, s, err := k.dial(ctx)
		if err == nil {
			k.links.worker.Serve(ctx, entry, s)

			lastReached = time.Now()
			delay = minRedialDelay
		} else {
			delay = min(2*delay, maxRedialDelay)
		}

		select {
		case <-time.After(delay):
		case <-ctx.Done():
		}
	}

	k.links.log.Info().Str("event", "entry_forgotten").Str("address", k.address).
		Msg("entry is no longer dialled: it was unreachable for 30 s, or the sidecar is shutting down")
}

// dial opens a session and returns it with the name of the entry.
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
		return "", nil, merry.New("entry did not answer the Attach frame with Attached")
	}

	s.SetDeadline(time.Time{})

	return f.GetAttached().GetEntry(), session.New(c, s), nil
}
