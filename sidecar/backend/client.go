// Package backend runs tasks at the backend server over HTTP.
package backend

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/skylarkweir/skylarkweir/weir/process/delivery"
	"github.com/skylarkweir/skylarkweir/weir/request/fault"
)

// HTTP headers of a call.
const (
	HeaderSubmission = "Weir-Submission"
	HeaderTask       = "Weir-Task"
	HeaderAttempt    = "Weir-Attempt"
	HeaderDeadline   = "Weir-Deadline-Ms"
)

const (
	dialTimeout   = time.Second
	healthTimeout = 2 * time.Second
	// idleTimeout is less than the keep-alive time of common HTTP servers. If the server closes a connection while a
	// task is being sent, the task counts as failed, since it may have run.
	idleTimeout = 20 * time.Second
	// maxErrorMessageBytes bounds the part of an error response that is passed on to the entry.
	maxErrorMessageBytes = 512
)

// Client runs tasks at one backend server and checks its health.
type Client struct {
	address   string
	maxOutput int64
	http      http.Client
}

// NewClient returns a client of the backend server at an address such as http://127.0.0.1:8080. It keeps at most
// maxIdle idle connections open and accepts outputs of at most maxOutput bytes.
func NewClient(address string, maxIdle int, maxOutput int64) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}

	return &Client{
		address:   strings.TrimRight(address, "/"),
		maxOutput: maxOutput,
		http: http.Client{
			Transport: &http.Transport{
				DialContext:         dialer.DialContext,
				MaxIdleConns:        maxIdle,
				MaxIdleConnsPerHost: maxIdle,
				IdleConnTimeout:     idleTimeout,
				DisableCompression:  true,
			},
			// A redirect would start the task a second time.
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

// Run executes a call until its deadline or until ctx ends. The request is a POST without an idempotency key: net/http
// does not send such a request a second time once a byte of it has been written.
func (c *Client) Run(ctx context.Context, call Call) Result {
	ctx, cancel := context.WithDeadline(ctx, call.deadline)
	defer cancel()

	// The headers are buffered when they have been written, so nothing has reached the backend server before.
	var sent atomic.Bool

	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteHeaders: func() { sent.Store(true) }})

	execution := delivery.NewCall(delivery.Execution)
	execution.Send()

	r, err := http.NewRequestWithContext(
		ctx, http.MethodPost, c.address+"/run/"+url.PathEscape(call.kind), bytes.NewReader(call.input),
	)
	if err != nil {
		return NewNotStarted(err.Error())
	}

	r.Header.Set("Content-Type", "application/octet-stream")
	r.Header.Set(HeaderSubmission, call.submission)
	r.Header.Set(HeaderTask, strconv.FormatUint(uint64(call.index), 10))
	r.Header.Set(HeaderAttempt, strconv.FormatUint(uint64(call.attempt), 10))
	r.Header.Set(HeaderDeadline, strconv.FormatInt(time.Until(call.deadline).Milliseconds(), 10))

	response, err := c.http.Do(r)
	if err != nil {
		execution.Record(errorReply(sent.Load()))

		return unansweredResult(ctx, err, execution.Claim())
	}
	defer response.Body.Close()

	body, err := io.ReadAll(io.LimitReader(response.Body, c.maxOutput+1))
	if err != nil {
		execution.Record(delivery.NoReply)

		return unansweredResult(ctx, err, execution.Claim())
	}

	switch status := response.StatusCode; {
	case status >= 200 && status < 300 && int64(len(body)) > c.maxOutput:
		return NewFailed(fault.TaskFailed, fmt.Sprintf("output exceeds the limit of %d bytes", c.maxOutput))
	case status >= 200 && status < 300:
		return NewCompleted(body)
	case status >= 400 && status < 500:
		return NewFailed(fault.TaskFailed, errorMessage(status, body))
	default:
		return NewFailed(fault.BackendFailed, errorMessage(status, body))
	}
}

// Check requests /healthz and returns an error unless the backend server responds with a 2xx status. Without a response it
// closes the idle connections, which may have gone silent together. A task without a response shows no such thing: it may
// run until its deadline.
func (c *Client) Check(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()

	r, err := http.NewRequestWithContext(ctx, http.MethodGet, c.address+"/healthz", http.NoBody)
	if err != nil {
		return merry.Prepend(err, "check backend server")
	}

	response, err := c.http.Do(r)
	if err != nil {
		c.http.CloseIdleConnections()

		return merry.Prepend(err, "check backend server")
	}
	defer response.Body.Close()

	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxErrorMessageBytes))

	if response.StatusCode < 200 || response.StatusCode >= 300 {
		return merry.Errorf("check backend server: status %d", response.StatusCode)
	}

	return nil
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// errorReply returns what came back for a call that failed, depending on whether the request was sent.
func errorReply(sent bool) delivery.Reply {
	if sent {
		return delivery.NoReply
	}

	return delivery.NotDelivered
}

// unansweredResult returns the result of a call without an answer.
func unansweredResult(ctx context.Context, err error, c delivery.Claim) Result {
	switch {
	case c == delivery.NeverRan:
		return NewNotStarted(err.Error())
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return NewUnanswered(fault.DeadlineExceeded, "deadline passed while the task was running")
	case ctx.Err() != nil:
		return NewUnanswered(fault.Cancelled, "cancelled while the task was running")
	default:
		return NewUnanswered(fault.BackendFailed, err.Error())
	}
}

func errorMessage(status int, body []byte) string {
	body = body[:min(len(body), maxErrorMessageBytes)]

	return fmt.Sprintf(
		"backend server answered with status %d: %s", status, strings.ToValidUTF8(strings.TrimSpace(string(body)), "?"),
	)
}
