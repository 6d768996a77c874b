package relay

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"
)

// sessionIdleTimeout is longer than QUIC's idle timeout, so that a session does not end before its QUIC connection.
const sessionIdleTimeout = time.Minute

// session is one UDP client. It has its own socket to the target, so that answers can be assigned to the client.
type session struct {
	relay          *Relay
	link           *link
	client         net.Addr
	listenConn     net.PacketConn
	target         net.Conn
	up             chan chunk
	requestPending atomic.Bool
}

func (r *Relay) openUDP(ctx context.Context, listen string) error {
	listenConn, err := (&net.ListenConfig{}).ListenPacket(ctx, "udp", listen)
	if err != nil {
		return merry.Prependf(err, "listen on %s", listen)
	}

	r.listener, r.address = listenConn, listenConn.LocalAddr()

	r.goroutines.Go(func() { r.datagramLoop(ctx, listenConn) })

	return nil
}

func (r *Relay) datagramLoop(ctx context.Context, listenConn net.PacketConn) {
	sessions := map[string]*session{}
	buffer := make([]byte, bufferBytes)

	for {
		n, client, err := listenConn.ReadFrom(buffer)
		if err != nil {
			return
		}

		s := sessions[client.String()]
		if s == nil || !s.isOpen() {
			if s, err = r.openSession(ctx, listenConn, client); err != nil {
				continue
			}

			sessions[client.String()] = s
		}

		f, _ := r.faultsOf(s.link.client)
		s.enqueue(s.up, append([]byte(nil), buffer[:n]...), f)
	}
}

func (r *Relay) openSession(ctx context.Context, listenConn net.PacketConn, client net.Addr) (*session, error) {
	target, err := (&net.Dialer{}).DialContext(ctx, "udp", r.target)
	if err != nil {
		return nil, merry.Prependf(err, "dial %s", r.target)
	}

	ctx, cancel := context.WithCancel(ctx)
	s := &session{relay: r, client: client, listenConn: listenConn, target: target, up: make(chan chunk, queueCapacity)}
	s.link = &link{client: hostOf(client), close: func() { cancel(); closeAll(target) }}
	r.add(s.link)

	down := make(chan chunk, queueCapacity)

	r.goroutines.Go(func() { s.forwardLoop(ctx, s.up, false) })
	r.goroutines.Go(func() { s.forwardLoop(ctx, down, true) })
	r.goroutines.Go(func() { s.readLoop(down) })

	return s, nil
}

func (s *session) isOpen() bool {
	s.relay.mutex.Lock()
	defer s.relay.mutex.Unlock()

	_, ok := s.relay.links[s.link]

	return ok
}

func (s *session) readLoop(down chan<- chunk) {
	defer s.relay.remove(s.link)
	defer s.link.close()

	buffer := make([]byte, bufferBytes)

	for {
		_ = s.target.SetReadDeadline(time.Now().Add(sessionIdleTimeout))

		n, err := s.target.Read(buffer)
		// The target does not listen at present, for example during a restart; keep the session.
		if errors.Is(err, syscall.ECONNREFUSED) {
			continue
		}

		if err != nil {
			return
		}

		f, _ := s.relay.faultsOf(s.link.client)
		s.enqueue(down, append([]byte(nil), buffer[:n]...), f)
	}
}

// enqueue drops datagrams that do not fit into the queue, as a network does.
func (s *session) enqueue(queue chan<- chunk, data []byte, f Faults) {
	copies := 1
	if s.relay.chance(f.duplicate) {
		copies = 2
	}

	if s.relay.chance(f.loss) {
		copies = 0
		s.relay.lost.Add(1)
	}

	for range copies {
		select {
		case queue <- chunk{data, time.Now().Add(f.delay)}:
		default:
			s.relay.lost.Add(1)
		}
	}
}

func (s *session) forwardLoop(ctx context.Context, queue <-chan chunk, down bool) {
	for {
		select {
		case c := <-queue:
			if !sleep(ctx, time.Until(c.due)) {
				return
			}

			s.forward(c, down)
		case <-ctx.Done():
			return
		}
	}
}

func (s *session) forward(c chunk, down bool) {
	f, _ := s.relay.faultsOf(s.link.client)

	switch {
	case s.link.silent.Load(), down && f.cutDown, !down && f.cutUp:
		s.relay.lost.Add(1)
	case down && s.requestPending.Swap(false) && s.relay.consumeAnswerDrop(s.link.client):
		// consumeAnswerDrop has counted the dropped datagram.
	case down:
		_, _ = s.listenConn.WriteTo(c.data, s.client)
		s.relay.down.Add(1)
	default:
		// The answer may arrive before Write returns.
		s.requestPending.Store(true)
		_, _ = s.target.Write(c.data)
		s.relay.up.Add(1)
	}
}
