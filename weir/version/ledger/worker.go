package ledger

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
)

// Worker is a registered incarnation of a worker. It is immutable.
type Worker struct{ registration *registration[*wire.Worker] }

// Name returns the name.
func (w Worker) Name() string { return w.registration.process.GetName() }

// Incarnation returns the random number that identifies this run of the sidecar's process.
func (w Worker) Incarnation() uint64 { return w.registration.process.GetIncarnation() }

// FailureDomain returns the failure domain.
func (w Worker) FailureDomain() string { return w.registration.process.GetFailureDomain() }

// Rack returns the rack.
func (w Worker) Rack() string { return w.registration.process.GetRack() }

// Slots returns the number of slots; each is one core.
func (w Worker) Slots() int { return int(w.registration.process.GetSlots()) }

// MemoryMB returns the worker's memory in MB.
func (w Worker) MemoryMB() int { return int(w.registration.process.GetMemoryMb()) }

// Accelerators returns the number of accelerators.
func (w Worker) Accelerators() int { return int(w.registration.process.GetAccelerators()) }

// Services returns the services that the backend server offers; an empty list means all services.
func (w Worker) Services() []string { return slices.Clone(w.registration.process.GetServices()) }

// Serves reports whether the backend server offers the service.
func (w Worker) Serves(service string) bool {
	s := w.registration.process.GetServices()

	return len(s) == 0 || slices.Contains(s, service)
}

// JoinedOffset returns the offset of the incarnation's first record.
func (w Worker) JoinedOffset() int64 { return w.registration.joinedOffset }

// Wire returns a copy of the message that describes the worker.
func (w Worker) Wire() *wire.Worker { return proto.CloneOf(w.registration.process) }
