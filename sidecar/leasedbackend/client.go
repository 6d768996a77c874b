// Package leasedbackend is the HTTP client of a backend server that runs the tasks of repeatable jobs under leases.
// docs/protocol.md specifies the interface.
package leasedbackend

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/skylarkweir/skylarkweir/sidecar/repeatable"
	"github.com/skylarkweir/skylarkweir/weir/connection/httppool"
)

const (
	// maxConnections limits the connections to the backend server. A call whose answer is lost occupies one until its time
	// limit.
	maxConnections = 32
	// idleTimeout is below the keep-alive time of common HTTP servers, so that the client closes idle connections
	// first.
	idleTimeout = 20 * time.Second
	// maxResponseBytes limits the body of a response.
	maxResponseBytes = 4 << 20
)

// Client runs tasks at one backend server.
type Client struct {
	address string
	http    *http.Client
}

// NewClient returns a client of the backend server at an address such as http://127.0.0.1:8080.
func NewClient(address string) *Client {
	pool := &httppool.Transport{Transport: http.Transport{
		MaxIdleConnsPerHost: maxConnections, MaxConnsPerHost: maxConnections, IdleConnTimeout: idleTimeout,
		DisableCompression: true,
	}}

	return &Client{address: strings.TrimRight(address, "/"), http: &http.Client{Transport: pool}}
}

// Status returns the status of the current incarnation of the backend server.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var s Status

	err := c.call(ctx, http.MethodGet, StatusPath, nil, &s)
	if err == nil && s.Instance == "" {
		err = merry.Errorf("%s: response has no instance", StatusPath)
	}

	return s, err
}

// Start starts a run.
func (c *Client) Start(
	ctx context.Context, r repeatable.Run, input string, p repeatable.Permit,
) (repeatable.StartAnswer, error) {
	var s StartResponse

	if err := c.call(ctx, http.MethodPost, StartPath, StartRequest{NewRun(r), input, NewPermit(p)}, &s); err != nil {
		return repeatable.StartAnswer{}, err
	}

	result, known := repeatable.ParseStartResult(s.Result)
	if !known {
		return repeatable.StartAnswer{}, merry.Errorf("%s: answer %.40q does not tell whether the run has started",
			StartPath, s.Result)
	}

	answer := repeatable.NewStartAnswer(result, time.Duration(s.ClockMS)*time.Millisecond)

	return answer.WithDetail(s.Result), nil
}

// Stop requests the end of a run. The run is over once Watch no longer lists it as running.
func (c *Client) Stop(ctx context.Context, r repeatable.Run, p repeatable.Permit) error {
	return c.call(ctx, http.MethodPost, StopPath, StopRequest{NewRun(r), NewPermit(p)}, nil)
}

// Watch acknowledges the ended runs up to the number lastEnd and renews the lease. It waits at most wait for a run to
// end, and returns the runs that have not ended and those that have.
func (c *Client) Watch(
	ctx context.Context, lastEnd uint64, wait time.Duration, p repeatable.Permit,
) (repeatable.WatchResult, error) {
	var w WatchResponse

	if err := c.call(ctx, http.MethodPost, WatchPath, WatchRequest{lastEnd, wait.Milliseconds(), NewPermit(p)}, &w); err != nil {
		return repeatable.WatchResult{}, err
	}

	if w.ClockMS == 0 {
		return repeatable.WatchResult{}, merry.Errorf("%s: the response has no clock, so it is no list of runs", WatchPath)
	}

	clock := time.Duration(w.ClockMS) * time.Millisecond
	if w.Fenced {
		return repeatable.NewFencedWatchResult(clock), nil
	}

	running := make([]repeatable.Run, 0, len(w.Running))
	for _, r := range w.Running {
		running = append(running, r.Decode())
	}

	ended := make([]repeatable.EndedRun, 0, len(w.Ended))
	for _, e := range w.Ended {
		ended = append(ended, repeatable.NewEndedRun(e.Number, e.Run.Decode(), repeatable.ParseOutcome(e.Outcome)))
	}

	return repeatable.NewWatchResult(clock, w.StartedAtMS, running, ended), nil
}

// call sends a request and decodes the body of the response into result, unless that is nil.
func (c *Client) call(ctx context.Context, method, path string, request, result any) error {
	body, err := json.Marshal(request)
	if err != nil {
		return merry.Prepend(err, path)
	}

	r, err := http.NewRequestWithContext(ctx, method, c.address+path, bytes.NewReader(body))
	if err != nil {
		return merry.Prepend(err, path)
	}

	r.Header.Set("Content-Type", "application/json")

	response, err := c.http.Do(r)
	if err != nil {
		return merry.Prepend(repeatable.CallError(err), path)
	}
	defer response.Body.Close()

	content, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))

	switch {
	case err != nil:
	case response.StatusCode == http.StatusConflict:
		return repeatable.ErrOtherInstance
	case response.StatusCode >= http.StatusMultipleChoices:
		err = merry.Errorf("backend server answered with status %d", response.StatusCode)
	case result != nil:
		err = json.Unmarshal(content, result)
	}

	return merry.Prepend(err, path)
}
