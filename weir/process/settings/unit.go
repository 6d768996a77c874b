package settings

import (
	"strconv"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
)

// Duration is a non-negative duration that settings contain as text with a unit, such as "250ms".
type Duration time.Duration

// Value returns d as a time.Duration.
func (d Duration) Value() time.Duration { return time.Duration(d) }

// String returns the text form without trailing zero units, so "5m" where time.Duration prints "5m0s".
func (d Duration) String() string {
	s := time.Duration(d).String()
	if strings.HasSuffix(s, "m0s") {
		s = strings.TrimSuffix(s, "0s")
	}

	if strings.HasSuffix(s, "h0m") {
		s = strings.TrimSuffix(s, "0m")
	}

	return s
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler. It rejects negative durations.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return merry.Errorf("%q is not a duration such as \"250ms\", \"3s\" or \"5m\"", text)
	}

	if v < 0 {
		return merry.Errorf("the duration %s is negative", text)
	}

	*d = Duration(v)

	return nil
}

// Bytes is a size that settings contain as text with a unit, such as "96MB".
type Bytes int64

// byteUnits is in descending order, so that String uses the largest unit that divides the size. The unit "B" must come
// last, since every other unit also ends in "B".
var byteUnits = []struct {
	name string
	size int64
}{
	{"GiB", 1 << 30}, {"GB", 1e9}, {"MiB", 1 << 20}, {"MB", 1e6}, {"KiB", 1 << 10}, {"KB", 1e3}, {"B", 1},
}

// Value returns the number of bytes.
func (b Bytes) Value() int64 { return int64(b) }

// String returns the text form in the largest unit that divides the size.
func (b Bytes) String() string {
	for _, u := range byteUnits {
		if b != 0 && int64(b)%u.size == 0 {
			return strconv.FormatInt(int64(b)/u.size, 10) + u.name
		}
	}

	return "0B"
}

// MarshalText implements encoding.TextMarshaler.
func (b Bytes) MarshalText() ([]byte, error) { return []byte(b.String()), nil }

// UnmarshalText reads the text form: a whole number followed by a unit.
func (b *Bytes) UnmarshalText(text []byte) error {
	for _, u := range byteUnits {
		digits, ok := strings.CutSuffix(string(text), u.name)
		if !ok {
			continue
		}

		n, err := strconv.ParseUint(digits, 10, 63)
		if err != nil || int64(n) > (1<<63-1)/u.size {
			break
		}

		*b = Bytes(int64(n) * u.size)

		return nil
	}

	return merry.Errorf("%q is not a size such as \"64KB\", \"96MB\" or \"2GiB\"", text)
}
