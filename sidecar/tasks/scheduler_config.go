package tasks

import (
	"context"
	"time"

	"github.com/skylarkweir/skylarkweir/weir/process/share"
	"github.com/skylarkweir/skylarkweir/weir/version/ledger"
)

// Entitle returns the kinds that a worker runs and its members' allowances, by a state of the log. Without a
// registration nothing is allowed.
func SchedulerConfig(s *ledger.State, worker string, incarnation uint64) ([]share.Kind, []share.Member) {
	agreed := s.Agreement()
	workers := s.Workers()
	fleetSlots := 0

	var own ledger.Worker

	for _, w := range workers {
		fleetSlots += w.Slots()

		if w.Name() == worker {
			own = w
		}
	}

	_, registered := s.Registered(worker, incarnation)

	var (
		kinds   []share.Kind
		members []share.Member
	)

	for _, k := range agreed.Kinds() {
		if registered && own.Serves(k.Service()) {
			kinds = append(kinds, share.NewKind(k.Name(), k.SharePercent(), k.Urgent()))
		}
	}

	for _, m := range agreed.Members() {
		limit, allowance := m.Limit(fleetSlots), 0

		if registered {
			allowance = share.WorkerAllowance(m.Name(), limit, agreed.Granule(m, fleetSlots), workers, worker)
		}

		member := share.NewMember(m.Name(), limit, allowance)
		if m.Unlimited() {
			member = member.Unlimited()
		}

		members = append(members, member)
	}

	return kinds, members
}

// Follower configures a table by the log state.
type Configurator struct {
	table    *Table
	replica  *ledger.Replica
	worker   WorkerIdentity
	capacity share.Capacity
}

// Incarnate is a worker whose incarnation may change.
type WorkerIdentity interface {
	Name() string
	Incarnation() uint64
}

// NewFollower returns a follower for a worker of a capacity.
func NewConfigurator(t *Table, b *ledger.Replica, w WorkerIdentity, c share.Capacity) *Configurator {
	return &Configurator{t, b, w, c}
}

// followInterval bounds the time until a change of incarnation takes effect, which the book does not tell.
const incarnationCheckInterval = time.Second

// Loop follows the log state until ctx ends. It computes the splits only when they can have changed, since that takes
// milliseconds for a large fleet.
func (f *Configurator) Loop(ctx context.Context) {
	ticker := time.NewTicker(incarnationCheckInterval)
	defer ticker.Stop()

	for {
		changed := f.replica.ConfigChanged()
		incarnation := f.worker.Incarnation()
		kinds, members := SchedulerConfig(f.replica.State(), f.worker.Name(), incarnation)
		f.table.Configure(f.capacity, kinds, members)

		for waiting := true; waiting; {
			select {
			case <-ctx.Done():
				return
			case <-changed:
				waiting = false
			case <-ticker.C:
				waiting = f.worker.Incarnation() == incarnation
			}
		}
	}
}
