package capacity

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"github.com/skylarkweir/skylarkweir/sidecar/repeatable"
	"github.com/skylarkweir/skylarkweir/standin/leasedbackend"
	"github.com/skylarkweir/skylarkweir/weir/connection/quic"
	"github.com/skylarkweir/skylarkweir/weir/process/sessionset"
	"github.com/skylarkweir/skylarkweir/weir/process/succession"
	"github.com/skylarkweir/skylarkweir/weir/request/job"
)

const (
	// sidecarsOfEntry is the number of sidecars for each entry of a fleet, as on the largest deployment of the users.
	sidecarsOfEntry = 4.4
	// sessionService is the service of all backend servers.
	sessionService = "service"
)

// SessionEntry measures an idle entry with sessions for repeatable jobs, in fleets of several numbers of sidecars. Each
// sidecar chooses its entries as real ones do; those that choose the measured entry connect to it.
func (b *Benchmark) SessionEntry(ctx context.Context, points []int) error {
	t := newTable(b.Out, "sidecars", usageColumns()...)
	defer t.printFits()

	for _, n := range points {
		if err := b.measureSessions(ctx, t, n); err != nil {
			return err
		}
	}

	return nil
}

func (b *Benchmark) measureSessions(ctx context.Context, t *table, sidecars int) error {
	s, err := b.openEntry(ctx)
	if err != nil {
		return err
	}
	defer s.close()

	f, err := s.openSessions(sidecars)
	if err != nil {
		return err
	}

	ctx, stop := context.WithCancel(ctx)
	defer stop()
	defer func() { _ = f.node.Close() }()

	connected := f.connect(ctx, sidecars)
	fmt.Fprintf(b.Out, "%d of %d sidecars chose the entry, one of %d\n", connected, sidecars, f.entries)

	return s.measureEntry(ctx, t, sidecars)
}

// openSessions returns a fleet of a number of sidecars, none of which runs yet.
func (s *setup) openSessions(sidecars int) (*sessionFleet, error) {
	f := &sessionFleet{entry: s.entry.AdvertisedAddress(), entries: max(1, int(float64(sidecars)/sidecarsOfEntry))}

	return f, f.node.Listen("127.0.0.1:0", s.keys)
}

// sessionFleet is a fleet of sidecars without load of which those run that have a session with one entry.
type sessionFleet struct {
	node quic.Node
	// entry is the address of the measured entry, entries the number of entries of the fleet.
	entry   string
	entries int
}

// connect starts the sidecars that choose the measured entry and returns their number.
func (f *sessionFleet) connect(ctx context.Context, sidecars int) int {
	domain := func(n int) string { return fmt.Sprintf("domain-%d", n%failureDomains) }

	all := []sessionset.Entry{sessionset.NewEntry(f.entry, domain(0))}
	for n := 1; n < f.entries; n++ {
		all = append(all, sessionset.NewEntry(fmt.Sprintf("entry-%d", n), domain(n)))
	}

	size := sessionset.Size(0, len(all), sidecars)
	connected := 0

	for n := range sidecars {
		self := sessionset.NewSidecar(fmt.Sprintf("sidecar-%d", n), domain(n))
		if slices.Contains(sessionset.Choose(self, all, size), all[0]) {
			connected++

			f.startSidecar(ctx, n, self, all[0])
		}
	}

	return connected
}

func (f *sessionFleet) startSidecar(ctx context.Context, n int, self sessionset.Sidecar, e sessionset.Entry) {
	b := leasedbackend.New(fmt.Sprintf("instance-%d", n))
	w := repeatable.NewWorker(fmt.Sprintf("sidecar-%d", n), b, repeatable.NewRouteDistributor(zerolog.Nop()), nil, zerolog.Nop())
	w.Announce(ctx, succession.NewAnnouncement(b.Instance(), sessionService, e.FailureDomain(), time.Now().UnixMilli(), 1,
		job.NewSize(workerSlots*1000, workerMemoryMB), nil, false))

	links := repeatable.NewLinks(&f.node, w, self, rand.Uint64(), zerolog.Nop()) //nolint:gosec // no secret
	links.Add(e)

	go w.Run(ctx)
	go links.Run(ctx)
}
