package process

import (
	"context"
	"time"

	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
	"github.com/skylarkweir/skylarkweir/weir/version/ledger"
)

// stop shuts down gracefully, in the order of section 3 of docs/design.md.
func (p *Process) stop(ctx context.Context) error {
	p.parts.Log.Info().Str("event", "leaving").Msg("the entry is leaving")
	p.parts.Readiness.Leave()
	p.parts.Callers.Drain()

	select {
	case <-time.After(p.parts.Settings.DrainDelay()):
	case <-ctx.Done():
	}

	p.parts.Binder.Leave()
	p.parts.Local.Leave()
	p.parts.Dispatcher.RefuseNewJobs()
	p.parts.Peers.Leave()

	err := p.drain(ctx)
	successor := p.handOver(ctx)

	p.parts.Peers.AnnounceDeparture(ctx, successor)
	p.end(ctx)
	p.parts.Log.Info().Err(err).Str("event", "stopped").Msg("the entry has stopped")

	return err
}

// drain waits for the submissions in flight.
func (p *Process) drain(ctx context.Context) error {
	ctx, stop := context.WithTimeout(ctx, p.parts.Settings.DrainLimit())
	defer stop()

	err := p.parts.Table.Drain(ctx)
	if err == nil {
		err = p.parts.Dispatcher.Drain(ctx)
	}

	if err != nil {
		p.parts.Log.Warn().Err(err).Str("event", "drain_failed").Msg("submissions are still in flight")
	}

	return err
}

// handOver transfers the submissions, and names their new place in the log. It returns nil if no entry took them.
func (p *Process) handOver(ctx context.Context) *wire.Entry {
	successor, found := p.parts.Peers.Handover(ctx, p.parts.Table.Export())
	if !found {
		p.parts.Log.Warn().Str("event", "no_successor").Msg("no entry took over the submissions")
	}

	ctx, stop := context.WithTimeout(ctx, leaveWait)
	defer stop()

	if err := p.parts.Appender.Append(ctx, ledger.EntryLeftRecord(p.parts.Self, successor, false)); err != nil {
		p.parts.Log.Warn().Err(err).Str("event", "append_failed").Msg("the departure is not in the log")
	}

	return successor
}

// end waits for the answers that are being written, and then ends the connections and the loops.
func (p *Process) end(ctx context.Context) {
	bounded, stop := context.WithTimeout(ctx, leaveWait+p.parts.Settings.DrainLimit())
	defer stop()

	if err := p.callers.Shutdown(bounded); err != nil {
		p.parts.Log.Warn().Err(err).Str("event", "callers_cut").Msg("answers were still being written")
		_ = p.callers.Close()
	}

	closing, stop := context.WithTimeout(context.WithoutCancel(ctx), leaveWait)
	defer stop()

	if err := p.parts.Peers.Drain(closing); err != nil {
		p.parts.Log.Warn().Err(err).Str("event", "peers_cut").Msg("answers were still being delivered")
	}

	p.cancel()

	if err := p.admin.Shutdown(closing); err != nil {
		_ = p.admin.Close()
	}

	if err := p.parts.Node.Close(); err != nil {
		p.parts.Log.Warn().Err(err).Str("event", "close_failed").Msg("the QUIC socket did not close")
	}

	p.group.Wait()
}
