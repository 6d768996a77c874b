package backend_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/skylarkweir/skylarkweir/sidecar/backend"
	standin "github.com/skylarkweir/skylarkweir/standin/backend"
	"github.com/skylarkweir/skylarkweir/standin/relay"
	"github.com/skylarkweir/skylarkweir/weir/request/fault"
)

func call(input string, timeout time.Duration) backend.Call {
	return backend.NewCall("s", 3, 1, "a kind/x", time.Now().Add(timeout), []byte(input))
}

// Guards against results of the wrong type or kind: a fault of the task attributed to the backend server or the
// reverse, and a task reported as not started although it may have run, or the reverse.
func TestResults(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer((&standin.Server{}).Handler())
	defer server.Close()

	c := backend.NewClient(server.URL+"/", 4, 1000)
	defer c.Close()

	is.NoErr(c.Check(t.Context()))

	completed, ok := c.Run(t.Context(), call(`{"echo":"out"}`, time.Minute)).(backend.Completed)
	is.True(ok)
	is.Equal(string(completed.Output()), "out")

	for _, x := range []struct {
		input   string
		timeout time.Duration
		kind    fault.Kind
	}{
		{`{"fail":"4xx"}`, time.Minute, fault.TaskFailed},
		{`{"fail":"5xx"}`, time.Minute, fault.BackendFailed},
		{`{"size":1001}`, time.Minute, fault.TaskFailed},
		{`{"run_ms":5000}`, 50 * time.Millisecond, fault.DeadlineExceeded},
	} {
		failed, ok := c.Run(t.Context(), call(x.input, x.timeout)).(backend.Failed)
		is.True(ok)
		is.Equal(failed.Kind(), x.kind)
	}

	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	time.AfterFunc(50*time.Millisecond, cancel)

	failed, ok := c.Run(ctx, call(`{"run_ms":5000}`, time.Minute)).(backend.Failed)
	is.True(ok)
	is.Equal(failed.Kind(), fault.Cancelled)

	ctx, cancel = context.WithCancel(t.Context())
	cancel()

	_, ok = c.Run(ctx, call(`{"run_ms":5000}`, time.Minute)).(backend.NotStarted)
	is.True(ok) // nothing was sent

	r, err := http.Get(server.URL + "/admin/starts")
	is.NoErr(err)
	defer r.Body.Close()

	starts, err := io.ReadAll(r.Body)
	is.NoErr(err)
	is.True(strings.Contains(string(starts), `"submission":"s","task":3,"attempt":1,"kind":"a kind/x"`))

	server.Close()

	_, ok = c.Run(t.Context(), call(`{}`, time.Minute)).(backend.NotStarted)
	is.True(ok)
	is.True(c.Check(t.Context()) != nil)
}

// Guards against a task that runs twice because the HTTP client retries it after the server has read the request and
// closed the connection without a response.
func TestBrokenConnectionIsNotRetried(t *testing.T) {
	is := is.New(t)

	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)

	var requests atomic.Int64

	server := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)

		// The first request leaves an idle connection; the server closes it after it has read the second request.
		if requests.Add(1) > 1 {
			panic(http.ErrAbortHandler)
		}
	})}

	go func() { _ = server.Serve(l) }()
	defer server.Close()

	c := backend.NewClient("http://"+l.Addr().String(), 4, 1000)
	_, ok := c.Run(t.Context(), call("x", time.Minute)).(backend.Completed)
	is.True(ok)

	failed, ok := c.Run(t.Context(), call("x", time.Minute)).(backend.Failed)
	is.True(ok)
	is.Equal(failed.Kind(), fault.BackendFailed)
	is.Equal(requests.Load(), int64(2))
}

// Guards against tasks that are sent over connections that have gone silent after a health check has shown that.
func TestFailedCheckClosesSilentConnections(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer((&standin.Server{}).Handler())
	defer server.Close()

	r := &relay.Relay{}
	is.NoErr(r.Open(t.Context(), relay.TCP, "127.0.0.1:0", strings.TrimPrefix(server.URL, "http://")))
	t.Cleanup(func() { _ = r.Close() })

	c := backend.NewClient("http://"+r.Address(), 4, 1000)
	defer c.Close()

	results := make(chan backend.Result, 4)
	for range 4 {
		go func() { results <- c.Run(t.Context(), call(`{"run_ms":50}`, time.Minute)) }()
	}

	for range 4 {
		_, ok := (<-results).(backend.Completed)
		is.True(ok)
	}

	r.SilenceConnections()

	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()

	is.True(c.Check(ctx) != nil)

	_, ok := c.Run(t.Context(), call(`{"echo":"out"}`, 10*time.Second)).(backend.Completed)
	is.True(ok)
}
