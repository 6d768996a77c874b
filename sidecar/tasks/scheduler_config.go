package tasks

import (
	"context"
	"time"

	"github.com/skylarkweir/skylarkweir/weir/process/share"
	"github.com/skylarkweir/skylarkweir/weir/version/ledger"
)

// SchedulerConfig returns the kinds that a worker runs and the members' allowances there, as the log state has them. An
// incarnation that is not registered gets no kinds, and allowances of 0.
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

// IsEvacuated reports whether the operator has evacuated the failure domain of a worker. One that is not registered runs no
// tasks anyway.
func IsEvacuated(s *ledger.State, worker string) bool {
	if s.Evacuations().Len() == 0 {
		return false
	}

	for _, w := range s.Workers() {
		if w.Name() == worker {
			return s.Evacuations().Has(w.FailureDomain())
		}
	}

	return false
}

// Configurator applies each change of the log state to a table.
type Configurator struct {
	table    *Table
	replica  *ledger.Replica
	worker   WorkerIdentity
	capacity share.Capacity
}

// WorkerIdentity names a worker whose incarnation may change.
type WorkerIdentity interface {
	Name() string
	Incarnation() uint64
}

// NewConfigurator returns a configurator for a worker with a fixed capacity.
func NewConfigurator(t *Table, r *ledger.Replica, w WorkerIdentity, c share.Capacity) *Configurator {
	return &Configurator{t, r, w, c}
}

// incarnationCheckInterval limits the time until a change of incarnation takes effect. It is polled because the replica
// signals only changes of the log state.
const incarnationCheckInterval = time.Second

// Loop configures the table until ctx ends. It computes the allowances only when they can have changed, because that
// takes milliseconds for a large fleet.
func (c *Configurator) Loop(ctx context.Context) {
	ticker := time.NewTicker(incarnationCheckInterval)
	defer ticker.Stop()

	for {
		changed := c.replica.ConfigChanged()
		incarnation := c.worker.Incarnation()
		c.table.SetEvacuated(IsEvacuated(c.replica.State(), c.worker.Name()))
		kinds, members := SchedulerConfig(c.replica.State(), c.worker.Name(), incarnation)
		c.table.Configure(c.capacity, kinds, members)

		for waiting := true; waiting; {
			select {
			case <-ctx.Done():
				return
			case <-changed:
				waiting = false
			case <-ticker.C:
				waiting = c.worker.Incarnation() == incarnation
			}
		}
	}
}
