package repeatable_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
)

// Guards against an entry that waits for another report before it fetches the newer routes that a sidecar has reported.
func TestRoutesAreFetchedAfterOneReport(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 1, 0, 0)
	r := f.attachRaw(f.entries[0], 1)

	r.send(wire.Frame_builder{Room: wire.Room_builder{RoutesVersion: 7}.Build()}.Build())

	is.Equal(r.next().GetRoutesFetch().GetVersion(), uint64(7))
}
