package command_test

import (
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/skylarkweir/skylarkweir/standin/caller"
	"github.com/skylarkweir/skylarkweir/standin/cluster"
)

func TestMain(m *testing.M) {
	code := m.Run()

	cluster.RemoveSharedPrograms()
	os.Exit(code)
}

// Guards against commands that cannot parse the responses of the running daemons.
func TestAgainstRunningSystem(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()

	c := cluster.NewForTest(t)
	is.NoErr(c.StartLog(ctx))
	e, err := c.StartEntry(ctx, "entry-1", cluster.WithSetting("drain_delay", "0s"))
	is.NoErr(err)
	w, err := c.StartWorker(ctx, "worker-1", cluster.WithSetting("allowance_delay", "0s"))
	is.NoErr(err)

	directory := filepath.Join(c.Directory(), "agreement")
	is.NoErr(cluster.WriteAgreement(directory, "token", "scan"))
	code, out, errOut := weirctl("publish", directory, "--log", c.Log().URL(), "--as", "tester")
	is.Equal(errOut, "")
	is.Equal(code, 0)
	is.Equal(out, "accepted: version 1\n")
	is.NoErr(c.WaitReady(ctx))

	l, err := c.NewLoad("token", `"rate": 1, "mix": [{"kind": "scan"}]`)
	is.NoErr(err)
	client := caller.NewClient(l)
	defer client.Close()
	r := client.Submit(ctx, caller.NewJob("scan", caller.TaskInput(0, 1, ""), caller.TaskInput(0, 2, "")))
	is.Equal(r.Error(), "")

	code, out, _ = weirctl("show", "--entry", e.AdminURL(), "--sidecar", w.AdminURL(), "--json")
	is.Equal(code, 0)
	var shown []struct {
		Program, Name, Operator string
		Version                 int64
	}
	is.NoErr(json.Unmarshal([]byte(out), &shown))
	is.Equal(len(shown), 2)
	is.Equal(shown[0].Name, "entry-1")
	is.Equal(shown[0].Operator, "tester")
	is.Equal(shown[1].Name, "worker-1")
	for _, s := range shown {
		is.Equal(s.Version, int64(1))
	}

	code, out, _ = weirctl("show", "--entry", e.AdminURL(), "--agreement")
	is.Equal(code, 0)
	is.True(strings.Contains(out, `"scan"`))

	code, out, _ = weirctl("status", "--entry", e.AdminURL(), "--sidecar", w.AdminURL(), "--json")
	is.Equal(code, 0)
	var status struct {
		Workers []struct {
			Name      string
			Slots     int
			Connected int
		}
		Members []struct {
			Member string
			Limit  int `json:"limit_slots"`
		}
		Queues []struct{ Queue string }
	}
	is.NoErr(json.Unmarshal([]byte(out), &status))
	is.Equal(status.Workers[0].Name, "worker-1")
	is.Equal(status.Workers[0].Connected, 1)
	is.Equal(status.Members[0].Member, "member")
	is.Equal(status.Members[0].Limit, status.Workers[0].Slots)
	is.True(len(status.Queues) > 0)
	is.Equal(status.Queues[0].Queue, "all kinds")
	code, out, _ = weirctl("status", "--entry", e.AdminURL())
	is.Equal(code, 0)
	is.True(strings.Contains(out, "worker-1"))

	code, out, errOut = weirctl("explain", "--entry", e.AdminURL(), r.Ticket())
	is.Equal(errOut, "")
	is.Equal(code, 0)
	is.True(strings.Contains(out, "complete, 2 of 2 tasks ended"))
	is.True(strings.Contains(out, "worker-1"))
	code, _, errOut = weirctl("explain", "--entry", e.AdminURL(), "nonsense")
	is.Equal(code, 1)
	is.True(strings.Contains(errOut, "invalid_request"))

	_, err = c.StartWorker(ctx, "worker-2", cluster.WithSetting("leases", true),
		cluster.WithSetting("services", []string{"service"}))
	is.NoErr(err)

	for !strings.Contains(out, "worker-2") || !strings.Contains(out, "decision  admitted") {
		is.NoErr(ctx.Err()) // backend servers are polled for their incarnations at intervals

		code, out, errOut = weirctl("explain-placement", "--entry", e.AdminURL(), "--kind", "scan", "--tasks", "2")
		is.Equal(errOut, "")
		is.Equal(code, 0)
	}

	code, _, _ = weirctl("drain", "--entry", e.AdminURL())
	is.Equal(code, 0)
	is.NoErr(e.Process().Wait(ctx))
	code, _, _ = weirctl("show", "--entry", e.AdminURL())
	is.Equal(code, 1)
}

// Guards against daemons that have an operators' token configured and serve requests without it, and against commands
// that do not send the token.
func TestTokenAgainstRunningSystem(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()

	c := cluster.NewForTest(t)
	is.NoErr(c.StartLog(ctx))

	file := filepath.Join(c.Directory(), "operators.token")
	is.NoErr(os.WriteFile(file, []byte("0123456789abcdef\n"), 0o600))

	e, err := c.StartEntry(ctx, "entry-1", cluster.WithSetting("drain_delay", "0s"), cluster.WithSetting("admin_token_file", file))
	is.NoErr(err)
	w, err := c.StartWorker(ctx, "worker-1", cluster.WithSetting("admin_token_file", file))
	is.NoErr(err)

	for _, args := range [][]string{
		{"status", "--entry", e.AdminURL(), "--sidecar", w.AdminURL()},
		{"show", "--entry", e.AdminURL(), "--sidecar", w.AdminURL()},
		{"drain", "--entry", e.AdminURL()},
	} {
		code, _, errOut := weirctl(args...)
		is.Equal(code, 1)
		is.True(strings.Contains(errOut, "401"))

		code, _, errOut = weirctl(append(args, "--token-file", file)...)
		is.Equal(errOut, "")
		is.Equal(code, 0)
	}
}
