package httppool_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/skylarkweir/skylarkweir/weir/connection/httppool"
)

// silentServer answers requests until it is silenced; from then on only connections that were opened later are answered.
type silentServer struct {
	// together holds back requests for /together until as many have arrived as it counts.
	together sync.WaitGroup
	// hanging receives a value for each request for /hang, which gets no response.
	hanging chan struct{}
	// generation counts the calls of silence.
	generation atomic.Int64
}

type generationKey struct{}

func (s *silentServer) tag(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, generationKey{}, s.generation.Load())
}

func (s *silentServer) silence() { s.generation.Add(1) }

func (s *silentServer) ServeHTTP(_ http.ResponseWriter, r *http.Request) {
	if r.Context().Value(generationKey{}) != s.generation.Load() {
		<-r.Context().Done()

		return
	}

	switch r.URL.Path {
	case "/together":
		s.together.Done()
		s.together.Wait()
	case "/hang":
		s.hanging <- struct{}{}

		<-r.Context().Done()
	}
}

func startServer(t *testing.T) (*silentServer, string) {
	t.Helper()

	s := &silentServer{hanging: make(chan struct{}, 1)}
	h := httptest.NewUnstartedServer(s)
	h.Config.ConnContext = s.tag
	h.Start()
	t.Cleanup(h.Close)

	return s, h.URL
}

func get(ctx context.Context, c *http.Client, url string) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}

	resp, err := c.Do(r)
	if err != nil {
		return err
	}

	return resp.Body.Close()
}

// openConnections leaves n idle connections in the pool of the client.
func openConnections(t *testing.T, s *silentServer, c *http.Client, url string, n int) {
	t.Helper()
	s.together.Add(n)

	errs := make(chan error, n)
	for range n {
		go func() { errs <- get(t.Context(), c, url+"/together") }()
	}

	for range n {
		is.New(t).NoErr(<-errs)
	}
}

// Guards against requests that fail one after the other, each on another connection of the pool that has gone silent.
func TestOneRequestFailsPerSilence(t *testing.T) {
	is := is.New(t)
	s, url := startServer(t)
	c := &http.Client{Transport: &httppool.Transport{Transport: http.Transport{MaxIdleConnsPerHost: 8}}}

	openConnections(t, s, c, url, 8)
	s.silence()

	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()

	is.True(get(ctx, c, url) != nil)

	long, cancelLong := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancelLong()

	is.NoErr(get(long, c, url))
}

// Guards against connections that are closed whenever a caller no longer needs its response.
func TestCancelledRequestKeepsThePool(t *testing.T) {
	is := is.New(t)
	s, url := startServer(t)

	var dials atomic.Int64

	c := &http.Client{Transport: &httppool.Transport{Transport: http.Transport{
		MaxIdleConnsPerHost: 2,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			dials.Add(1)

			return (&net.Dialer{}).DialContext(ctx, network, address)
		},
	}}}

	openConnections(t, s, c, url, 2)

	ctx, cancel := context.WithCancel(t.Context())
	failed := make(chan error, 1)

	go func() { failed <- get(ctx, c, url+"/hang") }()

	<-s.hanging
	cancel()
	is.True(<-failed != nil)

	is.NoErr(get(t.Context(), c, url))
	is.Equal(dials.Load(), int64(2))
}

// Guards against a pool that is opened anew for each lost response, although other requests are answered.
func TestLostResponseKeepsThePoolWhileOthersAreAnswered(t *testing.T) {
	is := is.New(t)
	s, url := startServer(t)

	var dials atomic.Int64

	c := &http.Client{Transport: &httppool.Transport{Transport: http.Transport{
		MaxIdleConnsPerHost: 3,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			dials.Add(1)

			return (&net.Dialer{}).DialContext(ctx, network, address)
		},
	}}}

	openConnections(t, s, c, url, 3)

	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()

	lost := make(chan error, 1)

	go func() { lost <- get(ctx, c, url+"/hang") }()

	<-s.hanging
	is.NoErr(get(t.Context(), c, url)) // answered after the lost request was sent
	is.True(<-lost != nil)

	openConnections(t, s, c, url, 2)
	is.Equal(dials.Load(), int64(3))
}
