package quic

import (
	"context"
	"errors"
	"maps"
	"net"
	"slices"

	"github.com/ansel1/merry/v2"
	quicgo "github.com/quic-go/quic-go"
)

// socket is a UDP socket from which a node dials. Its fields change under the mutex of the node.
type socket struct {
	transport *quicgo.Transport
	// uses counts the connections and the attempts to dial; the node counts as one while it listens here or dials new
	// connections from here. The socket is closed when it reaches zero.
	uses int
}

// acquire returns the socket from which connections are dialled at present. The caller releases it.
func (n *Node) acquire() *socket {
	n.mu.Lock()
	defer n.mu.Unlock()

	n.dialling.uses++

	return n.dialling
}

// release ends one use of a socket.
func (n *Node) release(s *socket) {
	n.mu.Lock()
	defer n.mu.Unlock()

	n.releaseLocked(s)
}

// releaseLocked is release with the mutex held.
func (n *Node) releaseLocked(s *socket) {
	if s.uses--; s.uses == 0 && !n.closed {
		delete(n.sockets, s)
		_ = s.close()
	}
}

// replace makes the node dial from a new socket, at a port that the operating system chooses. The path between a peer and
// the port of an earlier socket may have gone silent for good while others work. It does nothing if s has been replaced
// already, so that connections that are lost together open one socket. Without a new socket the node keeps s.
func (n *Node) replace(s *socket) {
	n.mu.Lock()
	defer n.mu.Unlock()

	if n.closed || n.dialling != s {
		return
	}

	local := *n.listening.transport.Conn.LocalAddr().(*net.UDPAddr)
	local.Port = 0

	udp, err := net.ListenUDP("udp", &local)
	if err != nil {
		return
	}

	n.dialling = &socket{transport: &quicgo.Transport{Conn: udp}, uses: 1}
	n.sockets[n.dialling] = true
	n.releaseLocked(s)
}

// dial connects from the socket. A peer that does not answer is dialled from another socket the next time.
func (n *Node) dial(ctx context.Context, s *socket, peer net.Addr) (*Conn, error) {
	c, err := s.transport.Dial(ctx, peer, n.clientConfig, quicConfig())
	if err != nil {
		if isTimeout(err) {
			n.replace(s)
		}

		n.release(s)

		return nil, merry.Prependf(err, "dial %s", peer)
	}

	dialled := &Conn{quic: c, traffic: &n.traffic, node: n, socket: s}
	context.AfterFunc(c.Context(), dialled.releaseSocket) //nolint:contextcheck // the connection outlives the dial

	return dialled, nil
}

// releaseSocket is called when a connection that this process has dialled has ended.
func (c *Conn) releaseSocket() {
	if isTimeout(context.Cause(c.quic.Context())) {
		c.node.replace(c.socket)
	}

	c.node.release(c.socket)
}

// isTimeout reports whether a peer did not answer in time.
func isTimeout(err error) bool {
	var timeout net.Error

	return errors.Is(err, context.DeadlineExceeded) || errors.As(err, &timeout) && timeout.Timeout()
}

// closeAll returns the open sockets, which the caller closes. No other one is opened or closed afterwards.
func (n *Node) closeAll() []*socket {
	n.mu.Lock()
	defer n.mu.Unlock()

	n.closed = true

	return slices.Collect(maps.Keys(n.sockets))
}

// close ends the connections of the socket and closes it.
func (s *socket) close() error {
	err := s.transport.Close()
	_ = s.transport.Conn.Close()

	return err
}
