// Package entry manages the sidecar's connections to the entries: its registration, its leases and the starts that it
// receives.
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

// Links keeps a connection to every entry that the settings or the log state name.
type Links struct {
	node      *quic.Node
	identity  *Identity
	replica   *ledger.Replica
	table     *tasks.Table
	log       zerolog.Logger
	addresses []string
	connected metrics.Gauge

	mu sync.Mutex
	// links and known are by address. known has the addresses that the settings or the log state name now.
	links map[string]*link
	known map[string]bool
	group sync.WaitGroup
}

// NewLinks returns links to the entries at the addresses and to those in the replica. Loop starts them.
func NewLinks(
	n *quic.Node, i *Identity, replica *ledger.Replica, t *tasks.Table, addresses []string, r metrics.Registry,
	log zerolog.Logger,
) *Links {
	return &Links{
		node: n, identity: i, replica: replica, table: t, addresses: addresses, log: log,
		connected: metrics.GetOrRegisterGauge("weir_sidecar_entries_connected", r), links: map[string]*link{},
	}
}

// Loop starts and ends links as entries join and leave, until ctx ends. It returns once all connections have ended.
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

// update starts missing links and ends those to entries that have left. An established connection is kept, because an
// entry that was declared lost may still be the home of submissions.
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

// removeUnknown removes a link that has no connection if its entry has left. It reports whether the entry has left.
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

// setSession stores the session of a link. It returns an error if the entry is already connected by a link to another
// of its addresses, because a start could then be decided on both connections.
func (l *Links) setSession(k *link, s *Session) error {
	l.mu.Lock()
	defer l.mu.Unlock()

	k.entryIncarnation = s.entry.GetIncarnation()
	if l.isDuplicateLocked(k) {
		return merry.New("entry is already connected at another address; closing this connection")
	}

	k.session.Store(s)

	return nil
}

// isDuplicate reports whether the entry that answered last at the address of the link is connected at another address.
// Dialling it again would end that connection, because an entry keeps only one for each worker.
func (l *Links) isDuplicate(k *link) bool {
	l.mu.Lock()
	defer l.mu.Unlock()

	return l.isDuplicateLocked(k)
}

func (l *Links) isDuplicateLocked(k *link) bool {
	for _, other := range l.links {
		if s := other.session.Load(); other != k && s != nil && k.entryIncarnation != 0 &&
			s.entry.GetIncarnation() == k.entryIncarnation {
			return true
		}
	}

	return false
}

// Reconnect closes all connections, so that the links dial again with the current incarnation.
func (l *Links) Reconnect(reason string) {
	for _, s := range l.Sessions() {
		s.connection.Close(reason)
	}
}

// AnnounceDeparture notifies all connected entries that the sidecar is leaving.
func (l *Links) AnnounceDeparture() {
	for _, s := range l.Sessions() {
		s.requestLeavingFrame()
	}
}

// randomSession returns a random established connection, or nil if there is none.
func (l *Links) randomSession() *Session {
	s := l.Sessions()
	if len(s) == 0 {
		return nil
	}

	return s[rand.IntN(len(s))]
}

// jitter returns a random duration between d/2 and d.
func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d/2+1) }
