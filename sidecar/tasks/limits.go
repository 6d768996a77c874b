package tasks

// Defaults of Limits.
const (
	DefaultStarts = 100_000
	DefaultBytes  = 64 << 20
)

// Limits bound the table. Zero values mean the defaults.
type Limits struct {
	starts int
	bytes  int64
}

// NewLimits returns the largest number of starts, and the same of tombstones, and the largest sum of held inputs and
// outputs in bytes.
func NewLimits(starts int, bytes int64) Limits {
	if starts <= 0 {
		starts = DefaultStarts
	}

	if bytes <= 0 {
		bytes = DefaultBytes
	}

	return Limits{starts, bytes}
}
