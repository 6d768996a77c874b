// Package leasedbackend speaks with a backend server that runs the tasks of repeatable jobs under leases, over the HTTP
// interface that docs/protocol.md describes.
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
)

const (
	// connections bounds the connections to the backend server.
	maxConnections = 8
	// idleTimeout is below the keep-alive time of common HTTP servers.
	idleTimeout = 20 * time.Second
	// maxAnswer bounds the body of an answer in bytes.
	maxResponseBytes = 4 << 20
)

// Client runs tasks at one backend server.
type Client struct {
	address string
	http    *http.Client
}

// NewClient returns a client of the backend server at an address such as http://127.0.0.1:8080.
func NewClient(address string) *Client {
	return &Client{address: strings.TrimRight(address, "/"), http: &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: maxConnections, MaxConnsPerHost: maxConnections, IdleConnTimeout: idleTimeout, DisableCompression: true,
	}}}
}

// About returns what the backend server says of its present life.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var a Status

	err := c.call(ctx, http.MethodGet, StatusPath, nil, &a)
	if err == nil && a.Instance == "" {
		err = merry.Errorf("%s: the answer names no instance", StatusPath)
	}

	return a, err
}

// Start starts a run.
func (c *Client) Start(ctx context.Context, r repeatable.Run, input string, p repeatable.Permit) (repeatable.StartResult, time.Duration, error) {
	var s StartResponse

	if err := c.call(ctx, http.MethodPost, StartPath, StartRequest{NewRun(r), input, NewPermit(p)}, &s); err != nil {
		return 0, 0, err
	}

	return repeatable.ParseStartResult(s.Result), time.Duration(s.ClockMS) * time.Millisecond, nil
}

// Stop ends a run.
func (c *Client) Stop(ctx context.Context, r repeatable.Run, p repeatable.Permit) error {
	return c.call(ctx, http.MethodPost, StopPath, StopRequest{NewRun(r), NewPermit(p)}, nil)
}

// Watch renews the lease, acknowledges ends and returns what runs and what has ended.
func (c *Client) Watch(ctx context.Context, seen uint64, wait time.Duration, p repeatable.Permit) (repeatable.WatchResult, error) {
	var v WatchResponse

	if err := c.call(ctx, http.MethodPost, WatchPath, WatchRequest{seen, wait.Milliseconds(), NewPermit(p)}, &v); err != nil {
		return repeatable.WatchResult{}, err
	}

	clock := time.Duration(v.ClockMS) * time.Millisecond
	if v.Fenced {
		return repeatable.NewFencedWatchResult(clock), nil
	}

	running := make([]repeatable.Run, 0, len(v.Running))
	for _, r := range v.Running {
		running = append(running, r.Decode())
	}

	ended := make([]repeatable.EndedRun, 0, len(v.Ended))
	for _, e := range v.Ended {
		ended = append(ended, repeatable.NewEndedRun(e.Number, e.Run.Decode(), repeatable.ParseOutcome(e.Outcome)))
	}

	return repeatable.NewWatchResult(clock, v.StartedAtMS, running, ended), nil
}

// call sends an order and decodes the answer into a value, if there is one.
func (c *Client) call(ctx context.Context, method, path string, order, into any) error {
	body, err := json.Marshal(order)
	if err != nil {
		return merry.Prepend(err, path)
	}

	r, err := http.NewRequestWithContext(ctx, method, c.address+path, bytes.NewReader(body))
	if err != nil {
		return merry.Prepend(err, path)
	}

	r.Header.Set("Content-Type", "application/json")

	answer, err := c.http.Do(r)
	if err != nil {
		return merry.Prepend(err, path)
	}
	defer answer.Body.Close()

	text, err := io.ReadAll(io.LimitReader(answer.Body, maxResponseBytes))

	switch {
	case err != nil:
	case answer.StatusCode == http.StatusConflict:
		return repeatable.ErrOtherInstance
	case answer.StatusCode >= http.StatusMultipleChoices:
		err = merry.Errorf("status %d", answer.StatusCode)
	case into != nil:
		err = json.Unmarshal(text, into)
	}

	return merry.Prepend(err, path)
}
