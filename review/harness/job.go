package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// timeBudget is how long a client waits for an answer.
const timeBudget = 1500 * time.Millisecond

// job is a job that clients send.
type job struct {
	id, queue string
	tasks     int
	runTime   time.Duration
	// maxPerServer limits the tasks on one server, zero for no limit.
	maxPerServer int
}

func newJob(queue string, tasks int, runTime time.Duration) *job {
	return &job{id: fmt.Sprintf("%016x", rand.Uint64()), queue: queue, tasks: tasks, runTime: runTime}
}

// body returns the body of the job's submission.
func (j *job) body() []byte {
	m := newMessage("job")
	m["Spec"] = j.runTime.String()
	step := m["Steps"].([]any)[0].(map[string]any)

	for field := range step {
		switch {
		case field == "Count":
			step[field] = j.tasks
		case strings.HasPrefix(field, "Estimate"):
			step[field] = j.runTime.Milliseconds()
		}
	}

	if j.maxPerServer > 0 {
		step["AntiAffinity"] = j.maxPerServer
	}

	return encode(m)
}

// answer is the answer to a client. Its status is zero if there was none.
type answer struct {
	status int
	body   string
}

func (a answer) String() string {
	if a.status == 0 {
		return "no answer: " + a.body
	}

	return strings.TrimSpace(fmt.Sprintf("%d %s", a.status, a.body))
}

// submit sends the job to an entry and waits for the answer, at most the time budget.
func (j *job) submit(d *deployment, entry int) answer {
	return j.send(d, entry, http.MethodPost, j.body())
}

// cancel asks an entry to cancel the job.
func (j *job) cancel(d *deployment, entry int) answer {
	return j.send(d, entry, http.MethodDelete, nil)
}

func (j *job) send(d *deployment, entry int, method string, body []byte) answer {
	d.record.line("client    %s of job %s to entry %d", method, j.id, entry)

	a := j.exchange(d, entry, method, body)
	d.record.line("client    answer of entry %d to the %s of job %s: %s", entry, method, j.id, a)

	return a
}

func (j *job) exchange(d *deployment, entry int, method string, body []byte) answer {
	ctx, cancel := context.WithTimeout(context.Background(), timeBudget)
	defer cancel()

	r, err := http.NewRequestWithContext(
		ctx, method, fmt.Sprintf("http://%s:%d/%s/%s", d.ip(1, entry), d.front, j.queue, j.id), bytes.NewReader(body))
	if err != nil {
		return answer{body: err.Error()}
	}

	r.Host = "jobs.example"
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set(name("timeout header"), strconv.FormatInt(timeBudget.Milliseconds(), 10))

	// Each request has a connection of its own, which is closed when the client leaves.
	c := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

	resp, err := c.Do(r)
	if err != nil {
		return answer{body: err.Error()}
	}
	defer resp.Body.Close()

	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return answer{body: err.Error()}
	}

	return answer{resp.StatusCode, string(text)}
}

// awaitStarts waits until all tasks of a job have started, and returns one of their runs.
func awaitStarts(d *deployment, j *job) (run, error) {
	for deadline := time.Now().Add(time.Second); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if runs := d.runsOf(j); len(runs) >= j.tasks {
			return runs[0], nil
		}
	}

	return run{}, fmt.Errorf("the tasks of job %s have not started within a second", j.id)
}

// submission is a submission whose answer arrives on a channel.
type submission struct {
	job    *job
	answer chan answer
}

func (d *deployment) submitLater(j *job, entry int) *submission {
	s := &submission{j, make(chan answer, 1)}

	go func() { s.answer <- j.submit(d, entry) }()

	return s
}
