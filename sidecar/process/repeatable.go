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
	// millicores is the size of a slot in the units of the worker.
	millicoresPerSlot = 1000
	// learnInterval is how often the registered entries are looked at.
	entryDialInterval = time.Second
)

// leased runs repeatable jobs at a backend server with leases. Without such a backend server it does nothing.
type repeatableRunner struct {
	settings  Settings
	replica   *ledger.Replica
	worker    *repeatable.Worker
	links     *repeatable.Links
	announcer *leasedbackend.Announcer
}

func newRepeatableRunner(s Settings, n *quic.Node, b *ledger.Replica, log zerolog.Logger) *repeatableRunner {
	if !s.Leases() {
		return &repeatableRunner{settings: s}
	}

	c := leasedbackend.NewClient(s.Backend())
	w := repeatable.NewWorker(s.Worker().GetName(), c, repeatable.NewRouteDistributor(log), nil, log)
	capacity := job.NewSize(int64(s.Slots())*millicoresPerSlot, int64(s.MemoryMB()))

	return &repeatableRunner{
		settings: s, replica: b, worker: w,
		links:     repeatable.NewLinks(n, w, rand.Uint64(), log),
		announcer: leasedbackend.NewAnnouncer(c, w, s.Service(), s.FailureDomain(), capacity, log),
	}
}

// run keeps sessions with all entries until the context ends.
func (l *repeatableRunner) run(ctx context.Context) {
	if l.worker == nil {
		return
	}

	var group sync.WaitGroup
	defer group.Wait()

	group.Go(func() { l.worker.Run(ctx) })
	group.Go(func() { l.announcer.Run(ctx) })

	t := time.NewTicker(entryDialInterval)
	defer t.Stop()

	for {
		l.dialEntries(ctx)

		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// learn dials the entries of the settings and the registered ones.
func (l *repeatableRunner) dialEntries(ctx context.Context) {
	for _, address := range l.settings.Entries() {
		l.links.Add(ctx, address)
	}

	for _, e := range l.replica.State().Entries() {
		l.links.Add(ctx, e.Address())
	}
}

// leave waits for the tasks that run, at most until the context ends.
func (l *repeatableRunner) drain(ctx context.Context) {
	if l.worker != nil {
		l.worker.Leave(ctx)
	}
}
