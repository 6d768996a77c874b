package quic_test

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/skylarkweir/skylarkweir/weir/connection/quic"
)

// silentPath forwards datagrams to a target. Once silenced, it drops those from and to the clients known so far, while
// clients at other ports are served.
type silentPath struct {
	socket net.PacketConn
	target string

	mu      sync.Mutex
	clients map[string]*silentClient
}

type silentClient struct {
	target net.Conn
	silent bool
}

func newSilentPath(t *testing.T, target string) *silentPath {
	t.Helper()

	socket, err := net.ListenPacket("udp", "127.0.0.1:0")
	is.New(t).NoErr(err)

	p := &silentPath{socket: socket, target: target, clients: map[string]*silentClient{}}
	t.Cleanup(p.close)

	go p.run()

	return p
}

func (p *silentPath) address() string { return p.socket.LocalAddr().String() }

func (p *silentPath) close() {
	p.socket.Close()

	p.mu.Lock()
	defer p.mu.Unlock()

	for _, c := range p.clients {
		c.target.Close()
	}
}

// silence makes the path drop everything from and to the clients known so far.
func (p *silentPath) silence() {
	p.mu.Lock()
	defer p.mu.Unlock()

	for _, c := range p.clients {
		c.silent = true
	}
}

// clientCount returns the number of ports from which datagrams came.
func (p *silentPath) clientCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()

	return len(p.clients)
}

func (p *silentPath) run() {
	buffer := make([]byte, 2048)

	for {
		n, from, err := p.socket.ReadFrom(buffer)
		if err != nil {
			return
		}

		if c := p.client(from); c != nil && !p.isSilent(c) {
			_, _ = c.target.Write(buffer[:n])
		}
	}
}

func (p *silentPath) isSilent(c *silentClient) bool {
	p.mu.Lock()
	defer p.mu.Unlock()

	return c.silent
}

func (p *silentPath) client(from net.Addr) *silentClient {
	p.mu.Lock()
	defer p.mu.Unlock()

	c := p.clients[from.String()]
	if c != nil {
		return c
	}

	target, err := net.Dial("udp", p.target)
	if err != nil {
		return nil
	}

	c = &silentClient{target: target}
	p.clients[from.String()] = c
	r := &returnPath{p, c, from}

	go r.run()

	return c
}

// returnPath forwards the datagrams from the target to one client.
type returnPath struct {
	path   *silentPath
	client *silentClient
	to     net.Addr
}

func (r *returnPath) run() {
	buffer := make([]byte, 2048)

	for {
		n, err := r.client.target.Read(buffer)
		if err != nil {
			return
		}

		if !r.path.isSilent(r.client) {
			_, _ = r.path.socket.WriteTo(buffer[:n], r.to)
		}
	}
}

// startNodes returns a node that dials, and a path to another one that accepts connections.
func startNodes(t *testing.T) (*quic.Node, *silentPath) {
	t.Helper()

	keys, err := quic.SharedKeys("deployment")
	is.New(t).NoErr(err)

	var accepting, dialling quic.Node

	for _, n := range []*quic.Node{&accepting, &dialling} {
		is.New(t).NoErr(n.Listen("127.0.0.1:0", keys))
		t.Cleanup(func() { _ = n.Close() })
	}

	return &dialling, newSilentPath(t, accepting.Address().String())
}

// dial connects within a time that a path that works never needs.
func dial(t *testing.T, n *quic.Node, p *silentPath) *quic.Conn {
	t.Helper()

	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()

	c, err := n.Dial(ctx, p.address())
	is.New(t).NoErr(err)

	return c
}

// Guards against dialling an unresponsive peer again over a path that has gone silent for good.
func TestUnresponsivePeerIsDialledFromAnotherPort(t *testing.T) {
	is := is.New(t)
	n, p := startNodes(t)

	c := dial(t, n, p)
	p.silence()
	c.CloseUnresponsive("no keep-alive")

	dial(t, n, p).Close("done")
	is.Equal(p.clientCount(), 2)
}

// Guards against dialling again and again over a path that does not work.
func TestFailedDialIsRepeatedFromAnotherPort(t *testing.T) {
	is := is.New(t)
	n, p := startNodes(t)

	dial(t, n, p).Close("done")
	p.silence()

	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()

	_, err := n.Dial(ctx, p.address())
	is.True(err != nil)

	dial(t, n, p).Close("done")
	is.Equal(p.clientCount(), 2)
}

// Guards against connections that end because their node dials others from another port, and against a port for each of
// several connections that are lost together.
func TestOtherConnectionsKeepTheirPort(t *testing.T) {
	is := is.New(t)
	n, p := startNodes(t)

	kept, lost, lostToo := dial(t, n, p), dial(t, n, p), dial(t, n, p)

	lost.CloseUnresponsive("no keep-alive")
	lostToo.CloseUnresponsive("no keep-alive")
	dial(t, n, p).Close("done")
	is.Equal(p.clientCount(), 2)

	s, err := kept.Open(t.Context())
	is.NoErr(err)
	s.Close()
	is.Equal(context.Cause(t.Context()), nil)

	select {
	case <-kept.Done():
		t.Error("a connection ended with another one")
	default:
	}
}
