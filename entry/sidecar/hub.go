// Package sidecar serves the connections of sidecars at an entry: registrations, heartbeats, log records, and the starts
// and closes that the entry sends.
package sidecar

import (
	"cmp"
	"context"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/rs/zerolog"

	"github.com/skylarkweir/skylarkweir/weir/connection/quic"
	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
	"github.com/skylarkweir/skylarkweir/weir/process/fleet"
	"github.com/skylarkweir/skylarkweir/weir/version/ledger"
)

// Registrar appends the registration of a worker to the log.
type Registrar interface {
	// Register returns once the record was read back from the log.
	Register(ctx context.Context, w *wire.Worker) error
}

// Hub serves the connections of the sidecars and sends them starts and closes.
type Hub struct {
	entry     *wire.Entry
	workers   *fleet.Fleet
	replica   *ledger.Replica
	registrar Registrar
	log       zerolog.Logger
	// tombstoneRetention is how long sidecars keep tombstones; zero means defaultTombstoneRetention.
	tombstoneRetention time.Duration

	mu sync.Mutex
	// links holds the current connection of each worker by name.
	links map[string]*link
}

// Configure sets the hub's dependencies. It is called once, before any other method.
func (h *Hub) Configure(
	entry *wire.Entry, workers *fleet.Fleet, replica *ledger.Replica, registrar Registrar, log zerolog.Logger,
) {
	h.entry, h.workers, h.replica, h.registrar, h.log = entry, workers, replica, registrar, log
}

// SetTombstoneRetention sets how long sidecars keep the tombstone of a closed submission: the lifetime of a ticket and a
// margin.
func (h *Hub) SetTombstoneRetention(retention time.Duration) { h.tombstoneRetention = retention }

// Serve handles the connection of a sidecar until it ends.
func (h *Hub) Serve(ctx context.Context, c *quic.Conn, control *quic.Stream, hello *wire.Hello) {
	if hello.GetWorker().GetName() == "" || hello.GetWorker().GetIncarnation() == 0 {
		c.Close("hello names no worker")

		return
	}

	ctx, cancel := context.WithCancel(ctx)
	defer cancel()

	l := &link{hub: h, conn: c, control: control}

	if err := l.sendWelcome(); err != nil {
		c.Close("welcome failed")

		return
	}

	h.attach(l, hello.GetWorker())
	h.log.Info().Str("event", "sidecar_connected").Str("worker", l.worker.Name()).
		Uint64("incarnation", l.worker.Incarnation()).Str("remote", c.Remote().String()).Msg("sidecar connected")

	go (&acceptor{l}).run(ctx)

	err := l.run(ctx)

	c.Close("connection ended")
	h.detach(l)
	h.log.Warn().Str("event", "sidecar_disconnected").Str("worker", l.worker.Name()).
		Uint64("incarnation", l.worker.Incarnation()).Err(err).Msg("connection to a sidecar ended")
}

// Start sends a start to the worker and waits for its reply. If sent is false, the worker has not received the start. If
// sent is true and err is not nil, the task may have run.
func (h *Hub) Start(ctx context.Context, w *fleet.Worker, s *wire.Start) (reply *wire.StartReply, sent bool, err error) {
	l, found := h.find(w.Name(), w.Incarnation())
	if !found {
		return nil, false, merry.Errorf("worker %s is not connected", w.Name())
	}

	return l.start(ctx, s)
}

// Close closes submissions at one incarnation of a sidecar, and with cancel also stops their running tasks. It fails if
// that incarnation is not connected.
func (h *Hub) Close(
	ctx context.Context, worker string, incarnation uint64, submissions []string, cancel bool,
) (*wire.CloseReply, error) {
	l, found := h.find(worker, incarnation)
	if !found {
		return nil, merry.Errorf("worker %s is not connected", worker)
	}

	m := wire.Close_builder{
		Submissions: submissions, Cancel: cancel,
		KeepMs: cmp.Or(h.tombstoneRetention, defaultTombstoneRetention).Milliseconds(),
	}.Build()

	reply, err := l.conn.RoundTrip(ctx, wire.Frame_builder{Close: m}.Build())
	if err != nil {
		return nil, merry.Prependf(err, "close at worker %s", worker)
	}

	if reply.WhichBody() != wire.Frame_CloseReply_case || reply.GetCloseReply().GetIncarnation() != incarnation {
		return nil, merry.Errorf("close at worker %s: unexpected reply or reply of another incarnation", worker)
	}

	return reply.GetCloseReply(), nil
}

// defaultTombstoneRetention is the default lifetime of a ticket, 5 min, plus the margin of the start tables, 30 s.
const defaultTombstoneRetention = 5*time.Minute + 30*time.Second

func (h *Hub) find(worker string, incarnation uint64) (*link, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()

	l, found := h.links[worker]

	return l, found && l.worker.Incarnation() == incarnation
}

// attach makes l the connection of the worker. It closes an older one, since a sidecar dials again only after it has lost
// its connection. The fleet changes under the same lock, so that the end of the older connection does not remove the
// worker.
func (h *Hub) attach(l *link, w *wire.Worker) {
	h.mu.Lock()

	l.worker = h.workers.Connect(w, time.Now())
	old := h.links[l.worker.Name()]

	if h.links == nil {
		h.links = map[string]*link{}
	}

	h.links[l.worker.Name()] = l
	h.mu.Unlock()

	if old != nil {
		old.conn.Close("replaced by a newer connection")
	}
}

func (h *Hub) detach(l *link) {
	h.mu.Lock()
	defer h.mu.Unlock()

	if h.links[l.worker.Name()] == l {
		delete(h.links, l.worker.Name())
		h.workers.Disconnect(l.worker)
	}
}
