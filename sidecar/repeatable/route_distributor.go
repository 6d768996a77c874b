package repeatable

import (
	"cmp"
	"sync"

	"github.com/rs/zerolog"

	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
	"github.com/skylarkweir/skylarkweir/weir/process/uptime"
)

// RouteDistributor fetches the newest routes from an entry that has them and sends them to entries that cannot reach
// the store.
type RouteDistributor struct {
	log zerolog.Logger

	mu sync.Mutex
	// newestVersion is the newest version that an entry has reported.
	newestVersion uint64
	// sources holds the connected entries that have reported a version.
	sources map[*entrySession]bool
	// latest is the newest routes record that was received.
	latest *wire.Routes
	// waiting holds the entries that have requested a record that has not been received yet.
	waiting map[*entrySession]bool
}

// NewRouteDistributor returns a distributor without routes.
func NewRouteDistributor(log zerolog.Logger) *RouteDistributor {
	return &RouteDistributor{log: log, sources: map[*entrySession]bool{}, waiting: map[*entrySession]bool{}}
}

// Version returns the newest version that an entry has reported.
func (d *RouteDistributor) Version() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()

	return d.newestVersion
}

// RecordVersion records the version that an entry has.
func (d *RouteDistributor) RecordVersion(s *entrySession, version uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()

	s.routesVersion = max(s.routesVersion, version)
	d.sources[s] = true
	d.newestVersion = max(d.newestVersion, version)
}

// Remove removes an entry whose session has ended.
func (d *RouteDistributor) Remove(s *entrySession) {
	d.mu.Lock()
	defer d.mu.Unlock()

	delete(d.waiting, s)
	delete(d.sources, s)
}

// Fetch sends an entry the routes in at least the given version. If they have not been received yet, it requests them
// from an entry that has them. An entry that asks again makes it request them from another one.
func (d *RouteDistributor) Fetch(s *entrySession, version uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()

	if d.latest != nil && d.latest.GetVersion() >= version {
		s.send(wire.Frame_builder{Routes: d.latest}.Build())

		return
	}

	source := d.sourceFor(s, version)
	if source == nil {
		d.logUnavailable(s, version)

		return
	}

	d.log.Info().Str("event", "routes_requested").Uint64("version", version).Str("entry", s.entry).
		Str("source", source.entry).Dur("silent", source.SinceContact(uptime.Now())).
		Msg("fetching a version of the routes for an entry that lacks it")

	d.waiting[s] = true
	source.routesFetches++
	source.send(wire.Frame_builder{RoutesFetch: wire.RoutesFetch_builder{Version: version}.Build()}.Build())
}

// logUnavailable logs once for an entry and version that no entry is known that has it. An entry asks again and again.
func (d *RouteDistributor) logUnavailable(s *entrySession, version uint64) {
	if s.routesUnavailable == version {
		return
	}

	s.routesUnavailable = version

	d.log.Warn().Str("event", "routes_unavailable").Uint64("version", version).Str("entry", s.entry).
		Msg("no entry is known that has the requested version of the routes")
}

// sourceFor returns an entry other than s that has at least the given version, nil if there is none. Of several it is the
// one that was asked for routes least often, so that one that does not answer is not asked twice in a row; among those
// the one that was heard last.
func (d *RouteDistributor) sourceFor(s *entrySession, version uint64) *entrySession {
	now := uptime.Now()

	var best *entrySession

	for c := range d.sources {
		if c == s || c.routesVersion < version {
			continue
		}

		if best == nil || cmp.Or(
			cmp.Compare(c.routesFetches, best.routesFetches),
			cmp.Compare(c.SinceContact(now), best.SinceContact(now))) < 0 {
			best = c
		}
	}

	return best
}

// Receive stores a record that was fetched and sends it to the entries that wait for it.
func (d *RouteDistributor) Receive(m *wire.Routes) {
	d.mu.Lock()
	defer d.mu.Unlock()

	if d.latest != nil && d.latest.GetVersion() >= m.GetVersion() {
		return
	}

	d.latest = m
	d.log.Info().Str("event", "routes_relayed").Uint64("version", m.GetVersion()).Int("entries", len(d.waiting)).
		Msg("distributing a new version of the routes")

	for s := range d.waiting {
		s.send(wire.Frame_builder{Routes: m}.Build())
	}

	clear(d.waiting)
}
