// Package evacuation holds which failure domains the operator has evacuated: no task starts there until the evacuation
// ends, and running tasks finish normally.
//
// The operator's log alone holds that state. A process has a value of it, which is the set of evacuated domains and the
// position in the log up to which it is known. Values are passed on between processes, and a process replaces its value
// only by one with a higher position, so that messages that are lost, repeated, delayed or reordered take nothing back.
package evacuation

import (
	"slices"

	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
)

// Value is the set of evacuated failure domains at a position in the operator's log. It is immutable. The zero value
// means that nothing is known, and evacuates nothing.
type Value struct {
	position int64
	// domains are sorted, without duplicates.
	domains []string
}

// NewValue returns the set of domains that are evacuated at a position in the operator's log, which is the offset after
// the last record that it is derived from.
func NewValue(position int64, domains []string) Value {
	sorted := slices.Clone(domains)
	slices.Sort(sorted)

	return Value{position, slices.Compact(sorted)}
}

// Position returns the offset in the operator's log up to which the value is known, zero if nothing is known.
func (v Value) Position() int64 { return v.position }

// Domains returns the evacuated failure domains in alphabetical order.
func (v Value) Domains() []string { return slices.Clone(v.domains) }

// Len returns the number of evacuated failure domains.
func (v Value) Len() int { return len(v.domains) }

// Has reports whether a failure domain is evacuated.
func (v Value) Has(domain string) bool {
	_, found := slices.BinarySearch(v.domains, domain)

	return found
}

// Merge returns the value with the higher position, v if both have the same.
func (v Value) Merge(o Value) Value {
	if o.position > v.position {
		return o
	}

	return v
}

// Frame returns the message that passes the value on without its age, or nil if nothing is known.
func (v Value) Frame() *wire.Frame { return v.frame(0) }

// frame returns the message that passes the value and its age on, or nil if nothing is known.
func (v Value) frame(age uint32) *wire.Frame {
	if v.position <= 0 {
		return nil
	}

	m := wire.Evacuations_builder{Position: v.position, Domains: v.domains, Age: age}.Build()

	return wire.Frame_builder{Evacuations: m}.Build()
}

// Decode returns the value in a message.
func Decode(m *wire.Evacuations) Value { return NewValue(m.GetPosition(), m.GetDomains()) }

// Difference is what changes when a value replaces another one.
type Difference struct{ began, ended []string }

// Began returns the domains that are evacuated from now on.
func (d Difference) Began() []string { return d.began }

// Ended returns the domains that are not evacuated any more.
func (d Difference) Ended() []string { return d.ended }

// IsEmpty reports whether the same domains are evacuated as before.
func (d Difference) IsEmpty() bool { return len(d.began)+len(d.ended) == 0 }

// since returns what has changed in v since the value before.
func (v Value) since(before Value) Difference {
	return Difference{v.without(before), before.without(v)}
}

// without returns the domains of v that are not in o.
func (v Value) without(o Value) []string {
	return slices.DeleteFunc(slices.Clone(v.domains), o.Has)
}
