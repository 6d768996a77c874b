// Package process wires the parts of the sidecar and runs them.
package process

import (
	"context"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"go.uber.org/fx"

	"github.com/skylarkweir/skylarkweir/daemon"
	"github.com/skylarkweir/skylarkweir/sidecar/backend"
	"github.com/skylarkweir/skylarkweir/sidecar/entry"
	"github.com/skylarkweir/skylarkweir/sidecar/operator"
	"github.com/skylarkweir/skylarkweir/sidecar/tasks"
	"github.com/skylarkweir/skylarkweir/weir/connection/adminapi"
	"github.com/skylarkweir/skylarkweir/weir/connection/quic"
	"github.com/skylarkweir/skylarkweir/weir/process/ejection"
	"github.com/skylarkweir/skylarkweir/weir/process/share"
	"github.com/skylarkweir/skylarkweir/weir/version/ledger"
)

// stopMargin is the time that a shutdown may take beyond the wait for running tasks.
const stopMargin = 10 * time.Second

// Options returns the parts of a sidecar for fx.
func Options(s Settings, log zerolog.Logger) fx.Option {
	return fx.Options(
		fx.Supply(s, log),
		fx.Provide(
			metrics.NewRegistry,
			func() *quic.Node { return &quic.Node{} },
			func() *ledger.Replica { return &ledger.Replica{} },
			func() *ejection.Statistics { return &ejection.Statistics{} },
			func() *entry.Identity { return entry.NewIdentity(s.Worker()) },
			func() *backend.Client { return backend.NewClient(s.Backend(), s.Slots(), s.MaxOutput()) },
			func(c *backend.Client, st *ejection.Statistics, r metrics.Registry) *tasks.Table {
				t := tasks.NewTable(tasks.NewLimits(s.TableStarts(), s.OutcomeMemory()), c, st, r, log)
				t.SampleStartLog(s.LogSample())

				return t
			},
			func(t *tasks.Table, b *ledger.Replica, i *entry.Identity) *tasks.Configurator {
				return tasks.NewConfigurator(t, b, i, share.NewCapacity(s.Slots(), s.MemoryMB(), s.QueueTasks(), s.AllowanceDelay()))
			},
			func(n *quic.Node, i *entry.Identity, b *ledger.Replica, t *tasks.Table, r metrics.Registry) *entry.Links {
				return entry.NewLinks(n, i, b, t, s.Entries(), r, log)
			},
			entry.NewRegistrar,
			backend.NewWatch,
			operator.NewServer,
			newLeased,
			newProcess,
		),
		fx.Invoke(func(l fx.Lifecycle, p *Process) { l.Append(fx.Hook{OnStart: p.start, OnStop: p.stop}) }),
		fx.StartTimeout(stopMargin),
		fx.StopTimeout(s.DrainLimit()+stopMargin),
		fx.NopLogger,
	)
}

// Process is a running sidecar.
type Process struct {
	parts parts
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
	Book       *ledger.Replica
	Client     *backend.Client
	Watch      *backend.Watch
	Table      *tasks.Table
	Follower   *tasks.Configurator
	Links      *entry.Links
	Registrar  *entry.Registrar
	Leased     *leased
	Server     *operator.Server
	Registry   metrics.Registry
	Shutdowner fx.Shutdowner
}

func newProcess(p parts) *Process { return &Process{parts: p} }

// Admin returns the chosen address of the admin HTTP API.
func (p *Process) Admin() string { return p.parts.Server.Address().String() }

func (p *Process) start(ctx context.Context) error {
	keys, err := quic.LoadKeys(p.parts.Settings.Keys())
	if err != nil {
		return err
	}

	guard, err := adminapi.ReadGuard(p.parts.Settings.AdminTokenFile())
	if err != nil {
		return err
	}

	p.parts.Server.Protect(guard)

	if err := p.parts.Node.Listen(p.parts.Settings.Listen(), keys); err != nil {
		return err
	}

	if err := p.parts.Server.Listen(ctx, p.parts.Settings.Admin()); err != nil {
		_ = p.parts.Node.Close()
		return err
	}

	p.gauges()

	running, cancel := context.WithCancel(context.WithoutCancel(ctx))
	p.cancel = cancel

	for _, loop := range []func(context.Context){
		p.parts.Watch.Loop, p.parts.Table.Loop, p.parts.Follower.Loop, p.parts.Links.Loop, p.parts.Registrar.Loop, p.parts.Leased.run,
	} {
		p.group.Go(func() { loop(running) })
	}

	p.group.Go(p.serve)

	p.parts.Log.Info().Str("event", "listening").Str("quic", p.parts.Node.Address().String()).Str("admin", p.Admin()).Msg("")

	return nil
}

func (p *Process) serve() {
	if err := p.parts.Server.Loop(); err != nil {
		p.parts.Log.Error().Err(err).Str("event", "admin_failed").Msg("")
		_ = p.parts.Shutdowner.Shutdown(fx.ExitCode(daemon.ExitFailure))
	}
}

// stop shuts down gracefully: no new work, then the end of the running tasks, then the end of the connections.
func (p *Process) stop(ctx context.Context) error {
	p.parts.Log.Info().Str("event", "leaving").Msg("")
	p.parts.Registrar.Stop()
	p.parts.Table.Leave()
	p.parts.Links.AnnounceDeparture()

	draining, cancel := context.WithTimeout(ctx, p.parts.Settings.DrainLimit())
	defer cancel()

	err := p.parts.Table.Drain(draining)
	p.parts.Leased.leave(draining)

	p.cancel()
	p.parts.Server.Close()
	p.group.Wait()
	p.parts.Client.Close()

	if closing := p.parts.Node.Close(); err == nil {
		err = closing
	}

	p.parts.Log.Info().Err(err).Str("event", "stopped").Msg("")

	return err
}
