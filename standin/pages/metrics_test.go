package pages_test

import (
	"bufio"
	"bytes"
	"context"
	"net/http"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/skylarkweir/skylarkweir/standin/caller"
	"github.com/skylarkweir/skylarkweir/standin/cluster"
)

// Guards against metrics that are missing in metrics.md, that have another name or type there, or whose suffix does not
// follow the Prometheus conventions, and against logged events that events.md does not list with their level.
func TestMetricsPage(t *testing.T) {
	is := is.New(t)
	page := tableRows(is, "metrics.md")

	compareNames(t, "metrics.md", page, findInCode(is, `"(weir_(?:entry|sidecar)_\w+)`, "entry", "sidecar", "weir"))

	for name, cells := range page {
		metricType, unit := cells[1], cells[2]
		is.Equal(strings.HasSuffix(name, "_total"), metricType == "counter")                       // counters end in _total
		is.Equal(strings.HasSuffix(strings.TrimSuffix(name, "_total"), "_bytes"), unit == "bytes") // base units
		is.Equal(strings.HasSuffix(name, "_seconds"), unit == "seconds")
	}

	exposed := exposedTypes(t, is)
	is.True(len(exposed) > 40)

	for name, metricType := range exposed {
		if page[name] == nil || page[name][1] != metricType {
			t.Errorf("running programs expose %s as a %s, but metrics.md has %v", name, metricType, page[name])
		}
	}
}

// exposedTypes returns the types of the metrics, by name, of an entry and a sidecar that have run a task.
func exposedTypes(t *testing.T, is *is.I) map[string]string {
	t.Helper()

	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()

	c := cluster.NewForTest(t)
	is.NoErr(c.StartLog(ctx))

	e, err := c.StartEntry(ctx, "entry-1")
	is.NoErr(err)

	w, err := c.StartWorker(ctx, "worker-1", cluster.WithSetting("allowance_delay", "0s"))
	is.NoErr(err)

	directory := filepath.Join(c.Directory(), "agreement")
	is.NoErr(cluster.WriteAgreement(directory, "token", "scan"))
	_, err = c.Publish(ctx, directory)
	is.NoErr(err)
	is.NoErr(c.WaitReady(ctx))

	load, err := c.NewLoad("token", `"rate": 1, "attempts": 1, "mix": [{"kind": "scan"}]`)
	is.NoErr(err)

	client := caller.NewClient(load)
	defer client.Close()

	is.True(client.Submit(ctx, caller.NewRequest("scan", true, caller.TaskInput(time.Millisecond, 1, ""))).Complete())
	is.Equal(client.Submit(ctx, caller.NewRequest("unknown", true, caller.TaskInput(0, 1, ""))).Code(), "invalid_request")

	types := map[string]string{}
	scrape(ctx, is, e.AdminURL(), types)
	scrape(ctx, is, w.AdminURL(), types)

	var output bytes.Buffer

	c.WriteTails(&output)

	events := checkLogLines(t, is, &output)
	for _, name := range []string{"listening", "task_placed", "submission_refused", "task_started", "task_ended"} {
		is.True(slices.Contains(events, name))
	}

	return types
}

func scrape(ctx context.Context, is *is.I, admin string, types map[string]string) {
	is.Helper()

	request, err := http.NewRequestWithContext(ctx, http.MethodGet, admin+"/metrics", http.NoBody)
	is.NoErr(err)

	response, err := http.DefaultClient.Do(request)
	is.NoErr(err)

	defer response.Body.Close()

	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		if f := strings.Fields(lines.Text()); len(f) == 4 && f[1] == "TYPE" {
			types[f[2]] = f[3]
		}
	}

	is.NoErr(lines.Err())
}
