package peer_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/skylarkweir/skylarkweir/weir/connection/quic"
	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
)

// confusedEntry answers the first frame of every stream with the frames in answers, by the kind of the first frame.
type confusedEntry struct {
	node *quic.Node
	ctx  context.Context
	// welcome is false if the entry answers Hello with a frame of another kind.
	welcome bool
}

func (e *confusedEntry) run() {
	for {
		c, err := e.node.Accept(e.ctx)
		if err != nil {
			return
		}

		a := &confusedConn{e, c}
		go a.run()
	}
}

// confusedConn is one connection of a confusedEntry.
type confusedConn struct {
	entry *confusedEntry
	conn  *quic.Conn
}

func (c *confusedConn) run() {
	for {
		s, err := c.conn.Accept(c.entry.ctx)
		if err != nil {
			return
		}

		f, err := s.Receive()
		if err != nil {
			return
		}

		_ = s.Send(c.entry.answer(f))
	}
}

func (e *confusedEntry) self() *wire.Entry {
	return wire.Entry_builder{Name: "confused", Incarnation: 7, Address: e.node.Address().String()}.Build()
}

// answer returns the expected frame for an exchange, so that the connection lives, and an unexpected one for a forward.
func (e *confusedEntry) answer(f *wire.Frame) *wire.Frame {
	switch {
	case f.HasHello() && e.welcome:
		return wire.Frame_builder{Welcome: wire.Welcome_builder{Entry: e.self()}.Build()}.Build()
	case f.HasExchange():
		return wire.Frame_builder{Exchange: wire.Exchange_builder{Entry: e.self()}.Build()}.Build()
	default:
		return wire.Frame_builder{KeepAlive: &wire.KeepAlive{}}.Build()
	}
}

func startConfusedEntry(t *testing.T, keys quic.Keys, welcome bool) *confusedEntry {
	t.Helper()

	e := &confusedEntry{node: &quic.Node{}, ctx: t.Context(), welcome: welcome}
	is.New(t).NoErr(e.node.Listen("127.0.0.1:0", keys))
	t.Cleanup(func() { _ = e.node.Close() })

	go e.run()

	return e
}

// Guards against a process that ends because it uses a connection that was not set up: an entry answered Hello with
// another frame than Welcome.
func TestPeerAnswersHelloWithAnotherFrame(t *testing.T) {
	t.Parallel()

	is := is.New(t)
	keys := issueKeys(t)
	e := startConfusedEntry(t, keys, false)
	a := startEntry(t, keys, 1, e.node.Address().String())

	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()

	_, _, err := a.peers.Forward(ctx, e.self(), newForward("s", 7, 0))
	is.True(err != nil)
	is.Equal(len(a.peers.Reached()), 0)
}

// Guards against a submission that is treated as unknown to its home, and then as not run, because the home answered
// with a frame of another kind.
func TestPeerAnswersForwardWithAnotherFrame(t *testing.T) {
	t.Parallel()

	is := is.New(t)
	keys := issueKeys(t)
	e := startConfusedEntry(t, keys, true)
	a := startEntry(t, keys, 1, e.node.Address().String())

	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()

	_, isHome, err := a.peers.Forward(ctx, e.self(), newForward("s", 7, 0))
	is.True(!isHome)
	is.True(err != nil)
}
