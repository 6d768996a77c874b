package repeatable

import (
	"sync"

	"github.com/rs/zerolog"

	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
)

// Relay passes the newest routes from an entry that has them to those that are cut off from the store.
type RouteDistributor struct {
	log zerolog.Logger

	mu sync.Mutex
	// newest is the newest version that an entry has named; source is that entry.
	newestVersion uint64
	source        *entrySession
	// held is the newest record that was passed on.
	latest *wire.Routes
	// waiting are the entries that have asked for a record that is not here yet.
	waiting map[*entrySession]bool
}

// NewRelay returns a relay that knows no version.
func NewRouteDistributor(log zerolog.Logger) *RouteDistributor {
	return &RouteDistributor{log: log, waiting: map[*entrySession]bool{}}
}

// Version returns the newest version that an entry has named.
func (r *RouteDistributor) Version() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()

	return r.newestVersion
}

// Heard takes the version that an entry has.
func (r *RouteDistributor) RecordVersion(s *entrySession, version uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()

	s.routesVersion = version
	if version > r.newestVersion || (version == r.newestVersion && r.source == nil) {
		r.newestVersion, r.source = version, s
	}
}

// Forget drops an entry whose session has ended.
func (r *RouteDistributor) Remove(s *entrySession) {
	r.mu.Lock()
	defer r.mu.Unlock()

	delete(r.waiting, s)

	if r.source == s {
		r.source = nil
	}
}

// Fetch answers an entry that lacks a version.
func (r *RouteDistributor) Fetch(s *entrySession, version uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()

	if r.latest != nil && r.latest.GetVersion() >= version {
		s.send(wire.Frame_builder{Routes: r.latest}.Build())

		return
	}

	if r.source == nil || r.source == s {
		return
	}

	r.waiting[s] = true
	r.source.send(wire.Frame_builder{RoutesFetch: wire.RoutesFetch_builder{Version: version}.Build()}.Build())
}

// Receive takes a record that was fetched and passes it on.
func (r *RouteDistributor) Receive(m *wire.Routes) {
	r.mu.Lock()
	defer r.mu.Unlock()

	if r.latest != nil && r.latest.GetVersion() >= m.GetVersion() {
		return
	}

	r.latest = m
	r.log.Info().Str("event", "routes_relayed").Uint64("version", m.GetVersion()).Int("entries", len(r.waiting)).
		Msg("a version of the routes is passed on")

	for s := range r.waiting {
		s.send(wire.Frame_builder{Routes: m}.Build())
	}

	clear(r.waiting)
}
