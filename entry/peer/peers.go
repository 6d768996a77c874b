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
	// linkIdle is how long a link is kept to an address that neither the settings nor the ledger name.
	maxLinkIdleTime = time.Minute
	// syncInterval is how often such links are looked for.
	linkSyncInterval = 10 * time.Second
	// drainInterval is how often Drain looks.
	drainPollInterval = 10 * time.Millisecond
	// maxDeparted bounds the departures in memory; the ledger has the older ones.
	maxCachedDepartures = 1024
)

// Home carries out operations that other entries forward; *caller.Local implements it.
type Home interface {
	// Serve returns false if this entry is not the home that the sender means.
	Serve(ctx context.Context, f *wire.Forward) (caller.Reply, bool)
}

// Importer takes submissions over from an entry that leaves.
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
	// fixed holds the addresses of the settings.
	configuredAddresses []string

	mu sync.Mutex
	// links holds a link for each address other than the own one.
	links map[string]*link
	// departed holds the successors that leaving entries have named, by the incarnation that left.
	successors map[uint64]*wire.Entry
	// fresh holds the links that Run has not started yet, and wake has room for one signal that there are some.
	unstartedLinks []*link
	linkAdded      chan struct{}
	// gate is held for reading while submissions of another entry are taken over, so that none are after Leave returned.
	handoverLock sync.RWMutex
	leaving      bool
	// forwards counts operations that are carried out for other entries and whose answers are not known to be delivered.
	activeForwards atomic.Int64
	// group waits for the goroutines of links.
	linkGroup sync.WaitGroup
}

// NewPeers returns a set that connects to the given addresses and to the entries that the ledger names.
func NewPeers(node *quic.Node, self *wire.Entry, replica *ledger.Replica, importer Importer, workerLoss *WorkerLossDetector, addresses []string, log zerolog.Logger) *Peers {
	return &Peers{
		node: node, self: self, replica: replica, importer: importer, workerLoss: workerLoss, log: log, configuredAddresses: addresses,
		links: map[string]*link{}, successors: map[uint64]*wire.Entry{}, linkAdded: make(chan struct{}, 1),
	}
}

// Use sets what carries out forwarded operations. It is called once, before Run and Serve.
func (p *Peers) SetHome(h Home) { p.home = h }

// Run keeps the links until ctx ends.
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

// launch runs the links that were added since.
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

// sync adds links to all wanted addresses and stops the others.
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

// add returns the link to the address, or nil if it is the own one. p.mu is held.
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

func (p *Peers) useLink(address string) *link {
	p.mu.Lock()
	defer p.mu.Unlock()

	l := p.addLink(address)
	if l != nil {
		l.markUsed()
	}

	return l
}

// all returns the links in the order of their addresses.
func (p *Peers) allLinks() []*link {
	p.mu.Lock()
	defer p.mu.Unlock()

	all := make([]*link, 0, len(p.links))
	for _, a := range slices.Sorted(maps.Keys(p.links)) {
		all = append(all, p.links[a])
	}

	return all
}

// Reached returns the entries that a connection exists to.
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

// depart notes that the submissions of an entry are at its successor now.
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

// Forward carries out f at the given entry. An error means that the entry is lost, unless the context has ended. The
// second result is false if the entry that answered is not the home.
func (p *Peers) Forward(ctx context.Context, to *wire.Entry, f *wire.Forward) (caller.Reply, bool, error) {
	l := p.useLink(to.GetAddress())
	if l == nil {
		return caller.Reply{}, false, merry.Errorf("%s is no other entry", to.GetAddress())
	}

	return l.forward(ctx, to.GetIncarnation(), f)
}

// Leave refuses to take over submissions from now on. Those taken over before are in the table when it returns.
func (p *Peers) Leave() {
	p.handoverLock.Lock()
	defer p.handoverLock.Unlock()

	p.leaving = true
}

// Drain waits until no operation is carried out for another entry.
func (p *Peers) Drain(ctx context.Context) error {
	tick := time.NewTicker(drainPollInterval)
	defer tick.Stop()

	for p.activeForwards.Load() > 0 {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return merry.Prependf(ctx.Err(), "%d answers to other entries are not delivered", p.activeForwards.Load())
		}
	}

	return nil
}
