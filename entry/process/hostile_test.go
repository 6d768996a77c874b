package process_test

import (
	"context"
	"math/rand/v2"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/skylarkweir/skylarkweir/standin/hostileframes"
	"github.com/skylarkweir/skylarkweir/weir/connection/quic"
	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
)

// hostilePeer sends frames with any values to an entry, on its control stream and on streams of its own.
type hostilePeer struct {
	node   *quic.Node
	random *rand.Rand
}

// connect sends a first frame of a role and then hostile frames.
func (p *hostilePeer) connect(ctx context.Context, address string, first *wire.Frame, frames int) {
	c, err := p.node.Dial(ctx, address)
	if err != nil {
		return
	}
	defer c.Close("test")

	control, err := c.Open(ctx)
	if err != nil || control.Send(first) != nil {
		return
	}

	for range frames {
		s := control

		if p.random.IntN(2) == 0 {
			if s, err = c.Open(ctx); err != nil {
				return
			}
		}

		if s.Send(hostileframes.New(p.random)) != nil {
			return
		}
	}

	// The entry reads what was sent before the connection ends.
	select {
	case <-c.Done():
	case <-time.After(50 * time.Millisecond):
	case <-ctx.Done():
	}
}

// Guards against an entry that ends or no longer serves because a sidecar or an entry sends one frame with unexpected
// values.
func TestHostileFrames(t *testing.T) {
	t.Parallel()

	const (
		seed        = 20261204
		connections = 60
		frames      = 30
	)

	t.Logf("seed %d", seed)

	is := is.New(t)
	s := newTestCluster(t, 1, 1)
	file := func(name string) string { return filepath.Join(s.dir, name) }
	keys, err := quic.LoadKeys(file(quic.CertificateFile), file(quic.KeyFile), file(quic.AuthorityFile))
	is.NoErr(err)

	p := &hostilePeer{&quic.Node{}, rand.New(rand.NewPCG(seed, 1))}
	is.NoErr(p.node.Listen("127.0.0.1:0", keys))
	t.Cleanup(func() { _ = p.node.Close() })

	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()

	firsts := []func(n uint64) *wire.Frame{
		func(n uint64) *wire.Frame {
			return wire.Frame_builder{Hello: wire.Hello_builder{
				Role:  wire.Role_ROLE_ENTRY,
				Entry: wire.Entry_builder{Name: "hostile", Incarnation: 1000 + n, Address: "127.0.0.1:1"}.Build(),
			}.Build()}.Build()
		},
		func(n uint64) *wire.Frame {
			return wire.Frame_builder{Hello: wire.Hello_builder{
				Role:   wire.Role_ROLE_SIDECAR,
				Worker: wire.Worker_builder{Name: "hostile", Incarnation: 2000 + n, Slots: 4}.Build(),
			}.Build()}.Build()
		},
		func(n uint64) *wire.Frame {
			return wire.Frame_builder{Attach: wire.Attach_builder{Sidecar: "hostile", Incarnation: n}.Build()}.Build()
		},
		func(uint64) *wire.Frame { return hostileframes.New(p.random) },
	}

	for n := range connections {
		p.connect(ctx, s.entries[0].Address(), firsts[n%len(firsts)](uint64(n)), frames)
	}

	result := s.entries[0].submit(s.entries[0].ticket(is), job(50*time.Millisecond, 2))
	is.NoErr(result.err)
	is.Equal(result.status, 200)
}
