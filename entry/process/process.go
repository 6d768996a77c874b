// Package process wires the parts of the entry and runs them.
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
	"github.com/skylarkweir/skylarkweir/weir/connection/logservice"
	"github.com/skylarkweir/skylarkweir/weir/connection/quic"
	"github.com/skylarkweir/skylarkweir/weir/connection/session"
	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
	"github.com/skylarkweir/skylarkweir/weir/process/fleet"
	"github.com/skylarkweir/skylarkweir/weir/version/ledger"
)

const (
	// startWait bounds the start, and what a shutdown takes beyond its own waits.
	startWait = 15 * time.Second
	// headerWait bounds how long a caller may take to send the header of a request.
	headerWait = 10 * time.Second
	// idleWait is how long an idle connection of a caller is kept.
	idleWait = 2 * time.Minute
	// helloWait bounds how long a new connection may take to say what it is.
	helloWait = 2 * time.Second
	// joinRetry is the wait between attempts to append the own registration while the log is down.
	joinRetry = 2 * time.Second
	// rejoinInterval is how often an entry looks whether it is still registered.
	rejoinInterval = time.Minute
	// leaveWait bounds each of the last steps of a shutdown: the record in the log and the end of the HTTP servers.
	leaveWait = 3 * time.Second
)

// Process is a running entry.
type Process struct {
	parts parts

	callers, admin         *http.Server
	callersAddr, adminAddr net.Addr
	// cancel ends the loops.
	cancel context.CancelFunc
	group  sync.WaitGroup
}

// parts are what the process runs.
type parts struct {
	fx.In

	Settings   Settings
	Log        zerolog.Logger
	Node       *quic.Node
	Self       *wire.Entry
	Book       *ledger.Replica
	Follower   *logservice.Follower
	Appender   *logservice.Appender
	Fleet      *fleet.Fleet
	Table      *home.Table
	Hub        *sidecar.Hub
	Local      *caller.Local
	Binder     *binding.Binder
	Peers      *peer.Peers
	Dispatcher *repeatable.Dispatcher
	Silence    *peer.WorkerLossDetector
	Absence    *peer.EntryLossDetector
	Callers    *caller.Server
	Operator   *operator.Server
	Readiness  *operator.Readiness
	Registry   gometrics.Registry
	Shutdowner fx.Shutdowner
}

func newProcess(p parts) *Process { return &Process{parts: p} }

// CallersAddress returns the address of the callers' HTTP API.
func (p *Process) CallersAddress() string { return p.callersAddr.String() }

// AdminAddress returns the address of the admin HTTP API.
func (p *Process) AdminAddress() string { return p.adminAddr.String() }

// Address returns the address at which other processes reach this entry.
func (p *Process) Address() string { return p.parts.Self.GetAddress() }

func (p *Process) start(ctx context.Context) error {
	f := p.parts.Settings.file

	guard, err := adminapi.ReadGuard(f.AdminTokenFile)
	if err != nil {
		return err
	}

	callers, err := listen(ctx, f.Callers)
	if err != nil {
		return err
	}

	admin, err := listen(ctx, f.Admin)
	if err != nil {
		_ = callers.Close()

		return err
	}

	p.callersAddr, p.adminAddr = callers.Addr(), admin.Addr()
	p.callers = &http.Server{Handler: p.parts.Callers.Handler(), ReadHeaderTimeout: headerWait, IdleTimeout: idleWait}
	p.admin = &http.Server{Handler: guard.Wrap(p.parts.Operator.Handler()), ReadHeaderTimeout: headerWait, IdleTimeout: idleWait}

	// The loops outlive the start.
	running, cancel := context.WithCancel(context.WithoutCancel(ctx))
	p.cancel = cancel

	p.gauges()
	p.parts.Table.Follow(running, p.parts.Book)

	for _, loop := range []func(context.Context){
		p.parts.Follower.Run, p.parts.Appender.Run, p.parts.Table.Run, p.parts.Peers.Run, p.watch, p.accept, p.join, p.parts.Absence.Run, p.parts.Readiness.Run,
		p.parts.Dispatcher.Run,
	} {
		p.group.Go(func() { loop(running) })
	}

	p.group.Go(func() { p.serve(p.callers, callers) })
	p.group.Go(func() { p.serve(p.admin, admin) })

	p.parts.Log.Info().Str("event", "listening").Str("callers", p.CallersAddress()).Str("admin", p.AdminAddress()).
		Str("quic", p.Address()).Uint64("incarnation", p.parts.Self.GetIncarnation()).Msg("the entry is listening")

	return nil
}

func listen(ctx context.Context, address netip.AddrPort) (net.Listener, error) {
	var c net.ListenConfig

	l, err := c.Listen(ctx, "tcp", address.String())

	return l, merry.Prependf(err, "listen on %s", address)
}

func (p *Process) serve(s *http.Server, l net.Listener) {
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		p.parts.Log.Error().Err(err).Str("event", "http_failed").Msg("an HTTP server ended")
		_ = p.parts.Shutdowner.Shutdown(fx.ExitCode(daemon.ExitFailure))
	}
}

func (p *Process) watch(ctx context.Context) { p.parts.Silence.Run(ctx, p.parts.Peers) }

// accept hands each connection to the package of its peer.
func (p *Process) accept(ctx context.Context) {
	for {
		c, err := p.parts.Node.Accept(ctx)
		if err != nil {
			return
		}

		n := &newcomer{process: p, conn: c}
		go n.run(ctx)
	}
}

// newcomer is a connection that has not said yet what it is.
type newcomer struct {
	process *Process
	conn    *quic.Conn
}

func (n *newcomer) run(ctx context.Context) {
	waiting, stop := context.WithTimeout(ctx, helloWait)
	defer stop()

	s, err := n.conn.Accept(waiting)
	if err != nil {
		n.conn.Close("no control stream")

		return
	}

	s.SetDeadline(time.Now().Add(helloWait))

	f, err := s.Receive()
	if err != nil || (!f.HasHello() && !f.HasAttach()) {
		n.conn.Close("no hello")

		return
	}

	s.SetDeadline(time.Time{})

	if f.HasAttach() {
		self := n.process.parts.Self
		n.process.parts.Dispatcher.ServeAttached(ctx, self.GetName(), self.GetIncarnation(), session.New(n.conn, s), f.GetAttach())

		return
	}

	hello := f.GetHello()

	switch hello.GetRole() {
	case wire.Role_ROLE_SIDECAR:
		n.process.parts.Hub.Serve(ctx, n.conn, s, hello)
	case wire.Role_ROLE_ENTRY:
		n.process.parts.Peers.Serve(ctx, n.conn, s, hello)
	default:
		n.conn.Close("unknown role")
	}
}

// join keeps this entry registered in the log. Other entries and the sidecars find it there; until then they find it
// through their settings. After an absence it may have been removed by the others.
func (p *Process) join(ctx context.Context) {
	for ctx.Err() == nil && !p.parts.Readiness.Leaving() {
		wait := rejoinInterval

		if !p.registered() {
			wait = joinRetry

			attempt, stop := context.WithTimeout(ctx, startWait)
			if p.parts.Appender.Append(attempt, ledger.EntryJoinedRecord(p.parts.Self)) == nil && p.registered() {
				wait = rejoinInterval

				p.parts.Log.Info().Str("event", "registered").Msg("the entry is registered in the log")
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
	return slices.ContainsFunc(p.parts.Book.State().Entries(), func(e ledger.Entry) bool {
		return e.Incarnation() == p.parts.Self.GetIncarnation()
	})
}
