package scenario_test

import (
	"context"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/skylarkweir/skylarkweir/standin/cluster"
	"github.com/skylarkweir/skylarkweir/standin/scenario"
)

// maxPropagation is the time within which an accepted version is in force at every process.
const maxPropagation = 9 * time.Second

// publication is one run of weirctl publish by an operator.
type publication struct {
	system    *scenario.System
	directory string
	args      []string
	done      chan struct{}
	output    string
	exitCode  int
	err       error
}

func publish(ctx context.Context, s *scenario.System, directory string, args ...string) *publication {
	p := &publication{system: s, directory: directory, args: args, done: make(chan struct{})}
	go p.run(ctx)

	return p
}

func (p *publication) run(ctx context.Context) {
	defer close(p.done)

	args := append([]string{"publish", p.directory, "--log", p.system.Cluster().Log().URL()}, p.args...)
	p.output, p.exitCode, p.err = p.system.Cluster().Weirctl(ctx, args...)
}

func (p *publication) accepted() bool {
	<-p.done

	return p.err == nil && p.exitCode == 0
}

// Guards against a version that is lost, that is replaced by an older one, or that is accepted twice. Two operators
// publish at the same time, responses of the log are lost, the log is down and loses its records, and processes start
// during the outage.
func TestVersionsSpreadAndNeverRevert(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()

	s := scenario.Start(ctx, t, 3, 3, kinds())
	processes := s.Cluster()
	directory := filepath.Join(processes.Directory(), "next")
	is.NoErr(cluster.WriteAgreement(directory, scenario.Token, "fit", "stock", "order", "quote"))

	watcher := s.WatchVersions(ctx)
	defer watcher.Close()

	_, err := watcher.WaitForVersion(ctx, 1)
	is.NoErr(err)

	// Two operators publish on the same base version: exactly one publication is accepted.
	first, second := publish(ctx, s, directory, "--base", "1", "--as", "anna"),
		publish(ctx, s, directory, "--base", "1", "--as", "bert")
	accepted := 0

	for _, p := range []*publication{first, second} {
		if p.accepted() {
			accepted++
		} else {
			is.True(strings.Contains(p.output, "conflict")) // weirctl prints the reason
		}
	}

	is.Equal(accepted, 1)

	propagation, err := watcher.WaitForVersion(ctx, 2)
	is.NoErr(err)
	t.Logf("version 2 was in force everywhere after %s", propagation)
	is.True(propagation < maxPropagation)

	// The response to the append is lost, so weirctl has to read its publication back from the log.
	is.NoErr(processes.Log().SetFaults(ctx, map[string]any{"lose_answers": true}))
	is.True(publish(ctx, s, directory).accepted())
	propagation, err = watcher.WaitForVersion(ctx, 3)
	is.NoErr(err)
	t.Logf("version 3, with lost responses of the log, was in force everywhere after %s", propagation)
	is.True(propagation < maxPropagation)

	// Processes that start during an outage of the log obtain the version in force from other processes.
	is.NoErr(processes.Log().SetFaults(ctx, map[string]any{"down": true}))
	is.NoErr(processes.Entries()[0].Process().Kill())
	is.True(processes.Entries()[0].Process().Wait(ctx) != nil)
	is.NoErr(processes.Entries()[0].Restart(ctx))
	is.NoErr(processes.Workers()[0].Sidecar().Kill())
	is.True(processes.Workers()[0].Sidecar().Wait(ctx) != nil)
	is.NoErr(processes.Workers()[0].Restart(ctx))
	propagation, err = watcher.WaitForVersion(ctx, 3)
	is.NoErr(err)
	t.Logf("version 3 was in force at processes started during an outage of the log after %s", propagation)
	is.True(propagation < maxPropagation)

	// The log returns without its records. The version in force stays in force, and the next version builds on it.
	is.NoErr(processes.Log().Trim(ctx, 0))
	is.NoErr(processes.Log().SetFaults(ctx, map[string]any{}))
	is.NoErr(processes.Entries()[1].Process().Kill())
	is.True(processes.Entries()[1].Process().Wait(ctx) != nil)
	is.NoErr(processes.Entries()[1].Restart(ctx))
	_, err = watcher.WaitForVersion(ctx, 3)
	is.NoErr(err)

	t.Log("reverted:", watcher.Reversions())
	is.Equal(len(watcher.Reversions()), 0)
}
