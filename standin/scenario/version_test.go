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

// spreadLimit is the time within which an accepted version is in force everywhere.
const maxPropagation = 9 * time.Second

// publication is one operator's run of weirctl publish.
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

// Guards against versions that are lost, revert, or are accepted twice: operators race one another, the log loses
// answers, goes down and drops its records, and processes start during the outage.
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

	// Two operators with the same base: exactly one is told that it was accepted.
	first, second := publish(ctx, s, directory, "--base", "1", "--as", "anna"), publish(ctx, s, directory, "--base", "1", "--as", "bert")
	accepted := 0

	for _, p := range []*publication{first, second} {
		if p.accepted() {
			accepted++
		} else {
			is.True(strings.Contains(p.output, "conflict")) // the loser is told why
		}
	}

	is.Equal(accepted, 1)

	propagation, err := watcher.WaitForVersion(ctx, 2)
	is.NoErr(err)
	t.Logf("version 2 in force everywhere after %s", propagation)
	is.True(propagation < maxPropagation)

	// The answer to the append is lost; the publication is read back.
	is.NoErr(processes.Log().SetFaults(ctx, map[string]any{"lose_answers": true}))
	is.True(publish(ctx, s, directory).accepted())
	propagation, err = watcher.WaitForVersion(ctx, 3)
	is.NoErr(err)
	t.Logf("version 3, with lost answers, in force everywhere after %s", propagation)
	is.True(propagation < maxPropagation)

	// Processes that start in an outage take the version in force from the others.
	is.NoErr(processes.Log().SetFaults(ctx, map[string]any{"down": true}))
	is.NoErr(processes.Entries()[0].Process().Kill())
	is.True(processes.Entries()[0].Process().Wait(ctx) != nil)
	is.NoErr(processes.Entries()[0].Restart(ctx))
	is.NoErr(processes.Workers()[0].Sidecar().Kill())
	is.True(processes.Workers()[0].Sidecar().Wait(ctx) != nil)
	is.NoErr(processes.Workers()[0].Restart(ctx))
	propagation, err = watcher.WaitForVersion(ctx, 3)
	is.NoErr(err)
	t.Logf("version 3 in force at processes started in an outage after %s", propagation)
	is.True(propagation < maxPropagation)

	// The log comes back without its records. What was in force stays so, and the next version follows on it.
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
