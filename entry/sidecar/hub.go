// Package sidecar serves the connections of sidecars at an entry.
package sidecar

import (
	"context"

	"github.com/ansel1/merry/v2"
	"github.com/rs/zerolog"

	"github.com/skylarkweir/skylarkweir/weir/connection/quic"
	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
	"github.com/skylarkweir/skylarkweir/weir/process/fleet"
)

// Registrar appends the registration of a worker to the log.
type Registrar interface {
	// Register returns once the record was read back.
	Register(ctx context.Context, w *wire.Worker) error
}

// Hub holds the connections of the sidecars.
type Hub struct {
	entry     *wire.Entry
	workers   *fleet.Fleet
	registrar Registrar
	log       zerolog.Logger
}

// Use sets what the hub works with. It is called once, before any other method.
func (h *Hub) Use(entry *wire.Entry, workers *fleet.Fleet, registrar Registrar, log zerolog.Logger) {
	h.entry, h.workers, h.registrar, h.log = entry, workers, registrar, log
}

// Serve handles the connection of a sidecar until it ends.
func (h *Hub) Serve(_ context.Context, _ *quic.Conn, _ *quic.Stream, _ *wire.Hello) {}

// Start sends one start to the worker and waits for its reply. The start was certainly not sent if sent is false.
func (h *Hub) Start(_ context.Context, _ *fleet.Worker, _ *wire.Start) (reply *wire.StartReply, sent bool, err error) {
	return nil, false, merry.New("worker is not connected")
}

// Close closes submissions at one incarnation of a sidecar.
func (h *Hub) Close(_ context.Context, _ string, _ uint64, _ []string, _ bool) (*wire.CloseReply, error) {
	return nil, merry.New("worker is not connected")
}
