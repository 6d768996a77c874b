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

// cancelledJob is a job that its caller cancels, with the last response to the cancellation.
type cancelledJob struct {
	ticket   string
	response scenario.Response
	err      error
}

// cancel cancels the job through an entry and polls its status until the job has ended.
func (c *cancelledJob) cancel(ctx context.Context, group *sync.WaitGroup, entry *cluster.Entry) {
	defer group.Done()

	const pollInterval = 20 * time.Millisecond

	for method := http.MethodDelete; ; method = http.MethodGet {
		c.response, c.err = scenario.SendRequest(ctx, entry, method, "/v1/submissions/"+c.ticket, "", nil)
		if c.err != nil || c.response.Status() != http.StatusAccepted {
			return
		}

		select {
		case <-ctx.Done():
			c.err = ctx.Err()

			return
		case <-time.After(pollInterval):
		}
	}
}

// Guards against wrong answers to a wave of cancellations, against tasks that start after their cancellation was
// answered, and against a wave that keeps other work from completing. Meanwhile one sidecar is paused for longer than
// its lease and another one for less.
func TestCancellationsInAWave(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()

	const (
		jobCount    = 30
		tasksPerJob = 40
		otherLoad   = `"rate": 10, "duration": "9s", "seed": 19, "attempts": 4, "mix": [
			{"kind": "stock", "form": "repeatable", "run": "uniform 50ms 150ms", "deadline": "6s"}]`
	)

	t.Log(otherLoad)

	s := scenario.Start(ctx, t, 3, 4, kinds())
	processes := s.Cluster()

	inputs := make([]map[string][]byte, tasksPerJob)
	for i := range inputs {
		// Run times differ. With equal ones, all slots could switch to their next task at the moment of the pause.
		runTime := time.Duration(150+37*i%100) * time.Millisecond
		inputs[i] = map[string][]byte{"input": caller.TaskInput(runTime, uint64(i+1), "")}
	}

	body := map[string]any{"kind": "fit", "tasks": inputs, "deadline_ms": 110000, "wait": false}
	cancelledJobs := make([]*cancelledJob, jobCount)

	for i := range cancelledJobs {
		e := processes.Entries()[i%3]
		response, err := scenario.SendRequest(ctx, e, http.MethodPost, "/v1/jobs", "", body)
		is.NoErr(err)
		is.Equal(response.Status(), http.StatusAccepted)
		cancelledJobs[i] = &cancelledJob{ticket: response.Ticket()}
	}

	load := s.StartLoad(ctx, otherLoad)

	s.Sleep(ctx, time.Second)
	is.NoErr(processes.Workers()[0].Sidecar().Pause())
	is.NoErr(processes.Workers()[1].Sidecar().Pause())
	s.Sleep(ctx, 500*time.Millisecond)

	var cancellations sync.WaitGroup

	waveStart := time.Now()

	for i, j := range cancelledJobs {
		cancellations.Add(1)

		go j.cancel(ctx, &cancellations, processes.Entries()[(i+1)%3]) // not the home
	}

	s.Sleep(ctx, 300*time.Millisecond)
	is.NoErr(processes.Workers()[1].Sidecar().Resume())
	cancellations.Wait()
	t.Logf("cancelled %d jobs of %d tasks in %s", jobCount, tasksPerJob, time.Since(waveStart))
	s.Sleep(ctx, 500*time.Millisecond)
	is.NoErr(processes.Workers()[0].Sidecar().Resume())

	report := load.Wait()
	t.Logf("other work: %d of %d submissions complete, refused: %v",
		report.All().Complete(), report.All().Submitted(), report.All().Refused())
	is.True(report.All().Complete() >= report.All().Submitted()*95/100)

	starts := map[string][]cluster.TaskStart{}
	for _, x := range s.Starts(ctx) {
		starts[x.Submission()] = append(starts[x.Submission()], x)
	}

	outcomes := map[string]int{}

	for _, j := range cancelledJobs {
		is.NoErr(j.err)

		if j.response.Status() == http.StatusOK { // the first jobs completed before the wave
			outcomes["complete"]++

			continue
		}

		is.Equal(j.response.Code(), "cancelled")
		outcomes[j.response.Ran()]++

		if n := len(starts[j.ticket]); n > 0 && j.response.Ran() == "none" || n == 0 && j.response.Ran() == "some" {
			t.Errorf("job %s reports ran %q, but %d tasks started", j.ticket, j.response.Ran(), n)
		}

		for _, x := range starts[j.ticket] {
			if x.Begin().After(j.response.ReceivedAt()) {
				t.Errorf("job %s: task %d, attempt %d started %s after the cancellation was answered with ran %q",
					j.ticket, x.Task(), x.Attempt(), x.Begin().Sub(j.response.ReceivedAt()), j.response.Ran())
			}
		}
	}

	t.Logf("jobs by what ran: %v", outcomes)
	is.True(outcomes["none"] > 0) // the wave includes jobs of which nothing had started
	is.True(outcomes["some"]+outcomes["unknown"] > 0)
	s.Check(ctx)
}
