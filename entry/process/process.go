// Package process wires the components of the entry and runs them.
package process

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	gometrics "github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"go.uber.org/fx"

	"github.com/skylarkweir/skylarkweir/daemon"
	"github.com/skylarkweir/skylarkweir/entry/binding"
	"github.com/skylarkweir/skylarkweir/entry/caller"
	"github.com/skylarkweir/skylarkweir/entry/home"
	"github.com/skylarkweir/skylarkweir/entry/operator"
	"github.com/skylarkweir/skylarkweir/entry/peer"
	"github.com/skylarkweir/skylarkweir/entry/repeatable"
	"github.com/skylarkweir/skylarkweir/entry/sidecar"
	"github.com/skylarkweir/skylarkweir/weir/connection/adminapi"
	"github.com/skylarkweir/skylarkweir/weir/connection/callerlimit"
	"github.com/skylarkweir/skylarkweir/weir/connection/logservice"
	"github.com/skylarkweir/skylarkweir/weir/connection/quic"
	"github.com/skylarkweir/skylarkweir/weir/connection/session"
	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
	"github.com/skylarkweir/skylarkweir/weir/process/fleet"
	"github.com/skylarkweir/skylarkweir/weir/version/ledger"
)

const (
	// startTimeout bounds the start and each attempt to register in the log. A shutdown may take twice this time in
	// addition to its drain delay and its drain waits.
	startTimeout = 15 * time.Second
	// headerTimeout bounds how long a caller may take to send the header of a request.
	headerTimeout = 10 * time.Second
	// idleTimeout is how long an idle connection of a caller is kept.
	idleTimeout = 2 * time.Minute
	// adminConnections and adminMemory limit the connections to the admin API and the memory, in bytes, for bodies there. Only
	// operators and load balancers use it.
	adminConnections, adminMemory = 64, 1 << 20
	// bodyMultiple is the memory that the decoder needs for each byte of a body.
	bodyMultiple = 8
	// helloTimeout bounds how long a new connection may take to open its control stream, and then to send its first
	// frame.
	helloTimeout = 2 * time.Second
	// registrationRetryInterval is the wait between attempts to append the registration of this entry while the log is
	// unavailable.
	registrationRetryInterval = 2 * time.Second
	// registrationCheckInterval is how often an entry checks whether it is still registered.
	registrationCheckInterval = time.Minute
	// shutdownStepTimeout bounds each of the last steps of a shutdown: the record in the log, the last answers to other
	// entries, and the end of the HTTP servers. Answers to callers may take longer by the drain limit.
	shutdownStepTimeout = 3 * time.Second
)

// Process is a running entry.
type Process struct {
	params params

	callers, admin *http.Server
	// callersGate and adminGate limit the callers of the two servers.
	callersGate, adminGate *callerlimit.Gate
	callersAddr, adminAddr net.Addr
	// cancel ends the background loops.
	cancel context.CancelFunc
	group  sync.WaitGroup
}

// params are the components that the process runs.
type params struct {
	fx.In

	Settings           Settings
	Log                zerolog.Logger
	Node               *quic.Node
	Self               *wire.Entry
	Replica            *ledger.Replica
	Follower           *logservice.Follower
	Appender           *logservice.Appender
	Fleet              *fleet.Fleet
	Table              *home.Table
	Hub                *sidecar.Hub
	Local              *caller.Local
	Binder             *binding.Binder
	Peers              *peer.Peers
	Dispatcher         *repeatable.Dispatcher
	EvacuationFollower *evacuationFollower
	WorkerLossDetector *peer.WorkerLossDetector
	EntryLossDetector  *peer.EntryLossDetector
	Callers            *caller.Server
	Operator           *operator.Server
	Readiness          *operator.Readiness
	Registry           gometrics.Registry
	Shutdowner         fx.Shutdowner
}

func newProcess(p params) *Process { return &Process{params: p} }

// CallersAddress returns the address of the callers' HTTP API.
func (p *Process) CallersAddress() string { return p.callersAddr.String() }

// AdminAddress returns the address of the admin HTTP API.
func (p *Process) AdminAddress() string { return p.adminAddr.String() }

// Address returns the address at which other processes reach this entry.
func (p *Process) Address() string { return p.params.Self.GetAddress() }

// newGate returns the gate of a server.
func (p *Process) newGate(server string, l callerlimit.Limits) *callerlimit.Gate {
	m := callerlimit.NewMetrics(p.params.Registry, server,
		"weir_entry_caller_connections", "weir_entry_caller_body_bytes", "weir_entry_caller_refusals_total")

	return callerlimit.NewGate(server, l, m, p.params.Log)
}

// callerLimits returns the limits of callers. It warns if the process may open too few descriptors for the settings.
func (p *Process) callerLimits() callerlimit.Limits {
	descriptors := maxDescriptors()
	l := p.params.Settings.file.callerLimits(descriptors)

	if wanted := p.params.Settings.file.CallerConns; l.Connections() < wanted {
		p.params.Log.Warn().Str("event", "caller_connections_lowered").Int("setting", wanted).Int("connections", l.Connections()).
			Int("descriptors", descriptors).Msg("callers have half of the descriptors that the process may open")
	}

	return l
}

// newServer returns the server of a gate.
func newServer(g *callerlimit.Gate, h http.Handler) *http.Server {
	s := g.Server(h)
	s.ReadHeaderTimeout, s.IdleTimeout = headerTimeout, idleTimeout

	return s
}

