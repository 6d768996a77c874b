package evacuation

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
)

// ageUnit is the unit of ages in messages. Ages of up to 12 s, which are those of a store that answers, take one byte.
const ageUnit = 100 * time.Millisecond

// Current holds the value in force at a process. The zero value has nothing known. It is safe for concurrent use.
type Current struct {
	value atomic.Pointer[Value]
	// confirmedAt is when the store has confirmed the value last as far as is known here, on the clock of package uptime; zero
	// before.
	confirmedAt atomic.Int64
}

// Value returns the value in force.
func (c *Current) Value() Value {
	if v := c.value.Load(); v != nil {
		return *v
	}

	return Value{}
}

// Update replaces the value in force by v if that has a higher position. It returns what has changed, and whether v is in
// force now.
func (c *Current) Update(v Value) (Difference, bool) {
	for {
		old := c.value.Load()

		var before Value
		if old != nil {
			before = *old
		}

		if v.position <= before.position {
			return Difference{}, false
		}

		if c.value.CompareAndSwap(old, &v) {
			return v.since(before), true
		}
	}
}

// Confirm records that the store has confirmed at a time that the value in force is the newest one, unless a later time is
// known. Zero is no time.
func (c *Current) Confirm(at time.Duration) {
	if at == 0 {
		return
	}

	for {
		known := c.confirmedAt.Load()
		if known != 0 && int64(at) <= known || c.confirmedAt.CompareAndSwap(known, int64(at)) {
			return
		}
	}
}

// ConfirmedAt returns when the store has confirmed a value of this age in a message that was received at the time now, zero
// if the message has no age. It may be before the start of this process and then negative.
func ConfirmedAt(age uint32, now time.Duration) time.Duration {
	if age == 0 {
		return 0
	}

	return now - time.Duration(age)*ageUnit
}

// WireAge returns the age at now as messages carry it: in tenths of a second, rounded up, or zero if nothing is
// known or it was never confirmed.
func (c *Current) WireAge(now time.Duration) uint32 {
	if c.confirmedAt.Load() == 0 || c.value.Load() == nil {
		return 0
	}

	units := (c.Age(now) + ageUnit - 1) / ageUnit

	return uint32(min(max(1, units), math.MaxUint32))
}

// Frame returns the message that passes the value in force on, or nil if nothing is known.
func (c *Current) Frame(now time.Duration) *wire.Frame { return c.Value().frame(c.WireAge(now)) }

// Age returns the time at now since the value in force was confirmed last, zero if it never was. An old value stays in
// force.
func (c *Current) Age(now time.Duration) time.Duration {
	at := time.Duration(c.confirmedAt.Load())
	if at == 0 {
		return 0
	}

	return now - at
}
