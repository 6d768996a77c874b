package command_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
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

// submitRepeatable sends a repeatable job and returns the status and the body of the answer.
func submitRepeatable(ctx context.Context, e *cluster.Entry) (int, string) {
	text := []byte(`{"kind": "scan", "tasks": 2, "deadline_ms": 5000, "objective_ms": 2000, "input": "MW1z"}`)

	r, err := http.NewRequestWithContext(ctx, http.MethodPost, e.URL()+"/v1/repeatable-jobs", bytes.NewReader(text))
	if err != nil {
		return 0, err.Error()
	}

	r.Header.Set("Authorization", "Bearer token")

	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()

	body, _ := io.ReadAll(response.Body)

	return response.StatusCode, string(body)
}

// evacuatedDomains returns the failure domains that an entry shows as evacuated, once it shows their workers so, too.
func evacuatedDomains(is *is.I, e *cluster.Entry) []string {
	is.Helper()

	code, out, _ := weirctl("status", "--entry", e.AdminURL(), "--json")
	is.Equal(code, 0)

	var status struct {
		Entries []struct {
			Evacuations struct {
				Domains  []string
				Position int64
				AgeMS    int64 `json:"age_ms"`
			}
		}
		Workers []struct {
			FailureDomain string `json:"failure_domain"`
			Evacuated     bool
		}
	}
	is.NoErr(json.Unmarshal([]byte(out), &status))

	domains := status.Entries[0].Evacuations.Domains
	for _, w := range status.Workers {
		if w.Evacuated != slices.Contains(domains, w.FailureDomain) {
			return []string{"the workers differ"}
		}
	}

	return domains
}

// hasMetric reports whether a process shows a value of a metric.
func hasMetric(ctx context.Context, adminURL, name string, value int) bool {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, adminURL+"/metrics", http.NoBody)
	if err != nil {
		return false
	}

	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	defer response.Body.Close()

	body, _ := io.ReadAll(response.Body)

	return strings.Contains("\n"+string(body), fmt.Sprintf("\n%s %d\n", name, value))
}

// Guards against running daemons that do not follow the operator's command: jobs of either kind that start in evacuated
// failure domains, or a domain that stays out of use after the end.
func TestEvacuateRunningSystem(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()

	await := func(done func() bool) {
		is.Helper()

		for !done() {
			is.NoErr(ctx.Err())
			time.Sleep(20 * time.Millisecond)
		}
	}

	c := cluster.NewForTest(t)
	is.NoErr(c.StartLog(ctx))
	e, err := c.StartEntry(ctx, "entry-1", cluster.WithSetting("drain_delay", "0s"))
	is.NoErr(err)

	workers := map[string]*cluster.Worker{}
	for _, domain := range []string{"a", "b"} {
		workers[domain], err = c.StartWorker(ctx, "worker-"+domain, cluster.WithSetting("leases", true),
			cluster.WithSetting("services", []string{"service"}), cluster.WithSetting("failure_domain", domain),
			cluster.WithSetting("allowance_delay", "0s"))
		is.NoErr(err)
	}

	directory := filepath.Join(c.Directory(), "agreement")
	is.NoErr(cluster.WriteAgreement(directory, "token", "scan"))
	_, err = c.Publish(ctx, directory)
	is.NoErr(err)
	is.NoErr(c.WaitReady(ctx))

	l, err := c.NewLoad("token", `"rate": 1, "mix": [{"kind": "scan"}]`)
	is.NoErr(err)

	client := caller.NewClient(l)
	defer client.Close()

	completesRepeatable := func() bool { status, _ := submitRepeatable(ctx, e); return status == http.StatusOK }
	submitTicketed := func() string { return client.Submit(ctx, caller.NewJob("scan", caller.TaskInput(0, 1, ""))).Error() }
	evacuate := func(args ...string) {
		is.Helper()

		code, _, errOut := weirctl(append([]string{"evacuate", "--log", c.Log().URL()}, args...)...)
		is.Equal(errOut, "")
		is.Equal(code, 0)
	}
	startsAt := func(domain string) int {
		starts, err := workers[domain].Starts(ctx)
		is.NoErr(err)

		return len(starts)
	}

	await(completesRepeatable)
	await(func() bool { return submitTicketed() == "" })

	evacuate("a")
	await(func() bool { return slices.Equal(evacuatedDomains(is, e), []string{"a"}) })
	await(func() bool { return hasMetric(ctx, workers["a"].AdminURL(), "weir_sidecar_evacuated_domains", 1) })

	before := startsAt("a")

	for range 10 {
		is.Equal(submitTicketed(), "")
		is.True(completesRepeatable())
	}

	is.Equal(startsAt("a"), before)

	evacuate("b")
	await(func() bool { return slices.Equal(evacuatedDomains(is, e), []string{"a", "b"}) })
	await(func() bool { return hasMetric(ctx, workers["b"].AdminURL(), "weir_sidecar_evacuated_domains", 2) })

	status, body := submitRepeatable(ctx, e)
	is.Equal(status, http.StatusServiceUnavailable)
	is.True(strings.Contains(body, "all failure domains"))
	is.True(strings.Contains(submitTicketed(), "evacuated failure domains"))

	_, out, _ := weirctl("status", "--entry", e.AdminURL())
	is.True(strings.Contains(strings.ToLower(out), "evacuated failure domains"))
	is.True(strings.Contains(out, "a,b"))

	evacuate("--end", "b")
	evacuate("--end", "a")
	await(completesRepeatable)
	await(func() bool { return submitTicketed() == "" })
	await(func() bool { return len(evacuatedDomains(is, e)) == 0 })
}
