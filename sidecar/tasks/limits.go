package tasks

const (
	// DefaultMaxStarts is the default limit of starts, and of tombstones.
	DefaultMaxStarts = 100_000
	// DefaultMaxBytes is the default limit of held inputs and outputs: 64 MiB.
	DefaultMaxBytes = 64 << 20
)

// Limits bound the size of a table. Zero values mean the defaults.
type Limits struct {
	maxStarts int
	maxBytes  int64
}

// NewLimits returns limits for the number of starts, which applies to tombstones separately, and for the total size of
// held inputs and outputs in bytes. A value of zero or less means the default.
func NewLimits(maxStarts int, maxBytes int64) Limits {
	if maxStarts <= 0 {
		maxStarts = DefaultMaxStarts
	}

	if maxBytes <= 0 {
		maxBytes = DefaultMaxBytes
	}

	return Limits{maxStarts, maxBytes}
}
