package cluster_test

import (
	"bytes"
	"context"
	"encoding/base64"
	"encoding/json"
	"io"
	"net/http"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/skylarkweir/skylarkweir/standin/cluster"
)

// repeatableResponse is the response to a repeatable job.
type repeatableResponse struct {
	status int
	State  string `json:"state"`
	Error  struct {
		Code         string `json:"code"`
		Field        string `json:"field"`
		Ran          string `json:"ran"`
		RetryAfterMS int    `json:"retry_after_ms"`
	} `json:"error"`
}

// repeatableJob is a job that can be sent in the background.
type repeatableJob struct {
	ctx      context.Context
	entry    *cluster.Entry
	body     map[string]any
	response chan repeatableResponse
}

func (j *repeatableJob) sendAsync() { j.response <- j.send() }

func (j *repeatableJob) send() repeatableResponse {
	var a repeatableResponse

	text, _ := json.Marshal(j.body)

	r, err := http.NewRequestWithContext(j.ctx, http.MethodPost, j.entry.URL()+"/v1/repeatable-jobs", bytes.NewReader(text))
	if err != nil {
		return a
	}

	r.Header.Set("Authorization", "Bearer token")

	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return a
	}
	defer response.Body.Close()

	a.status = response.StatusCode
	body, _ := io.ReadAll(response.Body)
	_ = json.Unmarshal(body, &a)

	return a
}

// Guards against repeatable jobs that the product's own API accepts but does not run, whose tasks are not run again
// after their sidecar is lost, or which an entry abandons when it shuts down.
func TestRepeatableJobs(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()

	c := cluster.NewForTest(t)
	is.NoErr(c.StartLog(ctx))
	e, err := c.StartEntry(ctx, "entry-1", cluster.WithSetting("drain_delay", "0s"))
	is.NoErr(err)

	workers := make([]*cluster.Worker, 2)
	for n, name := range []string{"worker-1", "worker-2"} {
		workers[n], err = c.StartWorker(ctx, name, cluster.WithSetting("leases", true),
			cluster.WithSetting("services", []string{"service"}))
		is.NoErr(err)
	}

	directory := filepath.Join(c.Directory(), "agreement")
	is.NoErr(cluster.WriteAgreement(directory, "token", "scan"))
	_, err = c.Publish(ctx, directory)
	is.NoErr(err)
	is.NoErr(c.WaitReady(ctx))

	job := func(input string, tasks int) *repeatableJob {
		return &repeatableJob{ctx, e, map[string]any{
			"kind": "scan", "tasks": tasks, "deadline_ms": 20000, "objective_ms": 10000,
			"input": base64.StdEncoding.EncodeToString([]byte(input)),
		}, make(chan repeatableResponse, 1)}
	}

	// Backend servers are polled for their incarnations at intervals, so the first jobs may be refused.
	for job("1ms", 1).send().status != http.StatusOK {
		is.NoErr(ctx.Err())
	}

	a := job("20ms", 8).send()
	is.Equal(a.status, http.StatusOK)
	is.Equal(a.State, "complete")

	a = job("fail", 2).send()
	is.Equal(a.status, http.StatusBadGateway)
	is.Equal(a.Error.Code, "task_failed")

	unknownKind := job("1ms", 1)
	unknownKind.body["kind"] = "other"
	a = unknownKind.send()
	is.Equal(a.status, http.StatusBadRequest)
	is.Equal(a.Error.Field, "kind")
	is.Equal(a.Error.Ran, "none")

	// Six tasks run at both backend servers. The sidecar of the first is killed; the second has capacity for its tasks.
	longJob := job("1500ms", 6)
	go longJob.sendAsync()
	time.Sleep(500 * time.Millisecond)
	is.NoErr(workers[0].Sidecar().Kill())

	a = <-longJob.response
	is.Equal(a.status, http.StatusOK)

	lastJob := job("1s", 2)
	go lastJob.sendAsync()
	time.Sleep(300 * time.Millisecond)
	is.NoErr(e.Process().Terminate())

	a = <-lastJob.response
	is.Equal(a.status, http.StatusOK)
	is.NoErr(e.Process().Wait(ctx))
}
