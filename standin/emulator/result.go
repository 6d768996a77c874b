package emulator

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// Share counts the jobs of a kind, or of the largest tenth of a kind.
type Share struct {
	name                         string
	asked, onTime, late, refused int
	bound                        float64
}

// Name returns the name of the kind.
func (s Share) Name() string { return s.name }

// OnTime returns the part of the jobs that ended within their objective.
func (s Share) OnTime() float64 { return float64(s.onTime) / float64(max(1, s.asked)) }

// Refused returns the part of the jobs that were refused.
func (s Share) Refused() float64 { return float64(s.refused) / float64(max(1, s.asked)) }

// Bound returns the part of the work that the fleet could have done at all, if it serves the most urgent kinds first and
// knows everything.
func (s Share) Bound() float64 { return s.bound }

// Result is how the jobs of a run were served.
type Result struct {
	kinds, large []Share
}

// Kinds returns the share of each kind.
func (r Result) Kinds() []Share { return r.kinds }

// Large returns the share of the largest tenth of each kind.
func (r Result) Large() []Share { return r.large }

func (w *world) result() Result {
	r := Result{make([]Share, len(w.load.kinds)), make([]Share, len(w.load.kinds))}

	// largest is the width from which on a job belongs to the largest tenth of its kind.
	const largest = 1.65

	for n, k := range w.load.kinds {
		r.kinds[n].name, r.large[n].name = k.name, k.name+", largest tenth"
	}

	for _, f := range w.jobs {
		f.count(&r.kinds[f.kind])

		if float64(len(f.runs)) >= largest*w.load.kinds[f.kind].tasks {
			f.count(&r.large[f.kind])
		}
	}

	w.bounds(r.kinds)

	return r
}

func (f *flight) count(s *Share) {
	s.asked++

	switch took := f.ended - f.at; {
	case f.refused:
		s.refused++
	case f.ended > 0 && took <= f.objective():
		s.onTime++
	case f.ended > 0 && took <= late*f.objective():
		s.late++
	}
}

// bounds gives each kind, the most urgent first, what capacity is left in each second.
func (w *world) bounds(shares []Share) {
	seconds := int(w.load.length.Seconds()) + 1
	asked := make([][]float64, len(shares))
	done := make([]float64, len(shares))
	total := make([]float64, len(shares))

	for n := range asked {
		asked[n] = make([]float64, seconds)
	}

	for _, f := range w.jobs {
		asked[f.kind][min(seconds-1, int(f.at.Seconds()))] += f.work()
		total[f.kind] += f.work()
	}

	for second := range seconds {
		left := 0.0
		for _, s := range w.servers {
			left += float64(s.capacity.Millicores()) / 1000 / s.slowness
		}

		for n := range shares { // kinds are listed by urgency
			served := min(left, asked[n][second])
			done[n] += served
			left -= served
		}
	}

	for n := range shares {
		shares[n].bound = done[n] / max(1, total[n])
	}
}

// Compare plays a load under each rule with the same seeds and prints the shares of each kind.
func Compare(out io.Writer, l Load, rules []Rule, seeds []uint64) error {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "rule\tseed\tkind\tjobs\ton time\tlate\trefused\tbound")

	for _, seed := range seeds {
		for _, r := range rules {
			result := Play(l, r, seed)
			for _, s := range append(append([]Share{}, result.kinds...), result.large...) {
				bound := "-"
				if s.bound > 0 {
					bound = fmt.Sprintf("%.3f", s.bound)
				}

				fmt.Fprintf(t, "%T\t%d\t%s\t%d\t%.3f\t%d\t%.3f\t%s\n", r, seed, s.name, s.asked, s.OnTime(), s.late, s.Refused(), bound)
			}
		}
	}

	return t.Flush()
}
