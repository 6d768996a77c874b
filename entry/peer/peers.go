// Package peer connects an entry to the other entries.
package peer

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/rs/zerolog"

	"github.com/skylarkweir/skylarkweir/entry/caller"
	"github.com/skylarkweir/skylarkweir/weir/connection/quic"
	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
	"github.com/skylarkweir/skylarkweir/weir/version/ledger"
)

const (
	// maxLinkIdleTime is how long an unused link is kept to an address that neither the settings nor the ledger name.
	maxLinkIdleTime = time.Minute
	// linkSyncInterval is how often the links are compared with the addresses, also without a change of the ledger.
	linkSyncInterval = 10 * time.Second
	// drainPollInterval is how often Drain checks for active forwards.
	drainPollInterval = 10 * time.Millisecond
	// maxCachedDepartures bounds the departures in memory; the ledger holds those that were dropped.
	maxCachedDepartures = 1024
)

// Home executes operations that other entries forward; *caller.Local implements it.
type Home interface {
	// Serve returns false if this entry is not the home that f is addressed to.
	Serve(ctx context.Context, f *wire.Forward) (caller.Reply, bool)
}

// Importer takes over submissions from an entry that leaves.
type Importer interface {
	Import(submissions []*wire.HeldSubmission)
}

// Peers is the set of the other entries.
type Peers struct {
	node       *quic.Node
	self       *wire.Entry
	replica    *ledger.Replica
	home       Home
	importer   Importer
	workerLoss *WorkerLossDetector
	log        zerolog.Logger
	// configuredAddresses holds the addresses from the settings.
	configuredAddresses []string

	mu sync.Mutex
	// links holds the links by address, without the address of this entry.
	links map[string]*link
	// successors holds the successors that leaving entries have named, by the incarnation that left.
	successors map[uint64]*wire.Entry
	// unstartedLinks holds the links that Run has not started yet. linkAdded has room for one signal that there are some.
	unstartedLinks []*link
	linkAdded      chan struct{}
	// handoverLock guards leaving. It is held for reading during an import of submissions, so that none is imported after
	// Leave returned.
	handoverLock sync.RWMutex
	leaving      bool
	// activeForwards counts operations for other entries, each until its answer is confirmed as delivered or has failed.
	activeForwards atomic.Int64
	// linkGroup waits for the goroutines of the links.
	linkGroup sync.WaitGroup
}

// NewPeers returns a set that connects to the given addresses and to the entries in the ledger.
func NewPeers(
	node *quic.Node, self *wire.Entry, replica *ledger.Replica, importer Importer, workerLoss *WorkerLossDetector,
	addresses []string, log zerolog.Logger,
) *Peers {
	return &Peers{
		node: node, self: self, replica: replica, importer: importer, workerLoss: workerLoss, log: log,
		configuredAddresses: addresses, links: map[string]*link{}, successors: map[uint64]*wire.Entry{}, linkAdded: make(chan struct{}, 1),
	}
}

// SetHome sets the executor of forwarded operations. It is called once, before Run and Serve.
func (p *Peers) SetHome(h Home) { p.home = h }

// Run keeps links to the entries until ctx ends.
func (p *Peers) Run(ctx context.Context) {
	tick := time.NewTicker(linkSyncInterval)
	defer tick.Stop()

	for {
		changed := p.replica.Changed()
		p.syncLinks(time.Now())
		p.startLinks(ctx)

		select {
		case <-changed:
		case <-tick.C:
		case <-p.linkAdded:
		case <-ctx.Done():
			p.linkGroup.Wait()

			return
		}
	}
}

// startLinks starts the links that were added since the last call.
func (p *Peers) startLinks(ctx context.Context) {
	p.mu.Lock()
	defer p.mu.Unlock()

	for _, l := range p.unstartedLinks {
		linkCtx, stop := context.WithCancel(ctx)
		l.stop = stop

		p.linkGroup.Add(1)

		go l.run(linkCtx)
	}

	p.unstartedLinks = nil
}

