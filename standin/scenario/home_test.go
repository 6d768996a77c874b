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

// jobBody returns the request body of a job. Each task has an input of its own, and so an output of its own.
func jobBody(jobNumber, taskCount int, runTime time.Duration, wait bool) map[string]any {
	inputs := make([]map[string][]byte, taskCount)
	for i := range inputs {
		inputs[i] = map[string][]byte{"input": caller.TaskInput(runTime, uint64(1000*jobNumber+i+1), "")}
	}

	return map[string]any{"kind": "fit", "tasks": inputs, "deadline_ms": 20000, "wait": wait}
}

// resubmittedJob is a job that its caller submits again under the same ticket.
type resubmittedJob struct {
	ticket   string
	body     map[string]any
	response scenario.Response
	err      error
}

func (j *resubmittedJob) resubmit(ctx context.Context, group *sync.WaitGroup, entry *cluster.Entry) {
	defer group.Done()

	j.response, j.err = scenario.SendRequest(ctx, entry, http.MethodPost, "/v1/jobs", j.ticket, j.body)
}

// Guards against a home that starts tasks of closed jobs. The home is paused, another entry closes its jobs, and the
// home then resumes and obtains a lease again, so that only the tombstones at the sidecars prevent the starts.
func TestStoppedHomeStartsNothingClosed(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()

	const (
		jobCount    = 12
		tasksPerJob = 8
		runTime     = 300 * time.Millisecond
	)

	s := scenario.Start(ctx, t, 2, 2, kinds())
	processes := s.Cluster()
	jobs := make([]*resubmittedJob, jobCount)

	for i := range jobs {
		response, err := scenario.SendRequest(ctx, processes.Entries()[0], http.MethodPost, "/v1/jobs", "",
			jobBody(i, tasksPerJob, runTime, false))
		is.NoErr(err)
		is.Equal(response.Status(), http.StatusAccepted)
		jobs[i] = &resubmittedJob{ticket: response.Ticket(), body: jobBody(i, tasksPerJob, runTime, true)}
	}

	is.NoErr(processes.Entries()[0].Process().Pause())

	var resubmissions sync.WaitGroup

	for _, j := range jobs {
		resubmissions.Add(1)

		go j.resubmit(ctx, &resubmissions, processes.Entries()[1])
	}

	resubmissions.Wait()
	is.NoErr(processes.Entries()[0].Process().Resume())
	s.Sleep(ctx, 4*time.Second)

	starts := map[string][]cluster.TaskStart{}
	for _, x := range s.Starts(ctx) {
		starts[x.Submission()] = append(starts[x.Submission()], x)
	}

	outcomes := map[string]int{}

	for _, j := range jobs {
		is.NoErr(j.err)
		is.Equal(j.response.Code(), "home_lost")
		outcomes[j.response.Ran()]++

		if n := len(starts[j.ticket]); n > 0 && j.response.Ran() == "none" {
			t.Errorf("job %s reports ran none, but %d tasks started", j.ticket, n)
		}

		for _, x := range starts[j.ticket] {
			if x.Begin().After(j.response.ReceivedAt()) {
				t.Errorf("job %s: task %d started %s after the job was closed",
					j.ticket, x.Task(), x.Begin().Sub(j.response.ReceivedAt()))
			}
		}
	}

	t.Logf("jobs by what ran: %v", outcomes)
	is.True(outcomes["none"] > 0) // the home had jobs left of which nothing had started
}

// Guards against a task that starts twice. The connection breaks while the task runs, and the home repeats the start on
// the next connection. The sidecar has to recognize the start as a repetition.
func TestRepeatedStartRunsOnce(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()

	const (
		jobCount    = 4
		tasksPerJob = 2
		runTime     = 10 * time.Second
		cutDuration = 7 * time.Second
	)

	s := scenario.Start(ctx, t, 1, 2, kinds())
	processes := s.Cluster()
	jobs := make([]*resubmittedJob, jobCount)

	var resubmissions sync.WaitGroup

	for i := range jobs {
		response, err := scenario.SendRequest(ctx, processes.Entries()[0], http.MethodPost, "/v1/jobs", "",
			jobBody(i, tasksPerJob, runTime, false))
		is.NoErr(err)

		jobs[i] = &resubmittedJob{ticket: response.Ticket(), body: jobBody(i, tasksPerJob, runTime, true)}
		resubmissions.Add(1)

		go jobs[i].resubmit(ctx, &resubmissions, processes.Entries()[0])
	}

	s.Sleep(ctx, time.Second)
	processes.Entries()[0].Relay().SetFaults(relay.Faults{}.WithCut())
	s.Sleep(ctx, cutDuration)
	processes.Entries()[0].Relay().ClearFaults()
	resubmissions.Wait()

	startCounts := map[string]int{}
	for _, x := range s.Starts(ctx) {
		startCounts[fmt.Sprintf("%s/%d", x.Submission(), x.Task())]++
	}

	is.Equal(len(startCounts), jobCount*tasksPerJob)

	for task, n := range startCounts {
		if n != 1 {
			t.Errorf("task %s started %d times, want 1", task, n)
		}
	}

	repeated := s.Metrics(ctx)["weir_sidecar_tasks_repeated_total"]
	t.Logf("sidecars received %v repeated starts", repeated)

	for _, j := range jobs {
		is.NoErr(j.err)
		is.Equal(j.response.Status(), http.StatusOK) // the repeated start returns the first outcome
	}
}
