package caller

import (
	"math"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
)

// Distribution is a distribution of run times with a text form: "fixed 100ms", "uniform 50ms 1s",
// "exponential 200ms" (mean), or "lognormal 200ms 0.5" (median and sigma). The zero value draws only 0.
type Distribution struct {
	shape shape
	text  string
}

type shape interface {
	draw(r *rand.Rand) time.Duration
}

type fixed struct{ value time.Duration }

func (f fixed) draw(*rand.Rand) time.Duration { return f.value }

type uniform struct{ low, high time.Duration }

func (u uniform) draw(r *rand.Rand) time.Duration {
	return u.low + time.Duration(r.Float64()*float64(u.high-u.low))
}

type exponential struct{ mean time.Duration }

func (e exponential) draw(r *rand.Rand) time.Duration {
	return time.Duration(r.ExpFloat64() * float64(e.mean))
}

type lognormal struct {
	median time.Duration
	sigma  float64
}

func (l lognormal) draw(r *rand.Rand) time.Duration {
	return time.Duration(float64(l.median) * math.Exp(l.sigma*r.NormFloat64()))
}

// String returns the text form.
func (d Distribution) String() string { return d.text }

// Draw returns a random value.
func (d Distribution) Draw(r *rand.Rand) time.Duration {
	if d.shape == nil {
		return 0
	}

	return d.shape.draw(r)
}

// UnmarshalText parses the text form.
func (d *Distribution) UnmarshalText(text []byte) error {
	words := strings.Fields(string(text))

	s, ok := parseShape(words)
	if !ok {
		return merry.Errorf(`%q is not a distribution such as "fixed 100ms", "uniform 50ms 1s", `+
			`"exponential 200ms" or "lognormal 200ms 0.5"`, text)
	}

	*d = Distribution{s, strings.Join(words, " ")}

	return nil
}

func parseShape(words []string) (shape, bool) {
	if len(words) < 2 {
		return nil, false
	}

	first, err := time.ParseDuration(words[1])
	if err != nil || first < 0 {
		return nil, false
	}

	switch {
	case words[0] == "fixed" && len(words) == 2:
		return fixed{first}, true
	case words[0] == "exponential" && len(words) == 2:
		return exponential{first}, true
	case words[0] == "uniform" && len(words) == 3:
		high, err := time.ParseDuration(words[2])

		return uniform{first, high}, err == nil && high >= first
	case words[0] == "lognormal" && len(words) == 3:
		sigma, err := strconv.ParseFloat(words[2], 64)

		return lognormal{first, sigma}, err == nil && sigma >= 0
	default:
		return nil, false
	}
}
