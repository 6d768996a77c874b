package capacity_test

import (
	"math"
	"os"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/skylarkweir/skylarkweir/standin/capacity"
	"github.com/skylarkweir/skylarkweir/standin/cluster"
)

func TestMain(m *testing.M) {
	code := m.Run()

	cluster.RemoveSharedPrograms()
	os.Exit(code)
}

// Guards against slopes, intercepts or residuals that do not describe the measured points.
func TestFit(t *testing.T) {
	is := is.New(t)

	l := capacity.Fit([]capacity.Point{{1, 5}, {2, 7}, {3, 9}})
	is.Equal(l, capacity.Line{Slope: 2, Intercept: 3})
	is.Equal(l.At(10), 23.0)

	l = capacity.Fit([]capacity.Point{{0, 0}, {1, 3}, {2, 0}})
	is.True(math.Abs(l.Slope) < 1e-9)
	is.True(math.Abs(l.Residual-2) < 1e-9)
}

// Guards against measurements that fail, or whose load is refused, because the wire protocol, the settings or the
// metrics of the programs have changed.
func TestMeasurements(t *testing.T) {
	if runtime.GOOS != "linux" {
		t.Skip("usage is read from /proc")
	}

	is := is.New(t)

	programs, err := cluster.SharedPrograms(t.Context())
	is.NoErr(err)

	points := map[string][]int{
		"entry-workers": {2, 4}, "entry-starts": {40}, "entry-members": {3}, "entry-held": {5}, "entry-peers": {1, 2},
		"entry-change": {2}, "sidecar-entries": {1, 2}, "sidecar-starts": {40}, "sidecar-members": {3},
		"sidecar-change": {2}, "fleet-change": {2}, "session-entry": {2, 12}, "session-evacuations": {0, 2, 1},
		"call": {0, 20},
	}

	for name, p := range points {
		t.Run(name, func(t *testing.T) {
			t.Parallel()

			is := is.New(t)

			var out strings.Builder

			b := &capacity.Benchmark{
				Programs: programs, Directory: t.TempDir(), Out: &out,
				SettleTime: 200 * time.Millisecond, Window: time.Second,
				Workers: 4, Members: 2, TasksPerJob: 2, InputBytes: 10, LogLevel: "info",
			}
			is.NoErr(capacity.Measurements()[name](b, t.Context(), p))
			is.True(strings.Contains(out.String(), "fit "))
			is.True(!strings.Contains(out.String(), "refusal")) // the load was not refused
		})
	}
}
