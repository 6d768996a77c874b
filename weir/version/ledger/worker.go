package ledger

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
)

// Worker is a registered incarnation of a worker. It is immutable.
type Worker struct{ span *span[*wire.Worker] }

// Name returns the name.
func (w Worker) Name() string { return w.span.who.GetName() }

// Incarnation returns the random number of this start of the sidecar.
func (w Worker) Incarnation() uint64 { return w.span.who.GetIncarnation() }

// FailureDomain returns the failure domain.
func (w Worker) FailureDomain() string { return w.span.who.GetFailureDomain() }

// Rack returns the rack.
func (w Worker) Rack() string { return w.span.who.GetRack() }

// Slots returns the number of cores.
func (w Worker) Slots() int { return int(w.span.who.GetSlots()) }

// MemoryMB returns the memory.
func (w Worker) MemoryMB() int { return int(w.span.who.GetMemoryMb()) }

// Accelerators returns the number of accelerators.
func (w Worker) Accelerators() int { return int(w.span.who.GetAccelerators()) }

// Services returns the services that the backend server offers; none means all.
func (w Worker) Services() []string { return slices.Clone(w.span.who.GetServices()) }

// Serves tells whether the backend server offers the service.
func (w Worker) Serves(service string) bool {
	s := w.span.who.GetServices()

	return len(s) == 0 || slices.Contains(s, service)
}

// Joined returns the offset of the incarnation's first record.
func (w Worker) JoinedOffset() int64 { return w.span.joined }

// Wire returns a copy as a message.
func (w Worker) Wire() *wire.Worker { return proto.CloneOf(w.span.who) }
