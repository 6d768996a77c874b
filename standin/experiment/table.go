package experiment

import (
	"encoding/csv"
	"fmt"
	"io"
	"slices"
	"strconv"

	"github.com/ansel1/merry/v2"
)

// writeKinds writes one row for each load, rule and kind as CSV.
func writeKinds(w io.Writer, scenarios []*scenario) error {
	rows := [][]string{{
		"load", "rule", "kind", "jobs", "on_time", "late", "refused", "refused_capacity_unknown", "refused_capacity_known",
		"bound", "share_of_bound", "response_to_ideal_p50", "response_to_ideal_p95",
	}}

	for _, s := range scenarios {
		for _, k := range s.kinds {
			rows = append(rows, []string{
				s.load.name, s.rule.name, k.name, strconv.Itoa(k.jobs), formatShare(k.share(k.onTime)),
				formatShare(k.share(k.late)), formatShare(k.share(k.refused)), formatShare(k.share(k.refusedUnknown)),
				formatShare(k.share(k.refusedKnown)), formatShare(k.bound / float64(max(1, k.jobs))),
				formatShare(k.shareOfBound()), formatShare(k.stretchAt(50)), formatShare(k.stretchAt(95)),
			})
		}
	}

	return writeRows(w, rows)
}

// writeTimeline writes one row for each load, rule and interval as CSV. Times are seconds from the start.
func writeTimeline(w io.Writer, scenarios []*scenario) error {
	var causes []string
	for _, s := range scenarios {
		causes = append(causes, s.causes()...)
	}

	slices.Sort(causes)
	causes = slices.Compact(causes)

	header := []string{"load", "rule", "second", "jobs", "on_time", "cpu_used"}
	for _, c := range causes {
		header = append(header, "refused: "+c)
	}

	rows := [][]string{header}

	for _, s := range scenarios {
		for n, b := range s.bins {
			row := []string{
				s.load.name, s.rule.name, formatShare(secondOf(n)), strconv.Itoa(b.jobs), strconv.Itoa(b.onTime),
				formatShare(s.usageAt(n)),
			}
			for _, c := range causes {
				row = append(row, strconv.Itoa(b.refusals[c]))
			}

			rows = append(rows, row)
		}
	}

	return writeRows(w, rows)
}

func writeRows(w io.Writer, rows [][]string) error {
	c := csv.NewWriter(w)
	if err := c.WriteAll(rows); err != nil {
		return merry.Prepend(err, "write CSV")
	}

	return nil
}

func formatShare(share float64) string { return fmt.Sprintf("%.3f", share) }

// secondOf returns the start of an interval in seconds.
func secondOf(n int) float64 { return float64(n) * binLength.Seconds() }

// usageAt returns the mean of the used part of the CPU in an interval.
func (s *scenario) usageAt(n int) float64 {
	if n >= len(s.usage) || s.samples[n] == 0 {
		return 0
	}

	return s.usage[n] / s.samples[n]
}
