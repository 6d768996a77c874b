package home

import (
	"context"

	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
	"github.com/skylarkweir/skylarkweir/weir/process/fleet"
)

// Sidecars sends starts and close messages to the workers; *sidecar.Hub implements it.
type Sidecars interface {
	// Start sends one start and waits for its reply. If sent is false, the sidecar cannot have received the start.
	Start(ctx context.Context, w *fleet.Worker, s *wire.Start) (reply *wire.StartReply, sent bool, err error)
	// Close closes submissions at one incarnation of a sidecar, and with cancel also ends their running tasks.
	Close(
		ctx context.Context, worker string, incarnation uint64, submissions []string, cancel bool,
	) (*wire.CloseReply, error)
}
