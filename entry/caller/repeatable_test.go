package caller_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/skylarkweir/skylarkweir/entry/caller"
	"github.com/skylarkweir/skylarkweir/weir/process/admission"
	"github.com/skylarkweir/skylarkweir/weir/request/job"
	"github.com/skylarkweir/skylarkweir/weir/version/ledger"
)

// fakeDispatcher records jobs and ends them when the test closes release.
type fakeDispatcher struct {
	mu      sync.Mutex
	jobs    []job.Job
	outcome job.Outcome
	release chan struct{}
}

func (d *fakeDispatcher) Submit(_ context.Context, j job.Job) job.Outcome {
	d.mu.Lock()
	d.jobs = append(d.jobs, j)
	d.mu.Unlock()

	<-d.release

	return d.outcome
}

func (d *fakeDispatcher) submitted() []job.Job {
	d.mu.Lock()
	defer d.mu.Unlock()

	return append([]job.Job{}, d.jobs...)
}

func newRepeatableFixture(t *testing.T, d *fakeDispatcher) *fixture {
	t.Helper()

	f := newFixture(t, true)
	replica := &ledger.Replica{}
	record := ledger.PublicationRecord(0, []byte("n"), "op", agreementOf("a", "b"))
	replica.ApplyLog([]ledger.Record{ledger.NewRecord(0, time.Now(), record)}, 1)

	f.server.ServeRepeatable(caller.NewRepeatableJobs(d, replica, 10))
	f.http = httptest.NewServer(f.server.Handler())
	t.Cleanup(f.http.Close)

	return f
}

const repeatablePath = "/v1/repeatable-jobs"

// Guards against fields of a repeatable job that are lost or misread on the way to the dispatcher, and against invalid
// bodies that are accepted.
func TestRepeatableBody(t *testing.T) {
	is := newIs(t)
	d := &fakeDispatcher{outcome: job.Completed{}, release: make(chan struct{})}
	close(d.release)

	f := newRepeatableFixture(t, d)

	w, body := f.do(is, f.request("POST", repeatablePath, "token-a", "mine",
		`{"kind":"k","input":"YWI=","tasks":3,"cores":1,"memory_mb":7,"estimate_ms":60,"deadline_ms":900,"objective_ms":50}`))
	is.Equal(w.StatusCode, 200)
	is.Equal(string(body), `{"job":"mine","state":"complete"}`)

	j := d.submitted()[0]
	is.Equal(j.ID(), "a/mine")
	is.Equal(j.Input(), "ab")
	is.Equal(j.Tasks(), 3)
	is.Equal(j.Size(), job.NewSize(1000, 7))
	is.Equal(j.Estimate(), 60*time.Millisecond)
	is.Equal(j.Timeout(), 900*time.Millisecond)
	is.Equal(j.Policy().Service(), "s")
	is.Equal(j.Policy().Priority(), 1)
	is.Equal(j.Policy().Objective(100*time.Millisecond), 210*time.Millisecond)

	for text, field := range map[string]string{
		`{}`: "kind", `{"kind":"x"}`: "kind", `{"kind":"k","tasks":0}`: "tasks", `{"kind":"k","tasks":11}`: "tasks",
		`{"kind":"k","input":"?"}`: "input", `{"kind":"k","deadline_ms":0}`: "deadline_ms", `{"kind":"k","wait":true}`: "wait",
		`{"kind":"k","cores":900}`: "cores", `{"kind":"k","estimate_ms":-1}`: "estimate_ms",
	} {
		w, body := f.do(is, f.request("POST", repeatablePath, "token-a", "", text))
		is.True(w.StatusCode == 400 || w.StatusCode == 422)

		var e errorResponse
		is.NoErr(json.Unmarshal(body, &e))
		is.Equal(e.Error.Field, field)
		is.Equal(e.Error.Ran, "none")
	}

	is.Equal(len(d.submitted()), 1)
}

// Guards against outcomes that are reported to callers with the wrong status or code, above all a refusal that does not
// state that nothing ran.
func TestRepeatableOutcomes(t *testing.T) {
	is := newIs(t)

	for _, c := range []struct {
		outcome   job.Outcome
		status    int
		code, ran string
	}{
		{job.NewRefused(admission.Overloaded, 1500*time.Millisecond), 429, "overloaded", "none"},
		{job.NewRefused(admission.NoServers, time.Second), 503, "no_workers", "none"},
		{job.NewRefused(admission.AllEvacuated, time.Second), 503, "no_workers", "none"},
		{job.NewRefused(admission.LabelEvacuated, time.Second), 503, "no_workers", "none"},
		{job.NewRefused(admission.TooLarge, time.Second), 422, "never_runnable", "none"},
		{job.Failed{}, 502, "task_failed", "some"},
		{job.Cancelled{}, 409, "cancelled", "unknown"},
		{job.NewInterrupted("the entry was paused"), 502, "backend_failed", "some"},
	} {
		d := &fakeDispatcher{outcome: c.outcome, release: make(chan struct{})}
		close(d.release)

		f := newRepeatableFixture(t, d)
		w, body := f.do(is, f.request("POST", repeatablePath, "token-a", "", `{"kind":"k"}`))
		is.Equal(w.StatusCode, c.status)

		var e errorResponse
		is.NoErr(json.Unmarshal(body, &e))
		is.Equal(e.Error.Code, c.code)
		is.Equal(e.Error.Ran, c.ran)

		if r, refused := c.outcome.(job.Refused); refused {
			is.Equal(e.Error.RetryAfterMS, r.RetryAfter().Milliseconds())
		}
	}
}

// Guards against a member whose active jobs exceed its share, and against refusing another member because of them.
func TestRepeatableShare(t *testing.T) {
	is := newIs(t)
	d := &fakeDispatcher{outcome: job.Completed{}, release: make(chan struct{})}
	f := newRepeatableFixture(t, d)

	first := &concurrentRequest{f, `{"kind":"k","tasks":8}`, "token-a", make(chan int, 1)}
	go first.run()

	for range 200 {
		if len(d.submitted()) == 1 {
			break
		}

		time.Sleep(10 * time.Millisecond)
	}

	is.Equal(len(d.submitted()), 1)

	// The limit of each member is 8 cores. Reaching it must not affect the other member.
	w, _ := f.do(is, f.request("POST", repeatablePath, "token-a", "", `{"kind":"k"}`))
	is.Equal(w.StatusCode, 429)

	other := &concurrentRequest{f, `{"kind":"k","tasks":10}`, "token-b", make(chan int, 1)}
	go other.run()

	for range 200 {
		if len(d.submitted()) == 2 {
			break
		}

		time.Sleep(10 * time.Millisecond)
	}

	close(d.release)
	is.Equal(<-first.status, 200)
	is.Equal(<-other.status, 200)

	w, _ = f.do(is, f.request("POST", repeatablePath, "token-a", "", `{"kind":"k","tasks":8}`))
	is.Equal(w.StatusCode, 200)
}

// concurrentRequest is sent while the test continues.
type concurrentRequest struct {
	fixture     *fixture
	body, token string
	status      chan int
}

func (c *concurrentRequest) run() {
	w, err := http.DefaultClient.Do(c.fixture.request("POST", repeatablePath, c.token, "", c.body))
	if err != nil {
		c.status <- 0

		return
	}
	defer w.Body.Close()

	c.status <- w.StatusCode
}
