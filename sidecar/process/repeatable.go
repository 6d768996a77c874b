package process

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/skylarkweir/skylarkweir/sidecar/leasedbackend"
	"github.com/skylarkweir/skylarkweir/sidecar/repeatable"
	"github.com/skylarkweir/skylarkweir/weir/connection/quic"
	"github.com/skylarkweir/skylarkweir/weir/request/job"
	"github.com/skylarkweir/skylarkweir/weir/version/ledger"
)

const (
	// millicoresPerSlot is the size of a slot, which is one core, in the unit of job sizes.
	millicoresPerSlot = 1000
	// entryDialInterval is how often the sidecar connects to entries that were registered in the meantime.
	entryDialInterval = time.Second
)

// repeatableRunner runs repeatable jobs at a backend server under leases. It does nothing unless the settings enable
// leases.
type repeatableRunner struct {
	settings  Settings
	replica   *ledger.Replica
	worker    *repeatable.Worker
	links     *repeatable.Links
	announcer *leasedbackend.Announcer
}

func newRepeatableRunner(s Settings, n *quic.Node, replica *ledger.Replica, log zerolog.Logger) *repeatableRunner {
	if !s.Leases() {
		return &repeatableRunner{settings: s}
	}

	c := leasedbackend.NewClient(s.Backend())
	w := repeatable.NewWorker(s.Worker().GetName(), c, repeatable.NewRouteDistributor(log), nil, log)
	capacity := job.NewSize(int64(s.Slots())*millicoresPerSlot, int64(s.MemoryMB()))

	return &repeatableRunner{
		settings: s, replica: replica, worker: w,
		links:     repeatable.NewLinks(n, w, rand.Uint64(), log),
		announcer: leasedbackend.NewAnnouncer(c, w, s.Service(), s.FailureDomain(), capacity, log),
	}
}

// run keeps a session with each entry until the context ends.
func (r *repeatableRunner) run(ctx context.Context) {
	if r.worker == nil {
		return
	}

	var group sync.WaitGroup
	defer group.Wait()

	group.Go(func() { r.worker.Run(ctx) })
	group.Go(func() { r.announcer.Run(ctx) })

	t := time.NewTicker(entryDialInterval)
	defer t.Stop()

	for {
		r.dialEntries(ctx)

		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// dialEntries adds links to the entries of the settings and to the registered ones.
func (r *repeatableRunner) dialEntries(ctx context.Context) {
	for _, address := range r.settings.Entries() {
		r.links.Add(ctx, address)
	}

	for _, e := range r.replica.State().Entries() {
		r.links.Add(ctx, e.Address())
	}
}

// drain stops accepting tasks and waits for the running ones, at most until the context ends.
func (r *repeatableRunner) drain(ctx context.Context) {
	if r.worker != nil {
		r.worker.Leave(ctx)
	}
}
