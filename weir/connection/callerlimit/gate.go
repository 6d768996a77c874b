package callerlimit

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// checkInterval is the time between two looks for connections that are overdue.
const checkInterval = time.Second

// processStart is the zero of the times of connections. They stand still while the machine is suspended, as its callers'
// connections do.
var processStart = time.Now()

func now() time.Duration { return time.Since(processStart) }

// Gate keeps the callers of one server within limits.
type Gate struct {
	limits  Limits
	metrics *Metrics
	events  events
	// small and large are the memory for the first part of each body and for the rest, nil without a limit.
	small, large *pool

	mu          sync.Mutex
	connections map[*connection]struct{}
	// freed receives a value after a connection has been closed.
	freed chan struct{}
}

// NewGate returns a gate with limits; name stands for the server in log events.
func NewGate(name string, l Limits, m *Metrics, log zerolog.Logger) *Gate {
	g := &Gate{
		limits: l, metrics: m, events: events{name: name, log: log}, connections: map[*connection]struct{}{},
		freed: make(chan struct{}, 1),
	}

	small := int64(float64(l.memory) * smallShare)
	g.small, g.large = newPool(small, l.connections), newPool(l.memory-small, l.connections)

	m.register(g)

	return g
}

// Server returns an HTTP server with the handler h whose callers are limited. It must serve a listener of the gate.
func (g *Gate) Server(h http.Handler) *http.Server {
	s := &http.Server{Handler: h, ReadHeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout}
	if !g.limits.Active() {
		return s
	}

	s.Handler = g.wrap(h)
	s.MaxHeaderBytes = defaultHeaderBytes
	// The server's own handler of "OPTIONS *" reads a body for any time.
	s.DisableGeneralOptionsHandler = true
	s.ConnState = enterState
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connectionKey{}, c)
	}

	return s
}

// Listener returns a listener whose connections draw from the budget. It passes on those of l as they are if there are no
// limits.
func (g *Gate) Listener(l net.Listener) net.Listener {
	if !g.limits.Active() {
		return l
	}

	return &listener{Listener: l, gate: g, closed: make(chan struct{})}
}

// Run closes connections that are overdue until the context ends.
func (g *Gate) Run(ctx context.Context) {
	t := time.NewTicker(checkInterval)
	defer t.Stop()

	for {
		select {
		case <-t.C:
			g.closeOverdue()
		case <-ctx.Done():
			return
		}
	}
}

// connectionKey is the key of the connection in the context of its requests.
type connectionKey struct{}

// enterState follows the states that the HTTP server reports.
func enterState(c net.Conn, s http.ConnState) {
	n, ok := c.(*connection)
	if !ok {
		return
	}

	switch s {
	case http.StateActive:
		n.enter(readingHeader)
	case http.StateIdle:
		n.fields.next()
		n.enter(idle)
	case http.StateNew, http.StateHijacked, http.StateClosed:
	}
}

// all returns the open connections.
func (g *Gate) all() []*connection {
	g.mu.Lock()
	defer g.mu.Unlock()

	all := make([]*connection, 0, len(g.connections))
	for c := range g.connections {
		all = append(all, c)
	}

	return all
}

func (g *Gate) count() int {
	g.mu.Lock()
	defer g.mu.Unlock()

	return len(g.connections)
}

func (g *Gate) closeOverdue() {
	at := now()

	for _, c := range g.all() {
		if c.activity().overdue(at) {
			g.refuse(reasonOverdue)

			_ = c.Close()
		}
	}
}

// closeStalled closes connections that have stalled to make room for others, and returns how many.
func (g *Gate) closeStalled(reason string, forMemory bool) int {
	at, all := now(), g.all()

	activities := make([]activity, len(all))
	for n, c := range all {
		activities[n] = c.activity()
	}

	victims := stalled(activities, at, forMemory)
	for _, n := range victims {
		g.refuse(reason)

		_ = all[n].Close()
	}

	return len(victims)
}

// refuse counts a connection or request that was refused or closed.
func (g *Gate) refuse(reason string) {
	g.metrics.count(reason)
	g.events.add(reason, now())
}

// add adds a connection, unless as many are open as may be.
func (g *Gate) add(c net.Conn) (*connection, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()

	if g.limits.connections > 0 && len(g.connections) >= g.limits.connections {
		return nil, false
	}

	n := newConnection(c, g)
	g.connections[n] = struct{}{}

	return n, true
}

func (g *Gate) remove(c *connection) {
	g.mu.Lock()
	delete(g.connections, c)
	g.mu.Unlock()

	select {
	case g.freed <- struct{}{}:
	default:
	}
}

// listener accepts connections for a gate.
type listener struct {
	net.Listener

	gate    *Gate
	closed  chan struct{}
	closing sync.Once
}

// Accept returns the next connection. While as many are open as may be, it waits for one that ends or stalls; further callers
// wait in the queue of the kernel, without a descriptor.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}

	t := time.NewTicker(minStall / 4)
	defer t.Stop()

	for {
		if n, ok := l.gate.add(c); ok {
			return n, nil
		}

		if l.gate.closeStalled(reasonConnections, false) > 0 {
			continue
		}

		select {
		case <-l.gate.freed:
		case <-t.C:
		case <-l.closed:
			_ = c.Close()

			return nil, net.ErrClosed
		}
	}
}

// Close closes the listener. Accept returns an error from then on.
func (l *listener) Close() error {
	l.closing.Do(func() { close(l.closed) })

	return l.Listener.Close()
}
