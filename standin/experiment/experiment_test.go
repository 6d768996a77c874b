package experiment_test

import (
	"context"
	"encoding/csv"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/skylarkweir/skylarkweir/standin/emulator"
	"github.com/skylarkweir/skylarkweir/standin/experiment"
)

// Guards against a report of a planted pair without its plot, or without the times after it was found.
func TestPairReport(t *testing.T) {
	is := is.New(t)
	directory := filepath.Join(t.TempDir(), "report")

	var out strings.Builder

	is.NoErr(experiment.WritePairReport(&out, directory, 40*time.Second, []uint64{1}))
	is.True(strings.Contains(out.String(), "seed 1, entry 0: lookup beside scan found"))
	is.Equal(strings.Count(out.String(), "  after "), 4)

	text, err := os.ReadFile(filepath.Join(directory, "pair.txt"))
	is.NoErr(err)
	is.Equal(string(text), out.String())

	plot, err := os.ReadFile(filepath.Join(directory, "pair.svg"))
	is.NoErr(err)
	is.True(strings.Contains(string(plot), "<svg"))
}

func grid() experiment.Grid {
	return experiment.NewGrid(
		[]experiment.Load{
			experiment.NewLoad("burst", emulator.Burst(40, 10*time.Millisecond)),
			experiment.NewLoad("flood", emulator.SmallDeployment(1, 1, 4).WithDuration(2*time.Second)),
		},
		[]experiment.Rule{
			experiment.NewRule("product", emulator.Product{}), experiment.NewRule("windowed", emulator.Windowed{}),
		},
		[]uint64{1, 2},
	)
}

// writeReport writes the report of the grid into a new directory, and returns the directory.
func writeReport(t *testing.T, parallel int) string {
	t.Helper()

	is := is.New(t)
	runs, err := grid().Run(t.Context(), parallel)
	is.NoErr(err)

	directory := filepath.Join(t.TempDir(), "report")
	is.NoErr(experiment.WriteReport(directory, "standin experiment", runs))

	return directory
}

func readFile(t *testing.T, directory, name string) string {
	t.Helper()

	text, err := os.ReadFile(filepath.Join(directory, name))
	is.New(t).NoErr(err)

	return string(text)
}

// Guards against tables that lack a load, rule or kind, against plots that are not drawn, and against a report that
// names a file that is missing.
func TestReport(t *testing.T) {
	is := is.New(t)
	directory := writeReport(t, 2)

	rows, err := csv.NewReader(strings.NewReader(readFile(t, directory, "kinds.csv"))).ReadAll()
	is.NoErr(err)
	is.Equal(len(rows), 1+2*1+2*3) // the header, one kind under the burst and three under the flood

	rows, err = csv.NewReader(strings.NewReader(readFile(t, directory, "timeline.csv"))).ReadAll()
	is.NoErr(err)
	is.True(strings.HasPrefix(rows[0][len(rows[0])-1], "refused: "))

	text := readFile(t, directory, "report.md")

	files, err := os.ReadDir(directory)
	is.NoErr(err)

	plots := 0

	for _, f := range files {
		if filepath.Ext(f.Name()) != ".svg" {
			continue
		}

		plots++

		is.True(strings.Contains(text, "("+f.Name()+")"))
		is.True(strings.Contains(readFile(t, directory, f.Name()), "<svg"))
	}

	is.Equal(plots, 2*3+1+3) // three for each load, and one for each kind
}

// Guards against figures that depend on how many simulations run at once.
func TestReportDoesNotDependOnParallelism(t *testing.T) {
	is := is.New(t)
	one, four := writeReport(t, 1), writeReport(t, 4)

	for _, name := range []string{"kinds.csv", "timeline.csv", "report.md"} {
		is.Equal(readFile(t, one, name), readFile(t, four, name))
	}
}

// Guards against a report that is taken for whole after it was interrupted or could not be written.
func TestErrors(t *testing.T) {
	is := is.New(t)

	ctx, cancel := context.WithCancel(t.Context())
	cancel()

	_, err := grid().Run(ctx, 0)
	is.True(errors.Is(err, context.Canceled))

	file := filepath.Join(t.TempDir(), "file")
	is.NoErr(os.WriteFile(file, nil, 0o600))
	is.True(experiment.WriteReport(filepath.Join(file, "report"), "", nil) != nil)
}
