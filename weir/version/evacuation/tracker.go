package evacuation

// state is what a record says of a failure domain.
type state uint8

const (
	ended state = iota
	begun
	unknown
)

// Change is what a record of the operator's log says of a failure domain.
type Change struct {
	domain string
	state  state
}

// Begun returns the change of a record that evacuates a domain.
func Begun(domain string) Change { return Change{domain, begun} }

// Ended returns the change of a record that ends the evacuation of a domain.
func Ended(domain string) Change { return Change{domain, ended} }

// Unknown returns the change of a record of a domain whose value can't be read. The domain is empty if that can't be read
// either.
func Unknown(domain string) Change { return Change{domain, unknown} }

// Tracker derives the value from the records of the operator's log. The zero value has read nothing. It is not safe for
// concurrent use.
type Tracker struct {
	// evacuated has the domains of which a record is known, with whether it evacuates the domain.
	evacuated map[string]bool
	// exactFrom is the position from which on the state is that of one position.
	exactFrom int64
}

// Reset replaces the state by the newest records of all domains, in any order. They were read in several steps, so the
// state is exact only once the records before exactFrom, which was the end of the log at the last step, have been applied,
// too. A domain without a record is not evacuated. But one without a record stays as it is if there is a record whose
// domain can't be read, which may be its own.
func (t *Tracker) Reset(newest []Change, exactFrom int64) {
	before, hasNameless := t.evacuated, false
	t.evacuated, t.exactFrom = make(map[string]bool, len(newest)), exactFrom

	for _, c := range newest {
		if c.domain == "" {
			hasNameless = true

			continue
		}

		t.evacuated[c.domain] = c.applyTo(before)
	}

	if !hasNameless {
		return
	}

	for d, was := range before {
		if _, listed := t.evacuated[d]; !listed {
			t.evacuated[d] = was
		}
	}
}

// Apply applies a record that follows those before.
func (t *Tracker) Apply(c Change) {
	if c.domain == "" {
		return
	}

	if t.evacuated == nil {
		t.evacuated = map[string]bool{}
	}

	t.evacuated[c.domain] = c.applyTo(t.evacuated)
}

// applyTo returns whether the domain of the change is evacuated after it. A change that can't be read leaves the domain as
// it was, and evacuates one of which nothing was known.
func (c Change) applyTo(evacuated map[string]bool) bool {
	was, known := evacuated[c.domain]

	return c.state == begun || c.state == unknown && (was || !known)
}

// Value returns the value after all records before the position, and false if the state is not exact there yet.
func (t *Tracker) Value(position int64) (Value, bool) {
	if position < t.exactFrom {
		return Value{}, false
	}

	domains := make([]string, 0, len(t.evacuated))

	for d, evacuated := range t.evacuated {
		if evacuated {
			domains = append(domains, d)
		}
	}

	return NewValue(position, domains), true
}
