package process

import (
	"context"
	"time"

	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
	"github.com/skylarkweir/skylarkweir/weir/version/ledger"
)

// stop shuts down gracefully, in the order of section 3 of docs/design.md: end readiness, keep accepting for the
// drain delay, refuse new submissions, drain, hand over the submissions, announce the departure, close the connections.
func (p *Process) stop(ctx context.Context) error {
	p.params.Log.Info().Str("event", "leaving").Msg("the entry starts its graceful shutdown")
	p.params.Readiness.Leave()
	p.params.Callers.Drain()

	select {
	case <-time.After(p.params.Settings.DrainDelay()):
	case <-ctx.Done():
	}

	p.params.Binder.Leave()
	p.params.Local.Leave()
	p.params.Dispatcher.RefuseNewJobs()
	p.params.Peers.Leave()

	err := p.drain(ctx)
	successor := p.handOver(ctx)

	p.params.Peers.AnnounceDeparture(ctx, successor)
	p.closeConnections(ctx)
	p.params.Log.Info().Err(err).Str("event", "stopped").Msg("the entry has stopped")

	return err
}

// drain waits until no submission and no repeatable job is active, at most for the drain limit.
func (p *Process) drain(ctx context.Context) error {
	ctx, stop := context.WithTimeout(ctx, p.params.Settings.DrainLimit())
	defer stop()

	err := p.params.Table.Drain(ctx)
	if err == nil {
		err = p.params.Dispatcher.Drain(ctx)
	}

	if err != nil {
		p.params.Log.Warn().Err(err).Str("event", "drain_failed").
			Msg("submissions or jobs are still active; the shutdown continues")
	}

	return err
}

// handOver transfers the submissions to another entry and appends a record that names this successor to the log. It
// returns nil if no entry accepted them.
func (p *Process) handOver(ctx context.Context) *wire.Entry {
	successor, found := p.params.Peers.Handover(ctx, p.params.Table.Export())
	if !found {
		p.params.Log.Warn().Str("event", "no_successor").
			Msg("no entry accepted the submissions; the departure is recorded without a successor")
	}

	ctx, stop := context.WithTimeout(ctx, shutdownStepTimeout)
	defer stop()

	if err := p.params.Appender.Append(ctx, ledger.EntryLeftRecord(p.params.Self, successor, false)); err != nil {
		p.params.Log.Warn().Err(err).Str("event", "append_failed").
			Msg("the departure record was not read back from the log; the shutdown continues")
	}

	return successor
}

// closeConnections waits for the answers that are being written, then closes the connections and ends the loops.
func (p *Process) closeConnections(ctx context.Context) {
	answerCtx, stop := context.WithTimeout(ctx, shutdownStepTimeout+p.params.Settings.DrainLimit())
	defer stop()

	if err := p.callers.Shutdown(answerCtx); err != nil {
		p.params.Log.Warn().Err(err).Str("event", "callers_cut").
			Msg("answers to callers were still being written; closing their connections")
		_ = p.callers.Close()
	}

	closeCtx, stop := context.WithTimeout(context.WithoutCancel(ctx), shutdownStepTimeout)
	defer stop()

	if err := p.params.Peers.Drain(closeCtx); err != nil {
		p.params.Log.Warn().Err(err).Str("event", "peers_cut").
			Msg("answers to other entries were still being delivered; closing their connections")
	}

	p.cancel()

	if err := p.admin.Shutdown(closeCtx); err != nil {
		_ = p.admin.Close()
	}

	if err := p.params.Node.Close(); err != nil {
		p.params.Log.Warn().Err(err).Str("event", "close_failed").Msg("closing the QUIC socket failed")
	}

	p.group.Wait()
}
