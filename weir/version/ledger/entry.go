package ledger

import (
	"google.golang.org/protobuf/proto"

	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
)

// Entry is an incarnation of an entry. It is immutable.
type Entry struct{ wire *wire.Entry }

// Name returns the name.
func (e Entry) Name() string { return e.wire.GetName() }

// Incarnation returns the random number that identifies this run of the entry's process.
func (e Entry) Incarnation() uint64 { return e.wire.GetIncarnation() }

// Address returns the host and port on which the entry accepts connections.
func (e Entry) Address() string { return e.wire.GetAddress() }

// FailureDomain returns the failure domain.
func (e Entry) FailureDomain() string { return e.wire.GetFailureDomain() }

// Wire returns a copy of the message that describes the entry.
func (e Entry) Wire() *wire.Entry { return proto.CloneOf(e.wire) }
