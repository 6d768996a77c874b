package repeatable

import (
	"time"

	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
	"github.com/skylarkweir/skylarkweir/weir/process/uptime"
	"github.com/skylarkweir/skylarkweir/weir/version/routes"
)

// routeFetchInterval is the minimum time between two requests for routes. It is also the delay before the first one, so
// that the store can deliver the new version first.
const routeFetchInterval = 200 * time.Millisecond

// RouteParser parses a record of routes as the operator wrote it.
type RouteParser func(record []byte) (*routes.Table, error)

// routeFetcher is the state of fetching routes from sidecars that report a newer version.
type routeFetcher struct {
	parse RouteParser
	// confirmInterval is the longest time between two answers of the store while it can be reached, zero if unknown.
	confirmInterval time.Duration
	// behindSince is when a sidecar first reported a newer version, zero if none did.
	behindSince, lastRequest time.Duration
}

// SetRouteParser sets the parser of the records of routes that arrive through sidecars.
func (d *Dispatcher) SetRouteParser(p RouteParser) {
	d.mu.Lock()
	defer d.mu.Unlock()

	d.routeFetcher.parse = p
}

// ExpectConfirmation sets the longest time between two answers of the store of the routes while it can be reached.
func (d *Dispatcher) ExpectConfirmation(interval time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()

	d.routeFetcher.confirmInterval = interval
}

// RoutesMayBeOld reports whether there may be a newer version of the routes than the one in force: a sidecar reports one,
// or the store has not answered in time.
func (d *Dispatcher) RoutesMayBeOld() bool {
	d.mu.Lock()
	defer d.mu.Unlock()

	f := &d.routeFetcher

	return f.behindSince != 0 ||
		f.confirmInterval > 0 && d.routes.SinceConfirmation(uptime.Now()) > f.confirmInterval
}

// fetchNewerRoutes requests the routes from a sidecar that has reported a newer version than the one in force here. It is
// called at each tick, since a sidecar without work reports seldom.
func (d *Dispatcher) fetchNewerRoutes(now time.Duration) {
	f, s := &d.routeFetcher, d.sidecarWithNewerRoutes()

	switch {
	case s == nil:
		f.behindSince = 0
	case f.behindSince == 0:
		f.behindSince = now

		d.log.Info().Str("event", "routes_behind").Uint64("version", d.routes.Version()).
			Uint64("reported", s.report.GetRoutesVersion()).Str("sidecar", s.name).
			Dur("since_answer", d.routes.SinceConfirmation(now)).Msg("a sidecar reports a newer version of the routes")
	case now-f.behindSince >= routeFetchInterval && now-f.lastRequest >= routeFetchInterval:
		f.lastRequest = now

		s.send(wire.Frame_builder{
			RoutesFetch: wire.RoutesFetch_builder{Version: s.report.GetRoutesVersion()}.Build(),
		}.Build())
	}
}

// sidecarWithNewerRoutes returns one of the sidecars that report the newest version of the routes, in no fixed
// order, or nil if none has a newer version than the one in force here.
func (d *Dispatcher) sidecarWithNewerRoutes() *sidecar {
	var newest *sidecar

	version := d.routes.Version()

	for _, s := range d.sidecars {
		if v := s.report.GetRoutesVersion(); v > version {
			newest, version = s, v
		}
	}

	return newest
}

func (d *Dispatcher) sendRoutes(s *sidecar) {
	if t := d.routes.Table(); t != nil {
		s.send(wire.Frame_builder{Routes: wire.Routes_builder{Version: t.Version(), Record: t.Source()}.Build()}.Build())
	}
}

// receiveRoutes parses and adopts routes that arrived through a sidecar.
func (d *Dispatcher) receiveRoutes(m *wire.Routes) {
	d.mu.Lock()
	parse := d.routeFetcher.parse
	d.mu.Unlock()

	if parse == nil {
		return
	}

	t, err := parse(m.GetRecord())
	if err != nil {
		d.log.Warn().Err(err).Str("event", "routes_unreadable").Uint64("version", m.GetVersion()).
			Msg("cannot parse routes received through a sidecar; keeping the version in force")

		return
	}

	d.AdoptRoutes(t, "sidecar")
}

// AdoptRoutes puts a version of the routes into force if it is newer than the one in force.
func (d *Dispatcher) AdoptRoutes(t *routes.Table, source string) {
	now := uptime.Now()

	if !d.routes.Update(t) {
		return
	}

	d.mu.Lock()
	defer d.mu.Unlock()

	var behind time.Duration
	if d.routeFetcher.behindSince != 0 {
		behind = now - d.routeFetcher.behindSince
	}

	d.routeFetcher.behindSince = 0

	for _, s := range d.sidecars {
		d.sendServiceSettings(s)
	}

	d.log.Info().Str("event", "routes_adopted").Uint64("version", t.Version()).Str("source", source).
		Dur("behind", behind).Dur("since_answer", d.routes.SinceConfirmation(now)).
		Msg("new version of the routes in force")
}
