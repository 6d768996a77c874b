package quic_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/skylarkweir/skylarkweir/weir/connection/quic"
)

// Guards against an address of another writer that ends the process, that blocks for good, or that keeps the node from
// dialling others.
func TestDialOddAddresses(t *testing.T) {
	is := is.New(t)
	keys, err := quic.SharedKeys(t.Name())
	is.NoErr(err)

	var dialler, peer quic.Node

	is.NoErr(dialler.Listen("127.0.0.1:0", keys))
	is.NoErr(peer.Listen("127.0.0.1:0", keys))
	t.Cleanup(func() { _ = dialler.Close(); _ = peer.Close() })

	for _, address := range []string{
		"", ":", ":0", "127.0.0.1", "127.0.0.1:0", "127.0.0.1:65536", "127.0.0.1:-1", "127.0.0.1:99999999999999999999",
		"0.0.0.0:0", "[::]:1", "224.0.0.1:1", "255.255.255.255:1", "[fe80::1%nothing]:1", "\x00:1",
		strings.Repeat("1", 1<<20) + ":1",
	} {
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		_, err := dialler.Dial(ctx, address)

		cancel()
		is.True(err != nil)
	}

	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()

	c, err := dialler.Dial(ctx, peer.Address().String())
	is.NoErr(err)
	c.Close("test")
}
