package process

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/skylarkweir/skylarkweir/sidecar/leasedbackend"
	"github.com/skylarkweir/skylarkweir/sidecar/repeatable"
	"github.com/skylarkweir/skylarkweir/weir/connection/quic"
	"github.com/skylarkweir/skylarkweir/weir/process/sessionset"
	"github.com/skylarkweir/skylarkweir/weir/request/job"
	"github.com/skylarkweir/skylarkweir/weir/version/evacuation"
	"github.com/skylarkweir/skylarkweir/weir/version/ledger"
)

const (
	// millicoresPerSlot is the size of a slot, which is one core, in the unit of job sizes.
	millicoresPerSlot = 1000
	// entryListInterval is how often the sidecar looks for entries that were registered in the meantime.
	entryListInterval = time.Second
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
	w.SetFailureDomain(s.FailureDomain())

	capacity := job.NewSize(int64(s.Slots())*millicoresPerSlot, int64(s.MemoryMB()))

	return &repeatableRunner{
		settings: s, replica: replica, worker: w,
		links: repeatable.NewLinks(
			n, w, sessionset.NewSidecar(s.Worker().GetName(), s.FailureDomain()), rand.Uint64(), log),
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
	group.Go(func() { r.links.Run(ctx) })
	group.Go(func() { r.followEvacuations(ctx) })

	t := time.NewTicker(entryListInterval)
	defer t.Stop()

	for {
		r.addEntries()

		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// followEvacuations puts the evacuations of the log into force until the context ends. They also come with the sessions of
// the entries, which is faster, and say when the log has confirmed them.
func (r *repeatableRunner) followEvacuations(ctx context.Context) {
	for {
		changed := r.replica.ConfigChanged()

		if s := r.replica.State(); s.Complete() {
			r.worker.AdoptEvacuations(s.Evacuations(), "log")
		}

		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// evacuations returns the evacuated failure domains in force, and the time since the log confirmed them last.
func (r *repeatableRunner) evacuations() (evacuation.Value, time.Duration) {
	if r.worker == nil {
		return evacuation.Value{}, 0
	}

	return r.worker.Evacuations()
}

// addEntries passes the entries of the settings, and the registered ones with their failure domains, to the links.
func (r *repeatableRunner) addEntries() {
	registered := r.replica.State().Entries()

	for _, e := range registered {
		r.links.Add(sessionset.NewEntry(e.Address(), e.FailureDomain()))
	}

	for _, address := range r.settings.Entries() {
		if !slices.ContainsFunc(registered, func(e ledger.Entry) bool { return e.Address() == address }) {
			r.links.Add(sessionset.NewEntry(address, ""))
		}
	}
}

// drain stops accepting tasks and waits for the running ones, at most until the context ends.
func (r *repeatableRunner) drain(ctx context.Context) {
	if r.worker != nil {
		r.worker.Leave(ctx)
	}
}
