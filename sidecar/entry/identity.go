package entry

import (
	"math/rand/v2"
	"sync/atomic"

	"google.golang.org/protobuf/proto"

	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
)

// Identity is the worker that the sidecar presents to the entries. Only its incarnation changes, after the current one
// was declared lost or replaced.
type Identity struct {
	worker      *wire.Worker
	incarnation atomic.Uint64
}

// NewIdentity returns an identity with a new incarnation. The incarnation in worker is ignored.
func NewIdentity(worker *wire.Worker) *Identity {
	i := &Identity{worker: worker}
	i.Renew()

	return i
}

// Name returns the name of the worker.
func (i *Identity) Name() string { return i.worker.GetName() }

// Incarnation returns the current incarnation.
func (i *Identity) Incarnation() uint64 { return i.incarnation.Load() }

// Renew sets and returns a new incarnation: a random number other than 0.
func (i *Identity) Renew() uint64 {
	for {
		if n := rand.Uint64(); n != 0 {
			i.incarnation.Store(n)
			return n
		}
	}
}

// Worker returns the worker as a message, with the current incarnation.
func (i *Identity) Worker() *wire.Worker {
	w, _ := proto.Clone(i.worker).(*wire.Worker)
	w.SetIncarnation(i.Incarnation())

	return w
}
