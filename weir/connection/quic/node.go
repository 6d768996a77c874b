// Package quic carries frames between entries and sidecars over QUIC.
package quic

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	quicgo "github.com/quic-go/quic-go"

	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
)

const (
	protocol = "skylarkweir/1"
	// idleTimeout is longer than a lease, so that the connections of a paused process outlive its leases.
	idleTimeout      = 10 * time.Second
	handshakeTimeout = 2 * time.Second
	// maxIncomingStreams bounds the streams that a peer has open at once on one connection.
	maxIncomingStreams = 1 << 16
)

// Node is a QUIC endpoint that accepts connections on one UDP socket and dials from the same one, until a peer does not
// answer there. The zero value is ready for Listen.
type Node struct {
	// listening is set by Listen and not changed afterwards.
	listening    *socket
	listener     *quicgo.Listener
	clientConfig *tls.Config
	traffic      Traffic

	// mu guards the fields below and the sockets.
	mu sync.Mutex
	// dialling is the socket from which connections are dialled.
	dialling *socket
	// sockets holds the open sockets.
	sockets map[*socket]bool
	closed  bool
}

// Traffic counts the bytes of frames. Work frames carry submissions, tasks or their answers; all others are control
// frames.
type Traffic struct {
	controlIn, controlOut, workIn, workOut atomic.Int64
	// controlFrames counts the control frames sent.
	controlFrames atomic.Int64
}

// ControlFrames returns the number of control frames sent. The acknowledgement of an outcome counts as a work frame,
// since it ends the exchange of a task.
func (t *Traffic) ControlFrames() int64 { return t.controlFrames.Load() }

// ControlBytes returns the bytes of control frames received and sent.
func (t *Traffic) ControlBytes() (in, out int64) { return t.controlIn.Load(), t.controlOut.Load() }

// WorkBytes returns the bytes of work frames received and sent.
func (t *Traffic) WorkBytes() (in, out int64) { return t.workIn.Load(), t.workOut.Load() }

func (t *Traffic) count(f *wire.Frame, size int, in bool) {
	control, work := &t.controlOut, &t.workOut
	if in {
		control, work = &t.controlIn, &t.workIn
	}

	switch f.WhichBody() {
	case wire.Frame_Start_case, wire.Frame_StartReply_case, wire.Frame_StartAck_case, wire.Frame_Forward_case,
		wire.Frame_ForwardReply_case, wire.Frame_Handover_case:
		work.Add(int64(size))
	default:
		control.Add(int64(size))

		if !in {
			t.controlFrames.Add(1)
		}
	}
}

// Listen opens the socket at address, a host and port. With port 0 the operating system chooses a free port.
func (n *Node) Listen(address string, keys Keys) error {
	udp, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return merry.Prependf(err, "resolve %s", address)
	}

	conn, err := net.ListenUDP("udp", udp)
	if err != nil {
		return merry.Prependf(err, "listen on %s", address)
	}

	transport := &quicgo.Transport{Conn: conn, StatelessResetKey: keys.statelessReset()}

	n.listener, err = transport.Listen(keys.server(), quicConfig())
	if err != nil {
		_ = conn.Close()

		return merry.Prependf(err, "listen on %s", address)
	}

	n.clientConfig = keys.client()
	n.listening = &socket{transport: transport, uses: 2}
	n.dialling, n.sockets = n.listening, map[*socket]bool{n.listening: true}

	return nil
}

// Address returns the address at which the node accepts connections.
func (n *Node) Address() net.Addr { return n.listening.transport.Conn.LocalAddr() }

// Traffic returns the counters of all connections of the node.
func (n *Node) Traffic() *Traffic { return &n.traffic }

// Accept waits for the next connection.
func (n *Node) Accept(ctx context.Context) (*Conn, error) {
	c, err := n.listener.Accept(ctx)
	if err != nil {
		return nil, merry.Prepend(err, "accept connection")
	}

	return &Conn{quic: c, traffic: &n.traffic}, nil
}

// Dial connects to the node at address, a host and port. After an attempt that got no answer in time, or a connection
// that was closed as unresponsive, the next one uses another port.
func (n *Node) Dial(ctx context.Context, address string) (*Conn, error) {
	udp, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, merry.Prependf(err, "resolve %s", address)
	}

	return n.dial(ctx, n.acquire(), udp)
}

// Close ends all connections and closes the sockets. It does nothing before Listen.
func (n *Node) Close() error {
	if n.listening == nil {
		return nil
	}

	_ = n.listener.Close()

	var errs []error
	for _, s := range n.closeAll() {
		errs = append(errs, s.close())
	}

	return errors.Join(errs...)
}

func quicConfig() *quicgo.Config {
	return &quicgo.Config{
		HandshakeIdleTimeout: handshakeTimeout,
		MaxIdleTimeout:       idleTimeout,
		MaxIncomingStreams:   maxIncomingStreams,
		// Frames are small, and a process may have hundreds of connections: probes would be most of its packets.
		DisablePathMTUDiscovery: true,
	}
}
