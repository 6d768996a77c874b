package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"
)

// callerTimeout is the time budget of the callers.
const callerTimeout = 1500 * time.Millisecond

// resendDelay is how long after a broken connection or no answer a job is sent again.
const resendDelay = 1300 * time.Millisecond

// jobRequest is a job that a caller submits, under the same id each time.
type jobRequest struct {
	route, id string
	body      []byte
	timeout   time.Duration
}

// newJob returns a job of one step whose tasks run for a time.
func (d *deployment) newJob(route, run string, tasks int, millicores int64) *jobRequest {
	j := &jobRequest{route: route, id: fmt.Sprintf("%016x", rand.Uint64()), timeout: callerTimeout}
	d.setMillicores(j.id, millicores)

	length, err := time.ParseDuration(run)
	must(err)

	j.body, err = json.Marshal(map[string]any{
		"Spec": run, wire.Repeatable: true, "Steps": []any{map[string]any{
			"Count": tasks, "Cpu": millicores, "MemMb": 64, wire.Estimate: length.Milliseconds(),
		}},
	})
	must(err)

	return j
}

func (j *jobRequest) path() string { return "/" + j.route + "/" + j.id }

// header returns the header of a request of this job as text.
func (j *jobRequest) header(method string, length int) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: jobs.example\r\nContent-Type: application/json\r\n%s: %d\r\nContent-Length: %d\r\n\r\n",
		method, j.path(), wire.CallerDeadline, j.timeout.Milliseconds(), length)
}

// post submits the job at an entry over a connection of its own and returns the answer.
func (j *jobRequest) post(d *deployment, entry int) (int, string, error) {
	return j.send(d, entry, http.MethodPost, j.body)
}

// cancel cancels the job at an entry and returns the answer.
func (j *jobRequest) cancel(d *deployment, entry int) (int, string, error) {
	return j.send(d, entry, http.MethodDelete, nil)
}

func (j *jobRequest) send(d *deployment, entry int, method string, body []byte) (int, string, error) {
	r, err := http.NewRequest(method, "http://"+d.address(d.entryIP(entry), d.ports.front)+j.path(), bytes.NewReader(body))
	must(err)

	r.Host = "jobs.example"
	r.Header.Set(wire.CallerDeadline, fmt.Sprint(j.timeout.Milliseconds()))
	r.Header.Set("Content-Type", "application/json")

	t := &http.Transport{}
	defer t.CloseIdleConnections()

	c := http.Client{Timeout: j.timeout, Transport: t}

	d.record.printf("caller: %s %s sent to entry %d", method, j.id, entry)

	resp, err := c.Do(r)
	if err != nil {
		d.record.printf("caller: %s %s at entry %d: no answer: %v", method, j.id, entry, err)

		return 0, "", err
	}
	defer resp.Body.Close()

	text, err := io.ReadAll(resp.Body)
	d.record.printf("caller: %s %s at entry %d answered %d %s", method, j.id, entry, resp.StatusCode, bytes.TrimSpace(text))

	return resp.StatusCode, string(text), err
}
