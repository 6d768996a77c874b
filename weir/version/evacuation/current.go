package evacuation

import (
	"sync/atomic"
	"time"
)

// Current holds the value in force at a process. The zero value has nothing known. It is safe for concurrent use.
type Current struct {
	value atomic.Pointer[Value]
	// confirmedAt is when the store or a message has confirmed the value last, on the clock of package uptime; zero
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

// Confirm records that the store or a message has confirmed at the time now that the value in force is the newest one.
func (c *Current) Confirm(now time.Duration) { c.confirmedAt.Store(int64(now)) }

// Age returns the time at now since the value in force was confirmed last, zero if it never was. An old value stays in
// force.
func (c *Current) Age(now time.Duration) time.Duration {
	at := time.Duration(c.confirmedAt.Load())
	if at == 0 {
		return 0
	}

	return now - at
}