// syncLinks adds the missing links to addresses from the settings and the ledger, and stops other links that are idle.
func (p *Peers) syncLinks(now time.Time) {
	wanted := map[string]bool{}
	for _, a := range p.configuredAddresses {
		wanted[a] = true
	}

	for _, e := range p.replica.State().Entries() {
		wanted[e.Address()] = true
	}

	delete(wanted, p.self.GetAddress())

	p.mu.Lock()
	defer p.mu.Unlock()

	for a := range wanted {
		p.addLink(a)
	}

	for a, l := range p.links {
		if !wanted[a] && l.stop != nil && l.idleTime(now) > maxLinkIdleTime {
			l.stop()
			delete(p.links, a)
		}
	}
}

// addLink returns the link to the address and creates it if there is none. It returns nil if the address is empty or
// that of this entry. p.mu is held.
func (p *Peers) addLink(address string) *link {
	if l, found := p.links[address]; found {
		return l
	}

	if address == p.self.GetAddress() || address == "" {
		return nil
	}

	l := newLink(p, address)
	p.links[address] = l
	p.unstartedLinks = append(p.unstartedLinks, l)

	select {
	case p.linkAdded <- struct{}{}:
	default:
	}

	return l
}

// useLink returns the link to the address like addLink, and marks it as used.
func (p *Peers) useLink(address string) *link {
	p.mu.Lock()
	defer p.mu.Unlock()

	l := p.addLink(address)
	if l != nil {
		l.markUsed()
	}

	return l
}

// allLinks returns the links in the order of their addresses.
func (p *Peers) allLinks() []*link {
	p.mu.Lock()
	defer p.mu.Unlock()

	all := make([]*link, 0, len(p.links))
	for _, a := range slices.Sorted(maps.Keys(p.links)) {
		all = append(all, p.links[a])
	}

	return all
}

// Reached returns the entries that this entry has a connection to.
func (p *Peers) Reached() []*wire.Entry {
	var reached []*wire.Entry

	for _, l := range p.allLinks() {
		if c, e := l.connection(); c != nil {
			reached = append(reached, e)
		}
	}

	return reached
}

// Successor returns the entry that took over from an entry that left.
func (p *Peers) Successor(incarnation uint64) (*wire.Entry, bool) {
	p.mu.Lock()
	e, found := p.successors[incarnation]
	p.mu.Unlock()

	if found {
		return e, true
	}

	if s, found := p.replica.State().Successor(incarnation); found {
		return s.Wire(), true
	}

	return nil, false
}

// recordDeparture records which entry took over the submissions of an entry that left. At the limit it drops arbitrary
// older departures.
func (p *Peers) recordDeparture(d *wire.Departed) {
	if d.GetSuccessor().GetIncarnation() == 0 {
		return
	}

	p.mu.Lock()
	defer p.mu.Unlock()

	for i := range p.successors {
		if len(p.successors) < maxCachedDepartures {
			break
		}

		delete(p.successors, i)
	}

	p.successors[d.GetEntry().GetIncarnation()] = d.GetSuccessor()
}

// Forward executes f at the given entry. An error means that the entry is lost, unless ctx has ended. The second result
// is false if the entry that answered is not the home.
func (p *Peers) Forward(ctx context.Context, to *wire.Entry, f *wire.Forward) (caller.Reply, bool, error) {
	l := p.useLink(to.GetAddress())
	if l == nil {
		return caller.Reply{}, false, merry.Errorf("%s is not the address of another entry", to.GetAddress())
	}

	return l.forward(ctx, to.GetIncarnation(), f)
}

// Leave makes this entry refuse further handovers. All submissions accepted before are imported when it returns.
func (p *Peers) Leave() {
	p.handoverLock.Lock()
	defer p.handoverLock.Unlock()

	p.leaving = true
}

// Drain waits until no operation is active for another entry and every answer is delivered or its delivery has failed.
func (p *Peers) Drain(ctx context.Context) error {
	tick := time.NewTicker(drainPollInterval)
	defer tick.Stop()

	for p.activeForwards.Load() > 0 {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return merry.Prependf(ctx.Err(), "delivery of %d answers to other entries is not confirmed", p.activeForwards.Load())
		}
	}

	return nil
}
