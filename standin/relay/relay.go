// Package relay forwards TCP connections or UDP datagrams on loopback and injects faults into them.
//
// "Up" is the direction from the client to the target, "down" the direction of the answers.
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

// The networks that a relay forwards.
const (
	TCP = "tcp"
	UDP = "udp"
)

// Relay forwards one address to one target. The zero value is ready for Open and forwards without faults.
type Relay struct {
	network, target string
	listener        io.Closer
	address         net.Addr
	cancel          context.CancelFunc
	goroutines      sync.WaitGroup

	mutex sync.Mutex
	// faults apply to clients that have none of their own.
	faults Faults
	// own holds the faults of single clients, by their address.
	clientFaults map[string]Faults
	// changed is closed and replaced at each change of faults or dropped answers.
	changed chan struct{}
	// links are the connections or sessions in progress.
	links  map[*link]struct{}
	random *rand.Rand

	up, down, lost atomic.Int64
}

// Open starts forwarding, until Close and beyond the end of ctx. Port 0 lets the kernel choose; Address tells the
// outcome.
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

// Address returns where the relay listens.
func (r *Relay) Address() string { return r.address.String() }

// Target returns where the relay forwards to.
func (r *Relay) Target() string { return r.target }

// Set replaces the faults of all clients that have none of their own.
func (r *Relay) SetFaults(f Faults) {
	r.mutex.Lock()
	defer r.mutex.Unlock()

	r.faults = f
	r.notifyChange()
}

// SetFor replaces the faults of one client, known by its address; UDP clients keep theirs over connections.
func (r *Relay) SetClientFaults(client string, f Faults) {
	r.mutex.Lock()
	defer r.mutex.Unlock()

	r.clientFaults[client] = f
	r.notifyChange()
}

// Heal removes all faults, also those of single clients.
func (r *Relay) ClearFaults() {
	r.mutex.Lock()
	defer r.mutex.Unlock()

	r.faults = Faults{}
	clear(r.clientFaults)
	r.notifyChange()
}

// Faults returns the faults of all clients that have none of their own.
func (r *Relay) Faults() Faults {
	r.mutex.Lock()
	defer r.mutex.Unlock()

	return r.faults
}

// Break closes the TCP connections in progress and forgets the UDP sessions.
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

// Counts returns the chunks or datagrams forwarded in each direction and those lost to faults.
func (r *Relay) Counts() (up, down, lost int64) { return r.up.Load(), r.down.Load(), r.lost.Load() }

// Close stops forwarding and waits until nothing runs any more.
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

// announce is called with the mutex held.
func (r *Relay) notifyChange() {
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *Relay) faultsOf(client string) (Faults, <-chan struct{}) {
	r.mutex.Lock()
	defer r.mutex.Unlock()

	if f, ok := r.clientFaults[client]; ok {
		return f, r.changed
	}

	return r.faults, r.changed
}

// takeAnswer reports whether the next answer to the client has to be dropped, and counts it.
func (r *Relay) consumeAnswerDrop(client string) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()

	f, hasOwn := r.clientFaults[client]
	if !hasOwn {
		f = r.faults
	}

	if f.dropAnswers == 0 {
		return false
	}

	f.dropAnswers--
	if hasOwn {
		r.clientFaults[client] = f
	} else {
		r.faults = f
	}

	r.lost.Add(1)

	return true
}

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

// link is one connection or session. Both ends are closed together.
type link struct {
	client string
	close  func()
}

func closeAll(ends ...io.Closer) {
	for _, e := range ends {
		e.Close()
	}
}

// wait returns false if the context ended first.
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
