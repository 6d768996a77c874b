package process

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"net/netip"
	"runtime"
	"time"

	"github.com/ansel1/merry/v2"
	gometrics "github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"go.uber.org/fx"

	"github.com/skylarkweir/skylarkweir/entry/binding"
	"github.com/skylarkweir/skylarkweir/entry/caller"
	"github.com/skylarkweir/skylarkweir/entry/home"
	"github.com/skylarkweir/skylarkweir/entry/homelost"
	"github.com/skylarkweir/skylarkweir/entry/operator"
	"github.com/skylarkweir/skylarkweir/entry/peer"
	"github.com/skylarkweir/skylarkweir/entry/repeatable"
	"github.com/skylarkweir/skylarkweir/entry/sidecar"
	"github.com/skylarkweir/skylarkweir/weir/connection/logservice"
	"github.com/skylarkweir/skylarkweir/weir/connection/quic"
	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
	"github.com/skylarkweir/skylarkweir/weir/process/fleet"
	"github.com/skylarkweir/skylarkweir/weir/process/interference"
	"github.com/skylarkweir/skylarkweir/weir/request/submission"
	"github.com/skylarkweir/skylarkweir/weir/request/ticket"
	"github.com/skylarkweir/skylarkweir/weir/version/ledger"
	"github.com/skylarkweir/skylarkweir/weir/version/routes"
)

// tombstoneMargin is how long sidecars keep the tombstone of a close beyond the lifetime of tickets, since clocks
// differ between machines.
const tombstoneMargin = 30 * time.Second

// Options returns the fx options of an entry.
func Options(s Settings, log zerolog.Logger) fx.Option {
	f := s.file

	return fx.Options(
		fx.Supply(s, log),
		fx.Provide(
			gometrics.NewRegistry,
			s.TicketKey,
			newNode,
			newSelf,
			newTicketIssuer,
			newTable,
			newHub,
			newWorkerLossDetector,
			newEntryLossDetector,
			newPeers,
			newLocal,
			newRouter,
			newBinder,
			newCallerServer,
			newOperatorServer,
			newProcess,
			func(replica *ledger.Replica, workers *fleet.Fleet, t *home.Table) *operator.Readiness {
				return operator.NewReadiness(replica, workers, t, f.Connections)
			},
			func() *ledger.Replica { return &ledger.Replica{} },
			func() *repeatable.Dispatcher {
				d := repeatable.NewDispatcher(&routes.Current{}, nil, log)
				d.LimitMemory(s.EndedJobMemory(), s.CancelledJobMemory())

				if s.SeparateInterferingKinds() {
					d.SeparateKinds(&interference.Model{})
				}

				return d
			},
			func() *fleet.Fleet { return &fleet.Fleet{} },
			func() *logservice.Client { return logservice.NewClient(f.LogService) },
			func(replica *ledger.Replica, d *repeatable.Dispatcher) *evacuationFollower {
				return &evacuationFollower{replica, d}
			},
			func(c *logservice.Client, replica *ledger.Replica, e *evacuationFollower) *logservice.Follower {
				return logservice.NewFollower(c, replica, f.LogRetention.Value(), log).WithAnswered(e.confirm)
			},
			func(c *logservice.Client, replica *ledger.Replica) *logservice.Appender {
				return logservice.NewAppender(c, replica, f.AppendBudget)
			},
			func(h *sidecar.Hub, replica *ledger.Replica) *homelost.Resolver {
				return homelost.NewResolver(h, replica, log)
			},
		),
		fx.Invoke(func(l fx.Lifecycle, p *Process) { l.Append(fx.Hook{OnStart: p.start, OnStop: p.stop}) }),
		fx.StartTimeout(startTimeout),
		fx.StopTimeout(s.DrainDelay()+2*s.DrainLimit()+2*startTimeout),
		fx.NopLogger,
	)
}

// newNode opens the QUIC socket before the start, since the port that the kernel chooses is part of the entry's
// identity.
func newNode(s Settings) (*quic.Node, error) {
	k := s.file.Keys

	keys, err := quic.LoadKeys(k.Certificate, k.Key, k.Authority)
	if err != nil {
		return nil, err
	}

	n := &quic.Node{}

	return n, n.Listen(s.file.Listen.String(), keys)
}

func newSelf(s Settings, n *quic.Node) (*wire.Entry, error) {
	var random [8]byte
	if _, err := rand.Read(random[:]); err != nil {
		return nil, merry.Prepend(err, "choose a random incarnation")
	}

	address := s.file.Advertise
	if address == "" {
		address = n.Address().String()
	}

	e := &wire.Entry{}
	e.SetName(s.Name())
	// Zero means no incarnation.
	e.SetIncarnation(binary.BigEndian.Uint64(random[:]) | 1)
	e.SetAddress(address)
	e.SetFailureDomain(s.FailureDomain())

	return e, nil
}

func newTicketIssuer(s Settings, key ticket.Key, self *wire.Entry, t *home.Table) (*caller.TicketIssuer, error) {
	address, err := netip.ParseAddrPort(self.GetAddress())
	if err != nil {
		return nil, merry.Prepend(err, "parse the advertised address")
	}

	return caller.NewTicketIssuer(key, address, self.GetIncarnation(), t.Position, s.TicketLifetime()), nil
}

