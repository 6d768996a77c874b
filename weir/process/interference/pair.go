package interference

import "time"

// Pair is a kind whose tasks run longer beside tasks of another kind, or of the same one.
type Pair struct {
	kind, beside string
	factor       float64
	score        float64
	tasks        int
	since        time.Duration
}

// Kind returns the kind whose tasks run longer.
func (p Pair) Kind() string { return p.kind }

// Beside returns the kind beside which they do.
func (p Pair) Beside() string { return p.beside }

// Factor returns by how much longer they run at least, with some certainty: the estimate less its standard error.
func (p Pair) Factor() float64 { return p.factor }

// Score returns the estimate in standard errors.
func (p Pair) Score() float64 { return p.score }

// Tasks returns the number of observed tasks beside the other kind, in full run times.
func (p Pair) Tasks() int { return p.tasks }

// Since returns when the pair was taken up.
func (p Pair) Since() time.Duration { return p.since }

// Reason is why a pair was taken up or dropped.
type Reason string

// The reasons.
const (
	// Found means that the tasks run longer.
	Found Reason = "found"
	// Gone means that the tasks do not run longer any more.
	Gone Reason = "gone"
	// Old means that nothing has confirmed the pair for long.
	Old Reason = "old"
	// Replaced means that a kind was not seen for long and another one took its place.
	Replaced Reason = "replaced"
)

// Change is a pair that was taken up or dropped.
type Change struct {
	pair   Pair
	reason Reason
}

// Pair returns the pair.
func (c Change) Pair() Pair { return c.pair }

// Reason returns why it was taken up or dropped.
func (c Change) Reason() Reason { return c.reason }

// Added reports whether the pair was taken up.
func (c Change) Added() bool { return c.reason == Found }
