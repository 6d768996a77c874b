package entry

import (
	"math/rand/v2"
	"sync/atomic"

	"google.golang.org/protobuf/proto"

	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
)

// Identity is what the sidecar is to the entries. Only its incarnation changes, when this one was declared lost.
type Identity struct {
	worker      *wire.Worker
	incarnation atomic.Uint64
}

// NewIdentity returns an identity with a new incarnation; that of worker is ignored.
func NewIdentity(worker *wire.Worker) *Identity {
	i := &Identity{worker: worker}
	i.Renew()

	return i
}

// Name returns the worker's name.
func (i *Identity) Name() string { return i.worker.GetName() }

// Incarnation returns the present incarnation.
func (i *Identity) Incarnation() uint64 { return i.incarnation.Load() }

// Renew takes a new incarnation.
func (i *Identity) Renew() uint64 {
	for {
		if n := rand.Uint64(); n != 0 {
			i.incarnation.Store(n)
			return n
		}
	}
}

// Worker returns the message form with the present incarnation.
func (i *Identity) Worker() *wire.Worker {
	w, _ := proto.Clone(i.worker).(*wire.Worker)
	w.SetIncarnation(i.Incarnation())

	return w
}
