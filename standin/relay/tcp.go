package relay

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
)

const (
	bufferBytes = 64 << 10
	// queueCapacity bounds the number of delayed chunks or datagrams per direction. When the queue is full, TCP stops
	// reading and UDP drops datagrams.
	queueCapacity = 4096
	dialTimeout   = 2 * time.Second
)

// chunk is data that is forwarded at its due time.
type chunk struct {
	data []byte
	due  time.Time
}

// pipe is one direction of a TCP connection.
type pipe struct {
	relay               *Relay
	link                *link
	source, destination net.Conn
	down                bool
	// requestPending is set while a forwarded request has no answer yet. Both directions of a connection share it.
	requestPending *atomic.Bool
}

func (r *Relay) openTCP(ctx context.Context, listen string) error {
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", listen)
	if err != nil {
		return merry.Prependf(err, "listen on %s", listen)
	}

	r.listener, r.address = l, l.Addr()

	r.goroutines.Go(func() { r.acceptLoop(ctx, l) })

	return nil
}

func (r *Relay) acceptLoop(ctx context.Context, l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}

		if f, _ := r.faultsOf(hostOf(c.RemoteAddr())); f.refuse {
			closeAll(c)
			r.lost.Add(1)

			continue
		}

		r.goroutines.Go(func() { r.serveTCP(ctx, c) })
	}
}

func (r *Relay) serveTCP(ctx context.Context, client net.Conn) {
	defer closeAll(client)

	target, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", r.target)
	if err != nil {
		return
	}
	defer closeAll(target)

	ctx, cancel := context.WithCancel(ctx)
	defer cancel()

	l := &link{client: hostOf(client.RemoteAddr()), close: func() { cancel(); closeAll(client, target) }}

	r.add(l)
	defer r.remove(l)

	var requestPending atomic.Bool

	done := make(chan struct{}, 2)
	for _, p := range []pipe{
		{r, l, client, target, false, &requestPending},
		{r, l, target, client, true, &requestPending},
	} {
		r.goroutines.Go(func() {
			p.run(ctx)
			done <- struct{}{}
		})
	}

	// After one direction has ended, the other may still have data to deliver.
	for range 2 {
		<-done
	}
}

func (p pipe) run(ctx context.Context) {
	queue := make(chan chunk, queueCapacity)

	p.relay.goroutines.Go(func() { p.readLoop(ctx, queue) })

	for c := range queue {
		if !p.forward(ctx, c) {
			p.link.close()
		}
	}

	// Forward the end of this direction by a half-close; the other direction stays open.
	if t, ok := p.destination.(*net.TCPConn); ok {
		_ = t.CloseWrite()
	}
}

func (p pipe) readLoop(ctx context.Context, queue chan<- chunk) {
	defer close(queue)

	for {
		data := make([]byte, bufferBytes)

		n, err := p.source.Read(data)
		if n > 0 {
			f, _ := p.relay.faultsOf(p.link.client)

			select {
			case queue <- chunk{data[:n], time.Now().Add(f.delay)}:
			case <-ctx.Done():
				return
			}
		}

		if err != nil {
			return
		}
	}
}

// forward returns false if the connection has to be closed.
func (p pipe) forward(ctx context.Context, c chunk) bool {
	if !sleep(ctx, time.Until(c.due)) || !p.waitWhileCut(ctx) {
		return false
	}

	if p.link.silent.Load() {
		p.relay.lost.Add(1)

		return true
	}

	if p.down && p.requestPending.Swap(false) && p.relay.consumeAnswerDrop(p.link.client) {
		return false
	}

	if !p.down {
		// Before the write: the answer may arrive before this goroutine runs again.
		p.requestPending.Store(true)
	}

	if _, err := p.destination.Write(c.data); err != nil {
		return false
	}

	if p.down {
		p.relay.down.Add(1)
	} else {
		p.relay.up.Add(1)
	}

	return true
}

// waitWhileCut waits until this direction is not cut. It returns false if the context is done first.
func (p pipe) waitWhileCut(ctx context.Context) bool {
	for {
		f, changed := p.relay.faultsOf(p.link.client)
		if p.down && !f.cutDown || !p.down && !f.cutUp {
			return ctx.Err() == nil
		}

		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}
