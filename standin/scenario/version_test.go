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
const spreadLimit = 9 * time.Second

// publication is one operator's run of weirctl publish.
type publication struct {
	system    *scenario.System
	directory string
	args      []string
	done      chan struct{}
	out       string
	code      int
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
	p.out, p.code, p.err = p.system.Cluster().Weirctl(ctx, args...)
}

func (p *publication) accepted() bool {
	<-p.done

	return p.err == nil && p.code == 0
}

// Guards against versions that are lost, revert, or are accepted twice: operators race one another, the log loses
// answers, goes down and drops its records, and processes start during the outage.
func TestVersionsSpreadAndNeverRevert(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	defer cancel()

	s := scenario.Start(ctx, t, 3, 3, kinds())
	c := s.Cluster()
	directory := filepath.Join(c.Directory(), "next")
	is.NoErr(cluster.WriteAgreement(directory, scenario.Token, "fit", "stock", "order", "quote"))

	w := s.Watch(ctx)
	defer w.Close()

	_, err := w.Spread(ctx, 1)
	is.NoErr(err)

	// Two operators with the same base: exactly one is told that it was accepted.
	a, b := publish(ctx, s, directory, "--base", "1", "--as", "anna"), publish(ctx, s, directory, "--base", "1", "--as", "bert")
	won := 0

	for _, p := range []*publication{a, b} {
		if p.accepted() {
			won++
		} else {
			is.True(strings.Contains(p.out, "conflict")) // the loser is told why
		}
	}

	is.Equal(won, 1)

	took, err := w.Spread(ctx, 2)
	is.NoErr(err)
	t.Logf("version 2 in force everywhere after %s", took)
	is.True(took < spreadLimit)

	// The answer to the append is lost; the publication is read back.
	is.NoErr(c.Log().SetFaults(ctx, map[string]any{"lose_answers": true}))
	is.True(publish(ctx, s, directory).accepted())
	took, err = w.Spread(ctx, 3)
	is.NoErr(err)
	t.Logf("version 3, with lost answers, in force everywhere after %s", took)
	is.True(took < spreadLimit)

	// Processes that start in an outage take the version in force from the others.
	is.NoErr(c.Log().SetFaults(ctx, map[string]any{"down": true}))
	is.NoErr(c.Entries()[0].Process().Kill())
	is.True(c.Entries()[0].Process().Wait(ctx) != nil)
	is.NoErr(c.Entries()[0].Restart(ctx))
	is.NoErr(c.Workers()[0].Sidecar().Kill())
	is.True(c.Workers()[0].Sidecar().Wait(ctx) != nil)
	is.NoErr(c.Workers()[0].Restart(ctx))
	took, err = w.Spread(ctx, 3)
	is.NoErr(err)
	t.Logf("version 3 in force at processes started in an outage after %s", took)
	is.True(took < spreadLimit)

	// The log comes back without its records. What was in force stays so, and the next version follows on it.
	is.NoErr(c.Log().Trim(ctx, 0))
	is.NoErr(c.Log().SetFaults(ctx, map[string]any{}))
	is.NoErr(c.Entries()[1].Process().Kill())
	is.True(c.Entries()[1].Process().Wait(ctx) != nil)
	is.NoErr(c.Entries()[1].Restart(ctx))
	_, err = w.Spread(ctx, 3)
	is.NoErr(err)

	t.Log("reverted:", w.Reverted())
	is.Equal(len(w.Reverted()), 0)
}
