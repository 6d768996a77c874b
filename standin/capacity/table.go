package capacity

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
)

// table prints rows as they are added, and a fitted line for each column at the end.
type table struct {
	out     io.Writer
	columns []string
	points  [][]Point
}

// usageColumns returns the names of the columns that measure fills.
func usageColumns() []string {
	return []string{"cpu %", "memory MB", "in B/s", "out B/s", "frames/s"}
}

func newTable(out io.Writer, x string, columns ...string) *table {
	t := &table{out: out, columns: columns, points: make([][]Point, len(columns))}
	t.printLine(x, columns)

	return t
}

func (t *table) printLine(first string, rest []string) {
	fmt.Fprintf(t.out, "%12s", first)

	for _, c := range rest {
		fmt.Fprintf(t.out, " %14s", c)
	}

	fmt.Fprintln(t.out)
}

func (t *table) addRow(x int, values ...float64) {
	texts := make([]string, 0, len(values))

	for i, v := range values {
		t.points[i] = append(t.points[i], Point{float64(x), v})
		texts = append(texts, fmt.Sprintf("%.3f", v))
	}

	t.printLine(fmt.Sprint(x), texts)
}

// printFits prints the line fitted to each column.
func (t *table) printFits() {
	for i, c := range t.columns {
		l := Fit(t.points[i])
		fmt.Fprintf(t.out, "fit %-14s slope %.6g  intercept %.6g  largest residual %.3g\n",
			strings.TrimSpace(c), l.Slope, l.Intercept, l.Residual)
	}
}

// measure waits for the settle time, reads the usage at both ends of the window and adds a row. Each extra column is
// called with 0 before the window to reset it, and after it with the duration of the window to return the value.
func (t *table) measure(
	ctx context.Context, b *Benchmark, x int, readUsage func(context.Context) (Usage, error),
	extraColumns ...func(window time.Duration) float64,
) error {
	if err := sleep(ctx, b.SettleTime); err != nil {
		return err
	}

	for _, m := range extraColumns {
		m(0)
	}

	first, err := readUsage(ctx)
	if err != nil {
		return err
	}

	if err := sleep(ctx, b.Window); err != nil {
		return err
	}

	last, err := readUsage(ctx)
	if err != nil {
		return err
	}

	window := last.at.Sub(first.at)
	if window <= 0 {
		return merry.New("measurement window has no duration")
	}

	values := last.valuesSince(first)
	for _, m := range extraColumns {
		values = append(values, m(window))
	}

	t.addRow(x, values...)

	return nil
}

// valuesSince returns the values of usageColumns over the time since first.
func (u Usage) valuesSince(first Usage) []float64 {
	s := u.at.Sub(first.at).Seconds()

	const (
		percent = 100
		mega    = 1e6
	)

	return []float64{
		(u.cpuTime - first.cpuTime).Seconds() / s * percent, u.residentBytes / mega,
		(u.receivedBytes - first.receivedBytes) / s, (u.sentBytes - first.sentBytes) / s, (u.frames - first.frames) / s,
	}
}

// counterRate returns an extra column for measure: the growth of a counter per second of the window.
func counterRate(read func() int64) func(time.Duration) float64 {
	var first int64

	return func(window time.Duration) float64 {
		if window == 0 {
			first = read()

			return 0
		}

		return float64(read()-first) / window.Seconds()
	}
}
