package scenario_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/skylarkweir/skylarkweir/standin/caller"
	"github.com/skylarkweir/skylarkweir/standin/cluster"
	"github.com/skylarkweir/skylarkweir/standin/relay"
	"github.com/skylarkweir/skylarkweir/standin/scenario"
)

// job returns the body of a job whose tasks run for a time, with distinct echoes.
func job(number, tasks int, run time.Duration, wait bool) map[string]any {
	inputs := make([]map[string][]byte, tasks)
	for i := range inputs {
		inputs[i] = map[string][]byte{"input": caller.Input(run, uint64(1000*number+i+1), "")}
	}

	return map[string]any{"kind": "fit", "tasks": inputs, "deadline_ms": 20000, "wait": wait}
}

// submitted is a job that is sent again through another entry.
type submitted struct {
	id     string
	body   map[string]any
	answer scenario.Answer
	err    error
}

func (j *submitted) again(ctx context.Context, group *sync.WaitGroup, through *cluster.Entry) {
	defer group.Done()

	j.answer, j.err = scenario.Ask(ctx, through, http.MethodPost, "/v1/jobs", j.id, j.body)
}

// Guards against a home that goes on with jobs after a stop during which another entry closed them: the tombstones at
// the sidecars have to hold, since the home has a lease again.
func TestStoppedHomeStartsNothingClosed(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	defer cancel()

	const (
		jobs  = 12
		tasks = 8
		run   = 300 * time.Millisecond
	)

	s := scenario.Start(ctx, t, 2, 2, kinds())
	c := s.Cluster()
	all := make([]*submitted, jobs)

	for i := range all {
		a, err := scenario.Ask(ctx, c.Entries()[0], http.MethodPost, "/v1/jobs", "", job(i, tasks, run, false))
		is.NoErr(err)
		is.Equal(a.Status(), http.StatusAccepted)
		all[i] = &submitted{id: a.Submission(), body: job(i, tasks, run, true)}
	}

	is.NoErr(c.Entries()[0].Process().Pause())

	var group sync.WaitGroup

	for _, j := range all {
		group.Add(1)

		go j.again(ctx, &group, c.Entries()[1])
	}

	group.Wait()
	is.NoErr(c.Entries()[0].Process().Resume())
	s.Pause(ctx, 4*time.Second)

	starts := map[string][]cluster.TaskStart{}
	for _, x := range s.Starts(ctx) {
		starts[x.Submission()] = append(starts[x.Submission()], x)
	}

	outcomes := map[string]int{}

	for _, j := range all {
		is.NoErr(j.err)
		is.Equal(j.answer.Code(), "home_lost")
		outcomes[j.answer.Ran()]++

		if n := len(starts[j.id]); n > 0 && j.answer.Ran() == "none" {
			t.Errorf("%s: ran none, %d starts", j.id, n)
		}

		for _, x := range starts[j.id] {
			if x.Begin().After(j.answer.Received()) {
				t.Errorf("%s: task %d started %s after the job was closed", j.id, x.Task(), x.Begin().Sub(j.answer.Received()))
			}
		}
	}

	t.Logf("what ran: %v", outcomes)
	is.True(outcomes["none"] > 0) // the home had jobs left to go on with
}

// Guards against a second start when a connection breaks while a task runs and the home repeats the start on the next
// connection: the sidecar has to know the start.
func TestRepeatedStartRunsOnce(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	defer cancel()

	const (
		jobs  = 4
		tasks = 2
		run   = 10 * time.Second
		cut   = 7 * time.Second
	)

	s := scenario.Start(ctx, t, 1, 2, kinds())
	c := s.Cluster()
	all := make([]*submitted, jobs)

	var group sync.WaitGroup

	for i := range all {
		a, err := scenario.Ask(ctx, c.Entries()[0], http.MethodPost, "/v1/jobs", "", job(i, tasks, run, false))
		is.NoErr(err)

		all[i] = &submitted{id: a.Submission(), body: job(i, tasks, run, true)}
		group.Add(1)

		go all[i].again(ctx, &group, c.Entries()[0])
	}

	s.Pause(ctx, time.Second)
	c.Entries()[0].Relay().Set(relay.Faults{}.WithCut())
	s.Pause(ctx, cut)
	c.Entries()[0].Relay().Heal()
	group.Wait()

	counts := map[string]int{}
	for _, x := range s.Starts(ctx) {
		counts[fmt.Sprintf("%s/%d", x.Submission(), x.Task())]++
	}

	is.Equal(len(counts), jobs*tasks)

	for task, n := range counts {
		if n != 1 {
			t.Errorf("task %s started %d times", task, n)
		}
	}

	repeated := s.Metrics(ctx)["weir_sidecar_tasks_repeated_total"]
	t.Logf("%v starts were repeated", repeated)

	for _, j := range all {
		is.NoErr(j.err)
		is.Equal(j.answer.Status(), http.StatusOK) // the repeated start returns the first outcome
	}
}