func newTable(
	s Settings, workers *fleet.Fleet, hub *sidecar.Hub, self *wire.Entry, registry gometrics.Registry,
	log zerolog.Logger,
) *home.Table {
	t := &home.Table{}
	t.Configure(workers, hub, log)
	t.SetPlacementSampling(s.file.LogSample)
	t.SetIncarnation(self.GetIncarnation())
	t.SetLimits(s.file.QueueTasks, s.file.Submissions, int(s.file.AnswerMemory.Value()))
	t.SetMetricsRegistry(registry)

	return t
}

func newHub(
	s Settings, self *wire.Entry, workers *fleet.Fleet, replica *ledger.Replica, appender *logservice.Appender,
	log zerolog.Logger,
) *sidecar.Hub {
	h := &sidecar.Hub{}
	h.Configure(self, workers, replica, registrar{appender}, log)
	h.SetTombstoneRetention(s.TicketLifetime() + tombstoneMargin)

	return h
}

// registrar appends the registrations of sidecars to the log.
type registrar struct{ appender *logservice.Appender }

// Register returns once the record has been read back from the log.
func (r registrar) Register(ctx context.Context, w *wire.Worker) error {
	return r.appender.Append(ctx, ledger.WorkerJoinedRecord(w))
}

func newWorkerLossDetector(
	s Settings, workers *fleet.Fleet, replica *ledger.Replica, appender *logservice.Appender, log zerolog.Logger,
) *peer.WorkerLossDetector {
	return peer.NewWorkerLossDetector(workers, replica, appender, s.file.Connections, log)
}

func newPeers(
	s Settings, n *quic.Node, self *wire.Entry, replica *ledger.Replica, t *home.Table,
	detector *peer.WorkerLossDetector, log zerolog.Logger,
) *peer.Peers {
	return peer.NewPeers(n, self, replica, t, detector, s.Peers(), log)
}

func newEntryLossDetector(
	s Settings, p *peer.Peers, replica *ledger.Replica, appender *logservice.Appender, log zerolog.Logger,
) *peer.EntryLossDetector {
	return peer.NewEntryLossDetector(p, replica, appender, s.file.EntryLostAfter.Value(), log)
}

// homeAdapter adapts the home table to caller.Table: the methods of home.Table return *home.Handle and not the
// interface caller.Handle, so they do not implement it.
type homeAdapter struct{ table *home.Table }

// Submit adds a submission to the home table.
func (h homeAdapter) Submit(s submission.Submission) (caller.Handle, error) {
	found, err := h.table.Submit(s)
	if err != nil {
		return nil, err
	}

	return found, nil
}

// Find returns a submission that the home table holds.
func (h homeAdapter) Find(id string) (caller.Handle, bool) {
	found, ok := h.table.Find(id)

	return found, ok
}

// RefuseTicket ensures that a submission that the home table does not hold never runs.
func (h homeAdapter) RefuseTicket(id string, t ticket.Ticket) bool {
	return h.table.RefuseTicket(id, t)
}

func newLocal(
	s Settings, issuer *caller.TicketIssuer, table *home.Table, replica *ledger.Replica, peers *peer.Peers,
) *caller.Local {
	limiter := caller.NewConcurrencyLimiter(min(s.Slots(), runtime.GOMAXPROCS(0)))
	l := caller.NewLocal(issuer, homeAdapter{table}, replica, limiter, s.file.MaxTasks)
	peers.SetHome(l)

	return l
}

func newRouter(l *caller.Local, p *peer.Peers, r *homelost.Resolver) *caller.Router {
	return caller.NewRouter(l, p, r)
}

func newBinder(
	s Settings, issuer *caller.TicketIssuer, a *logservice.Appender, replica *ledger.Replica, log zerolog.Logger,
) *binding.Binder {
	return binding.NewBinder(issuer, a, replica, s.KeyLifetime(), log)
}

func newCallerServer(
	s Settings, issuer *caller.TicketIssuer, l *caller.Local, r *caller.Router, b *binding.Binder, replica *ledger.Replica,
	readiness *operator.Readiness, d *repeatable.Dispatcher, registry gometrics.Registry,
) *caller.Server {
	c := caller.NewServer(issuer, l, r, b, replica, readiness.FirstReady(), s.file.MaxBody.Value(), registry)
	c.ServeRepeatable(caller.NewRepeatableJobs(d, replica, s.file.MaxTasks))

	return c
}

func newOperatorServer(
	self *wire.Entry, replica *ledger.Replica, workers *fleet.Fleet, p *peer.Peers, r *caller.Router,
	f *logservice.Follower, registry gometrics.Registry, readiness *operator.Readiness, d *repeatable.Dispatcher,
	settings Settings, s fx.Shutdowner,
) *operator.Server {
	return operator.NewServer(self, replica, workers, p, r, f, registry, readiness, d, func() { _ = s.Shutdown() }).
		WithPairs(d).WithPlacements(caller.NewPlacementExplainer(d, replica, settings.file.MaxTasks))
}
