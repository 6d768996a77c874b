// Package relay forwards TCP connections or UDP datagrams on loopback and injects faults into them.
//
// "Up" is the direction from the client to the target, "down" the opposite one.
package relay

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
)

// Networks that a relay can forward.
const (
	TCP = "tcp"
	UDP = "udp"
)

// Relay forwards traffic from one address to one target. The zero value is ready for Open and injects no faults.
type Relay struct {
	network, target string
	listener        io.Closer
	address         net.Addr
	cancel          context.CancelFunc
	goroutines      sync.WaitGroup

	mutex sync.Mutex
	// faults apply to clients that are not in clientFaults.
	faults Faults
	// clientFaults holds the faults of single clients, by host.
	clientFaults map[string]Faults
	// changed is closed and replaced whenever the faults are replaced or cleared.
	changed chan struct{}
	// links are the open TCP connections or UDP sessions.
	links  map[*link]struct{}
	random *rand.Rand

	up, down, lost atomic.Int64
}

// Open starts forwarding, which continues until Close, also after ctx is done. With port 0 the kernel chooses a port,
// which Address then returns.
func (r *Relay) Open(ctx context.Context, network, listen, target string) error {
	r.network, r.target = network, target
	r.changed = make(chan struct{})
	r.links = map[*link]struct{}{}
	r.clientFaults = map[string]Faults{}
	r.random = rand.New(rand.NewPCG(1, 2))

	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	r.cancel = cancel

	var err error

	switch network {
	case TCP:
		err = r.openTCP(ctx, listen)
	case UDP:
		err = r.openUDP(ctx, listen)
	default:
		err = merry.Errorf("network %q is neither tcp nor udp", network)
	}

	if err != nil {
		cancel()
	}

	return err
}

// Address returns the address at which the relay listens.
func (r *Relay) Address() string { return r.address.String() }

// Target returns the address to which the relay forwards.
func (r *Relay) Target() string { return r.target }

// SetFaults replaces the faults of all clients except those that SetClientFaults was called for.
func (r *Relay) SetFaults(f Faults) {
	r.mutex.Lock()
	defer r.mutex.Unlock()

	r.faults = f
	r.notifyChange()
}

// SetClientFaults replaces the faults of the clients on this host. They apply to all connections from there, whatever port
// a client uses when it connects anew.
func (r *Relay) SetClientFaults(host string, f Faults) {
	r.mutex.Lock()
	defer r.mutex.Unlock()

	r.clientFaults[host] = f
	r.notifyChange()
}

// ClearFaults removes all faults, including those of single clients.
func (r *Relay) ClearFaults() {
	r.mutex.Lock()
	defer r.mutex.Unlock()

	r.faults = Faults{}
	clear(r.clientFaults)
	r.notifyChange()
}

// Faults returns the faults of all clients except those that SetClientFaults was called for.
func (r *Relay) Faults() Faults {
	r.mutex.Lock()
	defer r.mutex.Unlock()

	return r.faults
}

// CloseConnections closes the open TCP connections and discards the UDP sessions.
func (r *Relay) CloseConnections() {
	r.mutex.Lock()
	links := make([]*link, 0, len(r.links))

	for l := range r.links {
		links = append(links, l)
	}
	r.mutex.Unlock()

	for _, l := range links {
		l.close()
	}
}

// SilenceConnections makes the open TCP connections drop everything from now on, without closing them, and the relay drop
// all datagrams from and to the UDP clients known so far. New connections work, and so do clients at other ports.
func (r *Relay) SilenceConnections() {
	r.mutex.Lock()
	defer r.mutex.Unlock()

	for l := range r.links {
		l.silent.Store(true)
	}
}

// Counts returns the number of chunks or datagrams forwarded in each direction, and the number of dropped chunks,
// dropped datagrams and refused connections.
func (r *Relay) Counts() (up, down, lost int64) { return r.up.Load(), r.down.Load(), r.lost.Load() }

// Close stops forwarding and waits until all goroutines have ended.
func (r *Relay) Close() error {
	if r.cancel == nil {
		return nil
	}

	r.cancel()
	err := r.listener.Close()
	r.CloseConnections()
	r.goroutines.Wait()

	return err
}

// notifyChange is called with the mutex held.
func (r *Relay) notifyChange() {
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *Relay) faultsOf(host string) (Faults, <-chan struct{}) {
	r.mutex.Lock()
	defer r.mutex.Unlock()

	if f, ok := r.clientFaults[host]; ok {
		return f, r.changed
	}

	return r.faults, r.changed
}

// consumeAnswerDrop reports whether the next answer to a client on the host is to be dropped. If so, it reduces the number of
// answers that remain to be dropped, and counts the loss.
func (r *Relay) consumeAnswerDrop(host string) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()

	f, hasOwn := r.clientFaults[host]
	if !hasOwn {
		f = r.faults
	}

	if f.dropAnswers == 0 {
		return false
	}

	f.dropAnswers--
	if hasOwn {
		r.clientFaults[host] = f
	} else {
		r.faults = f
	}

	r.lost.Add(1)

	return true
}

// chance returns true with the given probability.
func (r *Relay) chance(probability float64) bool {
	if probability <= 0 {
		return false
	}

	r.mutex.Lock()
	defer r.mutex.Unlock()

	return r.random.Float64() < probability
}

func (r *Relay) add(l *link) {
	r.mutex.Lock()
	defer r.mutex.Unlock()

	r.links[l] = struct{}{}
}

func (r *Relay) remove(l *link) {
	r.mutex.Lock()
	defer r.mutex.Unlock()

	delete(r.links, l)
}

// link is one TCP connection or UDP session. close closes both ends.
type link struct {
	// client is the host of the client.
	client string
	close  func()
	// silent is true once everything on this connection or from and to this client is dropped.
	silent atomic.Bool
}

func closeAll(ends ...io.Closer) {
	for _, e := range ends {
		e.Close()
	}
}

// hostOf returns the host of a client.
func hostOf(a net.Addr) string {
	host, _, err := net.SplitHostPort(a.String())
	if err != nil {
		return a.String()
	}

	return host
}

// sleep waits for d. It returns false if the context is done first.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}

	t := time.NewTimer(d)
	defer t.Stop()

	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
