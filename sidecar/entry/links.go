// Package entry holds the sidecar's connections to the entries.
package entry

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/skylarkweir/skylarkweir/sidecar/tasks"
	"github.com/skylarkweir/skylarkweir/weir/connection/quic"
	"github.com/skylarkweir/skylarkweir/weir/version/ledger"
)

// Links keeps a connection to every entry that is known from the settings or from the log state.
type Links struct {
	node      *quic.Node
	identity  *Identity
	replica   *ledger.Replica
	table     *tasks.Table
	log       zerolog.Logger
	addresses []string
	connected metrics.Gauge

	mu sync.Mutex
	// links and known are by address. Known is what the settings and the log state name now.
	links map[string]*link
	known map[string]bool
	group sync.WaitGroup
}

// NewLinks returns links to the entries at the addresses and those in the book, once its loop runs.
func NewLinks(n *quic.Node, i *Identity, b *ledger.Replica, t *tasks.Table, addresses []string, r metrics.Registry, log zerolog.Logger) *Links {
	return &Links{
		node: n, identity: i, replica: b, table: t, addresses: addresses, log: log,
		connected: metrics.GetOrRegisterGauge("weir_sidecar_entries_connected", r), links: map[string]*link{},
	}
}

// Loop follows the known entries until ctx ends, and returns once all connections have ended.
func (l *Links) Loop(ctx context.Context) {
	defer l.group.Wait()

	for {
		changed := l.replica.ConfigChanged()
		l.update(ctx)

		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// follow starts the links that lack and ends those to entries that have left. An established connection stays, because
// an entry that was declared lost may still be home to submissions.
func (l *Links) update(ctx context.Context) {
	known := map[string]bool{}

	for _, a := range l.addresses {
		known[a] = true
	}

	for _, e := range l.replica.State().Entries() {
		known[e.Address()] = true
	}

	l.mu.Lock()
	defer l.mu.Unlock()

	l.known = known

	for a := range known {
		if l.links[a] != nil {
			continue
		}

		k := &link{links: l, address: a}
		l.links[a] = k

		var linkCtx context.Context
		linkCtx, k.cancel = context.WithCancel(ctx)

		l.group.Go(func() { k.run(linkCtx) })
	}

	for a, k := range l.links {
		if !known[a] && k.session.Load() == nil {
			k.cancel()
			delete(l.links, a)
		}
	}
}

// retire ends a link without connection if its entry has left, and tells whether it did.
func (l *Links) removeUnknown(k *link) bool {
	l.mu.Lock()
	defer l.mu.Unlock()

	if l.known[k.address] {
		return false
	}

	if l.links[k.address] == k {
		delete(l.links, k.address)
	}

	return true
}

// Sessions returns the established connections.
func (l *Links) Sessions() []*Session {
	l.mu.Lock()
	defer l.mu.Unlock()

	var out []*Session

	for _, k := range l.links {
		if s := k.session.Load(); s != nil {
			out = append(out, s)
		}
	}

	return out
}

// establish makes a session that of its link. It refuses a second connection to one entry, which may be named by two
// addresses: a start could then be decided on both.
func (l *Links) setSession(k *link, s *Session) error {
	l.mu.Lock()
	defer l.mu.Unlock()

	k.entryIncarnation = s.entry.GetIncarnation()
	if l.isDuplicateLocked(k) {
		return merry.New("the entry is connected already at another address")
	}

	k.session.Store(s)

	return nil
}

// duplicates tells whether the entry that was found last at the link's address is connected at another one. Dialling
// it would end that connection, since entries keep one for each worker.
func (l *Links) isDuplicate(k *link) bool {
	l.mu.Lock()
	defer l.mu.Unlock()

	return l.isDuplicateLocked(k)
}

func (l *Links) isDuplicateLocked(k *link) bool {
	for _, other := range l.links {
		if s := other.session.Load(); other != k && s != nil && k.entryIncarnation != 0 && s.entry.GetIncarnation() == k.entryIncarnation {
			return true
		}
	}

	return false
}

// Reconnect ends all connections, so that they begin again with the present incarnation.
func (l *Links) Reconnect(reason string) {
	for _, s := range l.Sessions() {
		s.connection.Close(reason)
	}
}

// Leave tells all entries that the sidecar leaves.
func (l *Links) AnnounceDeparture() {
	for _, s := range l.Sessions() {
		s.requestLeavingFrame()
	}
}

// pick returns a random established connection, or nil.
func (l *Links) randomSession() *Session {
	s := l.Sessions()
	if len(s) == 0 {
		return nil
	}

	return s[rand.IntN(len(s))]
}

// jitter returns a time between half of d and d.
func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d/2+1) }