func (p *Process) start(ctx context.Context) error {
	f := p.params.Settings.file

	guard, err := adminapi.ReadGuard(f.AdminTokenFile)
	if err != nil {
		return err
	}

	callerListener, err := listen(ctx, f.Callers)
	if err != nil {
		return err
	}

	adminListener, err := listen(ctx, f.Admin)
	if err != nil {
		_ = callerListener.Close()

		return err
	}

	p.callersAddr, p.adminAddr = callerListener.Addr(), adminListener.Addr()
	p.callersGate = p.newGate("callers", p.callerLimits())
	p.adminGate = p.newGate("admin", callerlimit.NewLimits(adminConnections, adminMemory))
	p.callers = newServer(p.callersGate, p.params.Callers.Handler())
	p.admin = newServer(p.adminGate, guard.Wrap(p.params.Operator.Handler()))

	// The loops run until the shutdown, so they must not end with the start's context.
	loopCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	p.cancel = cancel

	p.registerMetrics()
	p.params.Table.Follow(loopCtx, p.params.Replica)

	for _, loop := range []func(context.Context){
		p.params.Follower.Run, p.params.Appender.Run, p.params.Table.Run, p.params.Peers.Run, p.detectWorkerLoss,
		p.acceptConnections, p.keepRegistered, p.params.EntryLossDetector.Run, p.params.Readiness.Run,
		p.params.Dispatcher.Run, p.params.EvacuationFollower.run, p.callersGate.Run, p.adminGate.Run,
	} {
		p.group.Go(func() { loop(loopCtx) })
	}

	p.group.Go(func() { p.serve(p.callers, p.callersGate.Listener(callerListener)) })
	p.group.Go(func() { p.serve(p.admin, p.adminGate.Listener(adminListener)) })

	p.params.Log.Info().Str("event", "listening").Str("callers", p.CallersAddress()).Str("admin", p.AdminAddress()).
		Str("quic", p.Address()).Uint64("incarnation", p.params.Self.GetIncarnation()).Msg("the entry is listening")

	return nil
}

func listen(ctx context.Context, address netip.AddrPort) (net.Listener, error) {
	var c net.ListenConfig

	l, err := c.Listen(ctx, "tcp", address.String())

	return l, merry.Prependf(err, "listen on %s", address)
}

func (p *Process) serve(s *http.Server, l net.Listener) {
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		p.params.Log.Error().Err(err).Str("event", "http_failed").Msg("an HTTP server ended; shutting down the entry")
		_ = p.params.Shutdowner.Shutdown(fx.ExitCode(daemon.ExitFailure))
	}
}

func (p *Process) detectWorkerLoss(ctx context.Context) {
	p.params.WorkerLossDetector.Run(ctx, p.params.Peers)
}

// acceptConnections passes each connection to the package that serves the role of its peer.
func (p *Process) acceptConnections(ctx context.Context) {
	for {
		c, err := p.params.Node.Accept(ctx)
		if err != nil {
			return
		}

		h := &handshake{process: p, conn: c}
		go h.run(ctx)
	}
}

// handshake determines the role of the peer of a new connection from its first frame.
type handshake struct {
	process *Process
	conn    *quic.Conn
}

func (h *handshake) run(ctx context.Context) {
	helloCtx, stop := context.WithTimeout(ctx, helloTimeout)
	defer stop()

	s, err := h.conn.Accept(helloCtx)
	if err != nil {
		h.conn.Close("no control stream")

		return
	}

	s.SetDeadline(time.Now().Add(helloTimeout))

	f, err := s.Receive()
	if err != nil || (!f.HasHello() && !f.HasAttach()) {
		h.conn.Close("no hello")

		return
	}

	s.SetDeadline(time.Time{})

	if f.HasAttach() {
		self := h.process.params.Self
		h.process.params.Dispatcher.ServeAttached(
			ctx, self.GetName(), self.GetIncarnation(), session.New(h.conn, s), f.GetAttach(),
		)

		return
	}

	hello := f.GetHello()

	switch hello.GetRole() {
	case wire.Role_ROLE_SIDECAR:
		h.process.params.Hub.Serve(ctx, h.conn, s, hello)
	case wire.Role_ROLE_ENTRY:
		h.process.params.Peers.Serve(ctx, h.conn, s, hello)
	default:
		h.conn.Close("unknown role")
	}
}

// keepRegistered appends the registration of this entry to the log whenever it is missing. Other entries and the
// sidecars find the entry through the registration; before that they find it through their settings. Other entries may
// have removed the registration while they had no contact with this entry.
func (p *Process) keepRegistered(ctx context.Context) {
	for ctx.Err() == nil && !p.params.Readiness.Leaving() {
		wait := registrationCheckInterval

		if !p.registered() {
			wait = registrationRetryInterval

			appendCtx, stop := context.WithTimeout(ctx, startTimeout)
			if p.params.Appender.Append(appendCtx, ledger.EntryJoinedRecord(p.params.Self)) == nil && p.registered() {
				wait = registrationCheckInterval

				p.params.Log.Info().Str("event", "registered").Msg("the entry is registered in the log")
			}

			stop()
		}

		select {
		case <-time.After(wait):
		case <-ctx.Done():
		}
	}
}

func (p *Process) registered() bool {
	return slices.ContainsFunc(p.params.Replica.State().Entries(), func(e ledger.Entry) bool {
		return e.Incarnation() == p.params.Self.GetIncarnation()
	})
}
