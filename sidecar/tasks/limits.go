package tasks

// Defaults of Limits.
const (
	DefaultMaxStarts = 100_000
	DefaultMaxBytes  = 64 << 20
)

// Limits bound the table. Zero values mean the defaults.
type Limits struct {
	maxStarts int
	maxBytes  int64
}

// NewLimits returns the largest number of starts, and the same of tombstones, and the largest sum of held inputs and
// outputs in bytes.
func NewLimits(maxStarts int, maxBytes int64) Limits {
	if maxStarts <= 0 {
		maxStarts = DefaultMaxStarts
	}

	if maxBytes <= 0 {
		maxBytes = DefaultMaxBytes
	}

	return Limits{maxStarts, maxBytes}
}
