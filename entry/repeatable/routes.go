package repeatable

import (
	"time"

	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
	"github.com/skylarkweir/skylarkweir/weir/process/uptime"
	"github.com/skylarkweir/skylarkweir/weir/version/routes"
)

// fetchGap is the least time between two requests for routes. It also leaves the store the time to answer first.
const routeFetchInterval = 200 * time.Millisecond

// RouteParser parses a record of routes as the operator wrote it.
type RouteParser func(record []byte) (*routes.Table, error)

// catchUp fetches routes from sidecars when these have heard of a newer version.
type routeFetcher struct {
	parse RouteParser
	// since is when a newer version was first heard of, zero if none is; asked is the time of the last request.
	behindSince, lastRequest time.Duration
}

// SetRouteParser sets the parser of the records of routes that arrive through sidecars.
func (d *Dispatcher) SetRouteParser(r RouteParser) {
	d.mu.Lock()
	defer d.mu.Unlock()

	d.routeFetcher.parse = r
}

// behind asks a sidecar for the routes if it has heard of a newer version than the one in force here.
func (d *Dispatcher) fetchNewerRoutes(s *sidecar) {
	c, now := &d.routeFetcher, uptime.Now()

	switch version := s.report.GetRoutesVersion(); {
	case version <= d.routes.Version():
		return
	case c.behindSince == 0 || now-c.behindSince > 10*routeFetchInterval:
		c.behindSince = now
	case now-c.behindSince >= routeFetchInterval && now-c.lastRequest >= routeFetchInterval:
		c.lastRequest = now

		s.send(wire.Frame_builder{RoutesFetch: wire.RoutesFetch_builder{Version: version}.Build()}.Build())
	}
}

func (d *Dispatcher) sendRoutes(s *sidecar) {
	if t := d.routes.Table(); t != nil {
		s.send(wire.Frame_builder{Routes: wire.Routes_builder{Version: t.Version(), Record: t.Record()}.Build()}.Build())
	}
}

// relayed takes routes that came through a sidecar.
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
			Msg("routes that were passed on cannot be read")

		return
	}

	d.AdoptRoutes(t, "sidecar")
}

// AdoptRoutes puts routes into force unless they are older than those in force.
func (d *Dispatcher) AdoptRoutes(t *routes.Table, source string) {
	if !d.routes.Adopt(t) {
		return
	}

	d.log.Info().Str("event", "routes_adopted").Uint64("version", t.Version()).Str("source", source).
		Msg("a version of the routes is in force")

	d.mu.Lock()
	defer d.mu.Unlock()

	d.routeFetcher.behindSince = 0
}
