package repeatable

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/skylarkweir/skylarkweir/weir/connection/quic"
	"github.com/skylarkweir/skylarkweir/weir/process/sessionset"
	"github.com/skylarkweir/skylarkweir/weir/process/uptime"
)

const (
	// settleDelay is how long changes of the known entries are collected before the set is chosen again.
	settleDelay = 50 * time.Millisecond
	// reviewInterval is how often the set is reviewed without a change while an entry is without a session or left the set,
	// stableReviewInterval how often while all have one. The estimate of the number of sidecars may change meanwhile.
	reviewInterval       = 250 * time.Millisecond
	stableReviewInterval = time.Second
	// replaceDelay is how long an entry of the set may be without a session before another one takes its place.
	replaceDelay = 400 * time.Millisecond
	// unreachableMemory is how long an entry that was given up without a session is not chosen as a replacement, so that all
	// others have their turn first.
	unreachableMemory = 30 * time.Second
	// surplusDelay is how long a session is kept after its entry left the set.
	surplusDelay = 5 * time.Second
	// seedDelay is how long a sidecar waits for a listed entry before it dials the seeds, which are few.
	seedDelay = 500 * time.Millisecond
)

// Links keeps sessions with a set of the known entries, which package sessionset chooses.
type Links struct {
	node        *quic.Node
	worker      *Worker
	self        sessionset.Sidecar
	incarnation uint64
	log         zerolog.Logger
	started     time.Time
	// changed holds a value if the set has to be chosen again.
	changed chan struct{}

	mu sync.Mutex
	// listed and seeds are the known entries, by address. The seeds are used while no entry is listed.
	listed, seeds map[string]sessionset.Entry
	// links has the entries to which sessions are kept, by address.
	links map[string]*link
	// unreachable has when links ended that never had a session, by the address of their entry.
	unreachable map[string]time.Time
	// size is the wanted number of sessions.
	size int
}

// NewLinks returns the links of a sidecar process. The incarnation is a random number that identifies the process.
func NewLinks(
	n *quic.Node, w *Worker, self sessionset.Sidecar, incarnation uint64, log zerolog.Logger,
) *Links {
	return &Links{
		node: n, worker: w, self: self, incarnation: incarnation, log: log, started: time.Now(),
		changed: make(chan struct{}, 1),
		listed:  map[string]sessionset.Entry{}, seeds: map[string]sessionset.Entry{}, links: map[string]*link{},
		unreachable: map[string]time.Time{},
	}
}

// Add adds an entry, or replaces what is known of it.
func (l *Links) Add(e sessionset.Entry) { l.add(l.listed, e) }

// AddSeed adds an entry whose address may be out of date. It is dialled only while no other entry is known.
func (l *Links) AddSeed(e sessionset.Entry) { l.add(l.seeds, e) }

func (l *Links) add(known map[string]sessionset.Entry, e sessionset.Entry) {
	l.mu.Lock()
	defer l.mu.Unlock()

	if known[e.Address()] != e {
		known[e.Address()] = e
		delete(l.unreachable, e.Address())

		l.notify()
	}
}

// Remove removes an entry that is no longer listed.
func (l *Links) Remove(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()

	delete(l.listed, address)
	delete(l.unreachable, address)
	l.notify()
}

func (l *Links) notify() {
	select {
	case l.changed <- struct{}{}:
	default:
	}
}

// Run keeps the sessions until the context ends.
func (l *Links) Run(ctx context.Context) {
	t := time.NewTimer(reviewInterval)
	defer t.Stop()

	for {
		select {
		case <-l.changed:
			t.Reset(settleDelay)

			select {
			case <-t.C:
			case <-ctx.Done():
				return
			}
		case <-t.C:
		case <-ctx.Done():
			return
		}

		t.Reset(l.review(ctx))
	}
}

// review chooses the set again, begins the missing links and ends those that are no longer needed. It returns the time
// until the next review.
func (l *Links) review(ctx context.Context) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()

	known := l.known()
	l.size = sessionset.Size(l.size, len(known), l.worker.estimatedSidecars())
	wanted := l.wanted(known)

	for _, e := range wanted {
		if l.links[e.Address()] == nil {
			l.begin(ctx, e)
		}
	}

	now := time.Now()

	for address, k := range l.links {
		inSet := slices.ContainsFunc(wanted, func(e sessionset.Entry) bool { return e.Address() == address })

		switch {
		case inSet:
			k.surplusSince = time.Time{}
		case k.surplusSince.IsZero():
			k.surplusSince = now
		case now.Sub(k.surplusSince) >= surplusDelay && k.isIdle():
			l.end(k)
		}
	}

	l.worker.setSessionShare(sessionset.Share(l.size, len(known)))

	if l.isStable() {
		return stableReviewInterval
	}

	return reviewInterval
}

// isStable reports whether the set has entries, and each link has a session and an entry in the set.
func (l *Links) isStable() bool {
	for _, k := range l.links {
		if k.session == nil || !k.surplusSince.IsZero() {
			return false
		}
	}

	return len(l.links) > 0
}

// known returns the entries that may be in the set.
func (l *Links) known() []sessionset.Entry {
	source := l.listed
	if len(l.listed) == 0 && time.Since(l.started) >= seedDelay {
		source = l.seeds
	}

	known := make([]sessionset.Entry, 0, len(source))
	for _, e := range source {
		known = append(known, e)
	}

	return known
}

// wanted returns the set that is chosen from all known entries, and a replacement for each of them that has been without
// a session for replaceDelay. It is dialled beside its replacement.
func (l *Links) wanted(known []sessionset.Entry) []sessionset.Entry {
	preferred := sessionset.Choose(l.self, known, l.size)
	reachable := slices.DeleteFunc(slices.Clone(known), func(e sessionset.Entry) bool {
		k := l.links[e.Address()]
		if k == nil {
			at, failed := l.unreachable[e.Address()]

			return failed && time.Since(at) < unreachableMemory
		}

		return k.session == nil && time.Since(k.withoutSessionSince) >= replaceDelay
	})

	for _, e := range sessionset.Choose(l.self, reachable, l.size) {
		if !slices.Contains(preferred, e) {
			preferred = append(preferred, e)
		}
	}

	return preferred
}

func (l *Links) begin(ctx context.Context, e sessionset.Entry) {
	ctx, cancel := context.WithCancel(ctx)
	k := &link{links: l, entry: e, cancel: cancel, withoutSessionSince: time.Now()}
	l.links[e.Address()] = k

	l.log.Info().Str("event", "entry_chosen").Str("address", e.Address()).Str("failure_domain", e.FailureDomain()).
		Int("set", l.size).Msg("entry joined the set of sessions")

	go k.run(ctx)
}

func (l *Links) end(k *link) {
	delete(l.links, k.entry.Address())
	k.cancel()

	if !k.hadSession {
		l.unreachable[k.entry.Address()] = time.Now()
	}

	l.log.Info().Str("event", "entry_dropped").Str("address", k.entry.Address()).Int("set", l.size).
		Msg("entry left the set of sessions")
}

// isIdle reports whether the link may end: neither side has work of the other.
func (k *link) isIdle() bool { return k.session == nil || k.session.Idle(uptime.Now()) }
