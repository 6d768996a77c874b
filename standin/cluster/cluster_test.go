package cluster_test

import (
	"context"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/skylarkweir/skylarkweir/standin/caller"
	"github.com/skylarkweir/skylarkweir/standin/cluster"
	"github.com/skylarkweir/skylarkweir/standin/relay"
)

func TestMain(m *testing.M) {
	code := m.Run()

	cluster.RemoveSharedPrograms()
	os.Exit(code)
}

// Guards against relays that the traffic bypasses, restarts that change addresses, and processes that outlive the
// cluster. Tests that inject faults or restart processes would then pass without testing anything.
func TestCluster(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()

	c := cluster.NewForTest(t)
	is.NoErr(c.StartLog(ctx))
	e, err := c.StartEntry(ctx, "entry-1", cluster.WithRelay(), cluster.WithLogRelay(),
		cluster.WithSetting("drain_delay", "0s"))
	is.NoErr(err)
	w, err := c.StartWorker(ctx, "worker-1", cluster.WithRelay(), cluster.WithSetting("allowance_delay", "0s"),
		cluster.WithSetting("log_level", "error")) // at this level, it does not log its addresses
	is.NoErr(err)

	directory := filepath.Join(c.Directory(), "agreement")
	is.NoErr(cluster.WriteAgreement(directory, "token", "scan"))
	_, err = c.Publish(ctx, directory)
	is.NoErr(err)
	is.NoErr(c.WaitReady(ctx))

	l, err := c.NewLoad("token", `"rate": 1, "patience": "300ms", "attempts": 1, "mix": [{"kind": "scan"}]`)
	is.NoErr(err)
	client := caller.NewClient(l)
	defer client.Close()

	request := caller.NewRequest("scan", true, caller.TaskInput(10*time.Millisecond, 7, ""))
	r := client.Submit(ctx, request)
	is.Equal(r.Error(), "")
	is.True(r.Complete())

	starts, err := w.Starts(ctx)
	is.NoErr(err)
	is.Equal(len(starts), 1)
	is.Equal(starts[0].Submission(), r.Ticket())
	is.True(starts[0].End().Sub(starts[0].Begin()) >= 10*time.Millisecond)

	// Traffic passes through each of the three relays.
	for _, x := range []*relay.Relay{e.Relay(), e.LogRelay(), w.Relay()} {
		up, down, _ := x.Counts()
		is.True(up > 0)
		is.True(down > 0)
	}

	// Cutting the sidecar's source address off stops its work; clearing the faults restores it.
	e.Relay().SetClientFaults(w.Host(), relay.Faults{}.WithCut())
	r = client.Submit(ctx, request.WithDeadline(time.Second))
	is.True(!r.Complete())
	e.Relay().ClearFaults()
	is.NoErr(c.WaitReady(ctx))

	// A paused process does not respond, and a resumed one does.
	is.NoErr(w.Backend().Pause())
	_, err = w.Starts(ctx)
	is.True(err != nil)
	is.NoErr(w.Backend().Resume())
	_, err = w.Starts(ctx)
	is.NoErr(err)

	// A killed entry restarts at the same addresses.
	url, address := e.URL(), e.AdvertisedAddress()
	is.NoErr(e.Process().Kill())
	is.True(e.Process().Wait(ctx) != nil)
	is.NoErr(e.Restart(ctx))
	is.Equal(e.URL(), url)
	is.Equal(e.AdvertisedAddress(), address)
	is.NoErr(c.WaitReady(ctx))

	is.NoErr(w.Sidecar().Terminate())
	is.NoErr(w.Sidecar().Wait(ctx))

	counts, err := c.Log().Counts(ctx)
	is.NoErr(err)
	is.Equal(counts.RecordsOfType("publication"), int64(1))
	is.True(counts.RecordsOfType("worker_joined") >= 1)

	c.Close()
	for _, p := range c.Processes() {
		is.True(!p.Running())
	}
}
