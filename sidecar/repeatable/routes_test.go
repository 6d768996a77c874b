package repeatable_test

import (
	"testing"

	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
)

// Guards against an entry that stays on an old version because the first entry that reported the new one, and is asked for
// it, does not answer.
func TestRoutesAreFetchedFromAnotherEntry(t *testing.T) {
	fx := newLinksFixture(t, 3)

	for _, e := range fx.entries {
		fx.links.Add(e.entry())
		fx.await("the sidecar has a session with the entry", func() bool { return e.count() == 1 })
	}

	const version = 7

	for _, e := range fx.entries[:2] {
		e.send(wire.Frame_builder{KeepAlive: wire.KeepAlive_builder{RoutesVersion: version}.Build()}.Build())
	}

	asked := map[int]bool{}

	fx.await("both entries that have the version are asked for it", func() bool {
		fx.entries[2].send(wire.Frame_builder{RoutesFetch: wire.RoutesFetch_builder{Version: version}.Build()}.Build())

		for n, e := range fx.entries[:2] {
			select {
			case <-e.fetches:
				asked[n] = true
			default:
			}
		}

		return len(asked) == 2
	})
}
