package quic_test

import (
	"bytes"
	"context"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/skylarkweir/skylarkweir/weir/connection/quic"
	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
)

// Guards against truncated or altered frames when a frame of several MB is larger than the flow control window.
func TestLargeRoundTrip(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()

	dir := t.TempDir()
	is.NoErr(quic.IssueKeys(dir, time.Hour))

	keys, err := quic.LoadKeys(
		filepath.Join(dir, quic.CertificateFile), filepath.Join(dir, quic.KeyFile), filepath.Join(dir, quic.AuthorityFile),
	)
	is.NoErr(err)

	var a, b quic.Node
	is.NoErr(a.Listen("127.0.0.1:0", keys))
	defer a.Close()
	is.NoErr(b.Listen("127.0.0.1:0", keys))
	defer b.Close()

	e := &echoServer{node: &a}
	go e.run(ctx)

	c, err := b.Dial(ctx, a.Address().String())
	is.NoErr(err)

	start := &wire.Start{}
	start.SetInput(bytes.Repeat([]byte("weir"), 2<<20))
	f := &wire.Frame{}
	f.SetStart(start)

	reply, err := c.RoundTrip(ctx, f)
	is.NoErr(err)
	is.True(bytes.Equal(reply.GetStart().GetInput(), start.GetInput()))
}

type echoServer struct{ node *quic.Node }

func (e *echoServer) run(ctx context.Context) {
	c, err := e.node.Accept(ctx)
	if err != nil {
		return
	}

	s, err := c.Accept(ctx)
	if err != nil {
		return
	}

	f, err := s.Receive()
	if err != nil {
		return
	}

	_ = s.Send(f)
	_, _ = s.Receive()
}
