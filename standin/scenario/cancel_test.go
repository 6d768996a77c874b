package scenario_test

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/skylarkweir/skylarkweir/standin/caller"
	"github.com/skylarkweir/skylarkweir/standin/cluster"
	"github.com/skylarkweir/skylarkweir/standin/scenario"
)

// cancelled is a job that its caller cancels.
type cancelled struct {
	id     string
	answer scenario.Answer
	err    error
}

// cancel cancels the job through an entry and asks until the job has ended.
func (c *cancelled) cancel(ctx context.Context, group *sync.WaitGroup, through *cluster.Entry) {
	defer group.Done()

	const pause = 20 * time.Millisecond

	for method := http.MethodDelete; ; method = http.MethodGet {
		c.answer, c.err = scenario.Ask(ctx, through, method, "/v1/submissions/"+c.id, "", nil)
		if c.err != nil || c.answer.Status() != http.StatusAccepted {
			return
		}

		select {
		case <-ctx.Done():
			c.err = ctx.Err()

			return
		case <-time.After(pause):
		}
	}
}

// Guards against false answers to a wave of cancellations, against tasks that start after their cancellation was
// answered, and against a wave that keeps other work from completing. One sidecar is stopped for longer than a lease,
// another one for less.
func TestCancellationsInAWave(t *testing.T) {
	is := is.New(t)
	ctx, stop := context.WithTimeout(t.Context(), limit)
	defer stop()

	const (
		jobs  = 30
		tasks = 40
		other = `"rate": 10, "duration": "9s", "seed": 19, "attempts": 4, "mix": [
			{"kind": "stock", "form": "repeatable", "run": "uniform 50ms 150ms", "deadline": "6s"}]`
	)

	t.Log(other)

	s := scenario.Start(ctx, t, 3, 4, kinds())
	c := s.Cluster()

	inputs := make([]map[string][]byte, tasks)
	for i := range inputs {
		// Equal run times would make all slots change tasks at the same moment, which may be that of the stop.
		run := time.Duration(150+37*i%100) * time.Millisecond
		inputs[i] = map[string][]byte{"input": caller.Input(run, uint64(i+1), "")}
	}

	body := map[string]any{"kind": "fit", "tasks": inputs, "deadline_ms": 110000, "wait": false}
	all := make([]*cancelled, jobs)

	for i := range all {
		e := c.Entries()[i%3]
		a, err := scenario.Ask(ctx, e, http.MethodPost, "/v1/jobs", "", body)
		is.NoErr(err)
		is.Equal(a.Status(), http.StatusAccepted)
		all[i] = &cancelled{id: a.Submission()}
	}

	load := s.Begin(ctx, other)

	s.Pause(ctx, time.Second)
	is.NoErr(c.Workers()[0].Sidecar().Pause())
	is.NoErr(c.Workers()[1].Sidecar().Pause())
	s.Pause(ctx, 500*time.Millisecond)

	var group sync.WaitGroup

	began := time.Now()

	for i, j := range all {
		group.Add(1)

		go j.cancel(ctx, &group, c.Entries()[(i+1)%3]) // not the home
	}

	s.Pause(ctx, 300*time.Millisecond)
	is.NoErr(c.Workers()[1].Sidecar().Resume())
	group.Wait()
	t.Logf("%d jobs of %d tasks cancelled in %s", jobs, tasks, time.Since(began))
	s.Pause(ctx, 500*time.Millisecond)
	is.NoErr(c.Workers()[0].Sidecar().Resume())

	report := load.Wait()
	t.Logf("other work: complete %d of %d, refused %v", report.All().Complete(), report.All().Submitted(), report.All().Refused())
	is.True(report.All().Complete() >= report.All().Submitted()*95/100)

	starts := map[string][]cluster.TaskStart{}
	for _, x := range s.Starts(ctx) {
		starts[x.Submission()] = append(starts[x.Submission()], x)
	}

	outcomes := map[string]int{}

	for _, j := range all {
		is.NoErr(j.err)

		if j.answer.Status() == http.StatusOK { // the first jobs were complete before
			outcomes["complete"]++

			continue
		}

		is.Equal(j.answer.Code(), "cancelled")
		outcomes[j.answer.Ran()]++

		if n := len(starts[j.id]); n > 0 && j.answer.Ran() == "none" || n == 0 && j.answer.Ran() == "some" {
			t.Errorf("%s: ran %s, %d starts", j.id, j.answer.Ran(), n)
		}

		for _, x := range starts[j.id] {
			if x.Begin().After(j.answer.Received()) {
				t.Errorf("%s: task %d, attempt %d started %s after the cancellation was answered, ran %s",
					j.id, x.Task(), x.Attempt(), x.Begin().Sub(j.answer.Received()), j.answer.Ran())
			}
		}
	}

	t.Logf("what ran: %v", outcomes)
	is.True(outcomes["none"] > 0) // the wave has jobs that had not started
	is.True(outcomes["some"]+outcomes["unknown"] > 0)
	s.Check(ctx)
}
