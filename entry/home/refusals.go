package home

import (
	"sync"
	"time"

	"github.com/skylarkweir/skylarkweir/weir/request/fault"
	"github.com/skylarkweir/skylarkweir/weir/request/ticket"
)

// maxRefusals bounds the refused tickets that are remembered, at about 40 bytes each. It covers 1600 refusals a second
// over the default lifetime of a ticket.
const maxRefusals = 500000

// refusals remembers the tickets that were refused as not run. A copy of the submission that arrives later, such as a
// delayed one by another entry, must not run after that answer. The zero value works.
type refusals struct {
	mu sync.Mutex
	// kinds is keyed by the sequence, which is unique among the tickets of this home.
	kinds map[uint64]fault.Kind
	// due holds the sequences by the second in which their tickets expire.
	due map[int64][]uint64
}

// add returns false if there is no room to remember the ticket.
func (r *refusals) add(t ticket.Ticket, k fault.Kind) bool {
	r.mu.Lock()
	defer r.mu.Unlock()

	if len(r.kinds) >= maxRefusals {
		return false
	}

	if r.kinds == nil {
		r.kinds, r.due = map[uint64]fault.Kind{}, map[int64][]uint64{}
	}

	s := t.Expiry().Add(expiryMargin).Unix() + 1
	r.kinds[t.Sequence()] = k
	r.due[s] = append(r.due[s], t.Sequence())

	return true
}

func (r *refusals) find(t ticket.Ticket) (fault.Kind, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()

	k, found := r.kinds[t.Sequence()]

	return k, found
}

func (r *refusals) sweep(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()

	for s, all := range r.due {
		if s > now.Unix() {
			continue
		}

		for _, n := range all {
			delete(r.kinds, n)
		}

		delete(r.due, s)
	}
}

// remember makes a refusal as not run final for the ticket. If that is not possible, the refusal does not claim it.
func (t *Table) remember(of ticket.Ticket, err error) error {
	if fault.RanOf(err) == fault.RanNone && !t.refusals.add(of, fault.KindOf(err)) {
		return fault.WithRan(err, fault.RanUnknown)
	}

	return err
}
