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
	// warmUpTime is how long a new entry waits for half of its sidecars to connect before a single one is sufficient.
	// Tasks submitted earlier would all be placed on the first sidecars to connect.
	warmUpTime = 5 * time.Second
	// warmUpPollInterval is how often a new entry checks whether it has become ready.
	warmUpPollInterval = 10 * time.Millisecond
)

// Placement is where tasks are placed.
type Placement interface {
	// Position returns the log position up to which the placement knows the workers.
	Position() int64
}

// Readiness reports whether the load balancer should send callers to this entry.
type Readiness struct {
	replica   *ledger.Replica
	workers   *fleet.Fleet
	placement Placement
	// maxConnections is the largest number of sidecars that this entry connects to.
	maxConnections int
	start          time.Time
	leaving        atomic.Bool
	// firstReady is closed when the entry becomes ready for the first time.
	firstReady chan struct{}
	once       sync.Once
}

// NewReadiness returns a Readiness that is not ready until an agreement was read and sidecars are connected.
func NewReadiness(replica *ledger.Replica, workers *fleet.Fleet, placement Placement, maxConnections int) *Readiness {
	return &Readiness{
		replica: replica, workers: workers, placement: placement, maxConnections: maxConnections, start: time.Now(),
		firstReady: make(chan struct{}),
	}
}

// Run waits until the entry is ready for the first time and then closes the channel of FirstReady.
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

// FirstReady returns a channel that is closed when the entry becomes ready for the first time.
func (r *Readiness) FirstReady() <-chan struct{} { return r.firstReady }

// Leave makes the entry permanently not ready.
func (r *Readiness) Leave() { r.leaving.Store(true) }

// Leaving reports whether Leave was called.
func (r *Readiness) Leaving() bool { return r.leaving.Load() }

// Reason returns why the entry is not ready, or an empty string if it is ready.
func (r *Readiness) Reason() string {
	state := r.replica.State()

	switch {
	case r.leaving.Load():
		return "the entry is leaving"
	case !state.Ready():
		return "no agreement has been read yet"
	}

	registered, connected := len(state.Workers()), 0
	position := r.placement.Position()

	// The placement follows the log with a delay. It uses no worker that was registered after its position.
	for _, w := range r.workers.View().Workers() {
		if offset, in := w.RegistrationOffset(); in && offset < position {
			connected++
		}
	}

	if connected < r.requiredConnections(registered) {
		return fmt.Sprintf("%d of %d registered workers are connected", connected, registered)
	}

	return ""
}

// requiredConnections returns how many workers have to be connected. It is 0 if none is registered, so that callers
// reach the entry and receive the error that there are no workers.
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
