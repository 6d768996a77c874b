// Package process wires the components of the sidecar and runs them.
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

// lifecycleMargin bounds the start, and the time that a shutdown may take beyond the wait for running tasks.
const lifecycleMargin = 10 * time.Second

// Options returns the fx options of a sidecar.
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
			func(c *backend.Client, statistics *ejection.Statistics, r metrics.Registry) *tasks.Table {
				t := tasks.NewTable(tasks.NewLimits(s.TableStarts(), s.OutcomeMemory()), c, statistics, r, log)
				t.SampleStartLog(s.LogSample())

				return t
			},
			func(t *tasks.Table, replica *ledger.Replica, i *entry.Identity) *tasks.Configurator {
				return tasks.NewConfigurator(
					t, replica, i, share.NewCapacity(s.Slots(), s.MemoryMB(), s.QueueTasks(), s.AllowanceDelay()),
				)
			},
			func(n *quic.Node, i *entry.Identity, replica *ledger.Replica, t *tasks.Table, r metrics.Registry) *entry.Links {
				return entry.NewLinks(n, i, replica, t, s.Entries(), r, log)
			},
			entry.NewRegistrar,
			backend.NewHealthMonitor,
			operator.NewServer,
			newRepeatableRunner,
			newProcess,
		),
		fx.Invoke(func(l fx.Lifecycle, p *Process) { l.Append(fx.Hook{OnStart: p.start, OnStop: p.stop}) }),
		fx.StartTimeout(lifecycleMargin),
		fx.StopTimeout(s.DrainLimit()+lifecycleMargin),
		fx.NopLogger,
	)
}

// Process is a running sidecar.
type Process struct {
	params params
	// cancel ends the background loops.
	cancel context.CancelFunc
	group  sync.WaitGroup
}

// params are the components that the process runs.
type params struct {
	fx.In

	Settings         Settings
	Log              zerolog.Logger
	Node             *quic.Node
	Replica          *ledger.Replica
	BackendClient    *backend.Client
	HealthMonitor    *backend.HealthMonitor
	Table            *tasks.Table
	Configurator     *tasks.Configurator
	Links            *entry.Links
	Registrar        *entry.Registrar
	RepeatableRunner *repeatableRunner
	AdminServer      *operator.Server
	Registry         metrics.Registry
	Shutdowner       fx.Shutdowner
}

func newProcess(p params) *Process { return &Process{params: p} }

// AdminAddress returns the address that the admin HTTP API listens on.
func (p *Process) AdminAddress() string { return p.params.AdminServer.Address().String() }

func (p *Process) start(ctx context.Context) error {
	keys, err := quic.LoadKeys(p.params.Settings.Keys())
	if err != nil {
		return err
	}

	guard, err := adminapi.ReadGuard(p.params.Settings.AdminTokenFile())
	if err != nil {
		return err
	}

	p.params.AdminServer.Protect(guard)

	if err := p.params.Node.Listen(p.params.Settings.Listen(), keys); err != nil {
		return err
	}

	if err := p.params.AdminServer.Listen(ctx, p.params.Settings.Admin()); err != nil {
		_ = p.params.Node.Close()
		return err
	}

	p.registerMetrics()

	loopCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	p.cancel = cancel

	for _, loop := range []func(context.Context){
		p.params.HealthMonitor.Loop, p.params.Table.Loop, p.params.Configurator.Loop, p.params.Links.Loop,
		p.params.Registrar.Loop, p.params.RepeatableRunner.run,
	} {
		p.group.Go(func() { loop(loopCtx) })
	}

	p.group.Go(p.serve)

	p.params.Log.Info().Str("event", "listening").Str("quic", p.params.Node.Address().String()).
		Str("admin", p.AdminAddress()).Msg("the sidecar is listening")

	return nil
}

func (p *Process) serve() {
	if err := p.params.AdminServer.Serve(); err != nil {
		p.params.Log.Error().Err(err).Str("event", "admin_failed").Msg("the admin server ended; shutting down the sidecar")
		_ = p.params.Shutdowner.Shutdown(fx.ExitCode(daemon.ExitFailure))
	}
}

// stop shuts down gracefully: it refuses new tasks, waits for the running ones, and closes the connections.
func (p *Process) stop(ctx context.Context) error {
	p.params.Log.Info().Str("event", "leaving").Msg("shutting down: no new tasks, waiting for the running ones")
	p.params.Registrar.Stop()
	p.params.Table.Leave()
	p.params.Links.AnnounceDeparture()

	drainCtx, cancel := context.WithTimeout(ctx, p.params.Settings.DrainLimit())
	defer cancel()

	err := p.params.Table.Drain(drainCtx)
	p.params.RepeatableRunner.drain(drainCtx)

	p.cancel()
	p.params.AdminServer.Close()
	p.group.Wait()
	p.params.BackendClient.Close()

	if closeErr := p.params.Node.Close(); err == nil {
		err = closeErr
	}

	p.params.Log.Info().Err(err).Str("event", "stopped").Msg("the sidecar has stopped")

	return err
}
