package experiment

import (
	"cmp"
	"fmt"
	"io"
	"os"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/ansel1/merry/v2"
	"gonum.org/v1/plot/plotter"

	"github.com/skylarkweir/skylarkweir/standin/emulator"
)

const (
	pairReportFile = "pair.txt"
	pairPlotFile   = "pair.svg"
	// pairBin is the time over which response times are averaged in the plot.
	pairBin = 5 * time.Second
	// besideKind is the number of the kind that runs longer in emulator.Pair.
	besideKind = 1
)

// pairRun is a run of a load with a planted pair under a rule.
type pairRun struct {
	rule   string
	seed   uint64
	result emulator.Result
}

// WritePairReport runs a load with a planted pair of kinds under the product's rules, without and with the separation of
// kinds, and writes response times by pair before and after it was found. If a directory is named, the report and a plot go
// there, too.
func WritePairReport(out io.Writer, directory string, duration time.Duration, seeds []uint64) error {
	load := emulator.Pair(duration)

	var runs []pairRun

	for _, seed := range seeds {
		runs = append(runs,
			pairRun{"product", seed, emulator.Simulate(load, emulator.Product{}, seed)},
			pairRun{"separating", seed, emulator.Simulate(load, emulator.Separating{}, seed)})
	}

	if err := writePairTable(out, runs); err != nil || directory == "" {
		return err
	}

	if err := os.MkdirAll(directory, directoryMode); err != nil {
		return merry.Prepend(err, "create the directory of the report")
	}

	r := &report{directory: directory}
	r.write(pairReportFile, func(w io.Writer) error { return writePairTable(w, runs) })
	r.write(pairPlotFile, func(w io.Writer) error { return pairChart(runs).writeSVG(w) })

	return r.err
}

// foundAt returns when the last entry took up its first pair in the run of a seed, zero if none did.
func foundAt(runs []pairRun, seed uint64) time.Duration {
	first := map[int]time.Duration{}

	for _, r := range runs {
		for _, c := range r.result.PairChanges() {
			if _, ok := first[c.Entry()]; r.seed == seed && c.Added() && !ok {
				first[c.Entry()] = c.At()
			}
		}
	}

	last := time.Duration(0)
	for _, at := range first {
		last = max(last, at)
	}

	return last
}

// writePairTable writes the response times before and after the pair was found, with and without a task beside the other
// kind. The run without separation is divided at the same time.
func writePairTable(out io.Writer, runs []pairRun) error {
	for _, r := range runs {
		for _, c := range r.result.PairChanges() {
			fmt.Fprintf(out, "seed %d, %s\n", r.seed, c)
		}
	}

	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "rule\tseed\tphase\tlookup\tjobs\tshare\tmedian ms\t90 % ms")

	for _, r := range runs {
		found := foundAt(runs, r.seed)

		for _, after := range []bool{false, true} {
			writePairPhase(t, r, found, after)
		}
	}

	return merry.Prepend(t.Flush(), "write the table of the pair")
}

func writePairPhase(out io.Writer, r pairRun, found time.Duration, after bool) {
	responses := map[bool][]time.Duration{}

	for _, j := range r.result.Jobs() {
		if j.Kind() == besideKind && j.ResponseTime() > 0 && (j.ArrivedAt() >= found) == after {
			responses[j.Beside()] = append(responses[j.Beside()], j.ResponseTime())
		}
	}

	phase := "before"
	if after {
		phase = "after"
	}

	total := len(responses[false]) + len(responses[true])

	for _, beside := range []bool{true, false} {
		name := "apart from scan"
		if beside {
			name = "beside scan"
		}

		times := responses[beside]
		slices.SortFunc(times, cmp.Compare[time.Duration])

		fmt.Fprintf(out, "%s\t%d\t%s\t%s\t%d\t%.3f\t%d\t%d\n", r.rule, r.seed, phase, name, len(times),
			float64(len(times))/float64(max(1, total)), quantile(times, 0.5).Milliseconds(), quantile(times, 0.9).Milliseconds())
	}
}

// quantile returns a quantile of sorted times, zero if there are none.
func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}

	return sorted[int(q*float64(len(sorted)-1))]
}

// pairChart shows the mean response time of the kind that runs longer over the arrival of its jobs, for each rule.
func pairChart(runs []pairRun) chart {
	c := chart{title: "Response time of lookup, which runs longer beside scan", xLabel: "arrival (s)", yLabel: "mean (ms)"}

	for _, rule := range []string{"product", "separating"} {
		sums, counts := map[int]time.Duration{}, map[int]int{}

		for _, r := range runs {
			for _, j := range r.result.Jobs() {
				if bin := int(j.ArrivedAt() / pairBin); r.rule == rule && j.Kind() == besideKind && j.ResponseTime() > 0 {
					sums[bin] += j.ResponseTime()
					counts[bin]++
				}
			}
		}

		var points plotter.XYs

		for bin := 0; counts[bin] > 0; bin++ {
			mean := sums[bin] / time.Duration(counts[bin])
			points = append(points, plotter.XY{
				X: (time.Duration(bin)*pairBin + pairBin/2).Seconds(), Y: float64(mean.Milliseconds()),
			})
		}

		c.curves = append(c.curves, curve{rule, points})
	}

	return c
}
