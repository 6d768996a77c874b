package operator

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/skylarkweir/skylarkweir/weir/process/fleet"
	"github.com/skylarkweir/skylarkweir/weir/version/ledger"
)

const (
	// warmUp is how long a new entry waits for half of its sidecars to connect before fewer are enough. Work that came
	// earlier would all go to the first ones.
	warmUpTime = 5 * time.Second
	// warmInterval is how often a new entry looks whether it has become ready.
	warmUpPollInterval = 10 * time.Millisecond
)

// Readiness tells whether the load balancer should send callers to this entry.
type Readiness struct {
	replica *ledger.Replica
	workers *fleet.Fleet
	// connections is the number of sidecars that this entry is connected to if there are more of them.
	maxConnections int
	start          time.Time
	leaving        atomic.Bool
	// warm is closed once the entry was ready for the first time.
	firstReady chan struct{}
	once       sync.Once
}

// NewReadiness returns a readiness that is off until an agreement was read and sidecars are connected.
func NewReadiness(replica *ledger.Replica, workers *fleet.Fleet, maxConnections int) *Readiness {
	return &Readiness{replica: replica, workers: workers, maxConnections: maxConnections, start: time.Now(), firstReady: make(chan struct{})}
}

// Run notes when the entry is ready for the first time.
func (r *Readiness) Run(ctx context.Context) {
	tick := time.NewTicker(warmUpPollInterval)
	defer tick.Stop()

	for r.Reason() != "" {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}

	r.once.Do(func() { close(r.firstReady) })
}

// Warm is closed once the entry was ready for the first time.
func (r *Readiness) FirstReady() <-chan struct{} { return r.firstReady }

// Leave turns readiness off for good.
func (r *Readiness) Leave() { r.leaving.Store(true) }

// Leaving tells whether Leave was called.
func (r *Readiness) Leaving() bool { return r.leaving.Load() }

// Reason returns why the entry is not ready, or an empty text.
func (r *Readiness) Reason() string {
	state := r.replica.State()

	switch {
	case r.leaving.Load():
		return "the entry is leaving"
	case !state.Ready():
		return "no agreement has been read yet"
	}

	registered, connected := len(state.Workers()), 0

	for _, w := range r.workers.View().Workers() {
		if _, in := w.RegistrationOffset(); in {
			connected++
		}
	}

	if connected < r.requiredConnections(registered) {
		return fmt.Sprintf("%d of %d registered workers are connected", connected, registered)
	}

	return ""
}

// needed returns how many workers have to be connected: none if there are none, so that callers learn that.
func (r *Readiness) requiredConnections(registered int) int {
	expected := min(registered, r.maxConnections)

	select {
	case <-r.firstReady:
		return min(expected, 1)
	default:
	}

	if time.Since(r.start) > warmUpTime {
		return min(expected, 1)
	}

	return (expected + 1) / 2
}
