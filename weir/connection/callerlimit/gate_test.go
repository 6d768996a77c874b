package callerlimit_test

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	gometrics "github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/skylarkweir/skylarkweir/weir/connection/callerlimit"
)

// fixture is a server behind a gate.
type fixture struct {
	t        testing.TB
	address  string
	server   *http.Server
	listener net.Listener
	registry gometrics.Registry
	// release ends the requests at /wait. read counts the bytes that the handler has read.
	release chan struct{}
	read    atomic.Int64
}

func newFixture(t testing.TB, l callerlimit.Limits, log io.Writer) *fixture {
	t.Helper()

	inner, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)

	f := &fixture{t: t, address: inner.Addr().String(), registry: gometrics.NewRegistry(), release: make(chan struct{})}
	g := callerlimit.NewGate(
		"test", l, callerlimit.NewMetrics(f.registry, "test", "connections", "bytes", "refusals_total"), zerolog.New(log))
	f.server, f.listener = g.Server(f), g.Listener(inner)

	go f.run()
	go g.Run(t.Context())

	t.Cleanup(func() { _ = f.server.Close() })

	return f
}

func (f *fixture) run() { _ = f.server.Serve(f.listener) }

func (f *fixture) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	f.read.Add(int64(len(data)))

	_ = r.Body.Close()

	var large *http.MaxBytesError

	switch {
	case errors.As(err, &large):
		w.WriteHeader(http.StatusRequestEntityTooLarge)
	case err != nil:
		w.WriteHeader(http.StatusServiceUnavailable)
	case r.URL.Path == "/wait":
		<-f.release
	}
}

// open sends text over a new connection.
func (f *fixture) open(text string) net.Conn {
	f.t.Helper()

	c, err := net.Dial("tcp", f.address)
	is.New(f.t).NoErr(err)
	f.t.Cleanup(func() { _ = c.Close() })

	_, err = io.WriteString(c, text)
	is.New(f.t).NoErr(err)

	return c
}

// status returns the status of the next answer, or zero if the connection was closed.
func (f *fixture) status(c net.Conn) int {
	f.t.Helper()

	_ = c.SetReadDeadline(time.Now().Add(20 * time.Second))

	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	defer r.Body.Close()

	return r.StatusCode
}

func request(path string, length int, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", path, length, body)
}

func (f *fixture) gauge(name string) int64 {
	g, ok := f.registry.Get(name + `{server="test"}`).(gometrics.Gauge)
	if !ok {
		f.t.Fatalf("no gauge %s", name)
	}

	return g.Value()
}

// Guards against a crowd that keeps all connections by stalling, and against the closing of a caller whose job runs.
func TestNewCallerReplacesStalledOne(t *testing.T) {
	is := is.New(t)

	var log bytes.Buffer

	f := newFixture(t, callerlimit.NewLimits(3, 1<<20), &log)

	busy := f.open(request("/wait", 2, "{}"))
	for f.read.Load() < 2 {
		time.Sleep(time.Millisecond)
	}

	for range 8 {
		f.open(request("/", 10, "{"))
	}

	is.Equal(f.status(f.open(request("/", 2, "{}"))), http.StatusOK)
	is.True(f.gauge("connections") <= 3)

	close(f.release)
	is.Equal(f.status(busy), http.StatusOK)
	is.NoErr(f.server.Close())
	is.Equal(strings.Count(log.String(), `"callers_limited"`), 1) // one line for many connections
}

// Guards against bodies over the limit that are read, and against a body at the limit that is refused.
func TestBodyLimit(t *testing.T) {
	is := is.New(t)
	limits := callerlimit.NewLimits(10, 1<<20).WithBodyBytes(func() int64 { return 10_000 })
	f := newFixture(t, limits, io.Discard)

	is.Equal(f.status(f.open(request("/", 10_000, strings.Repeat("x", 10_000)))), http.StatusOK)
	is.Equal(f.read.Load(), int64(10_000))

	is.Equal(f.status(f.open(request("/", 10_001, ""))), http.StatusRequestEntityTooLarge)
	is.Equal(f.read.Load(), int64(10_000)) // nothing of it was read

	chunk := fmt.Sprintf("%x\r\n%s\r\n", 9000, strings.Repeat("x", 9000))
	chunked := "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
	is.Equal(f.status(f.open(chunked+chunk+chunk+"0\r\n\r\n")), http.StatusRequestEntityTooLarge)
	is.Equal(f.status(f.open(chunked+chunk+"0\r\n\r\n")), http.StatusOK)
	is.Equal(f.gauge("bytes"), int64(0)) // all memory was returned
}

// Guards against bodies that stall and keep the memory, and against large ones that take it from small ones.
func TestStalledBodiesLoseTheirMemory(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, callerlimit.NewLimits(100, 400_000), io.Discard)

	for range 20 {
		f.open(request("/", 50_000, strings.Repeat("x", 49_999)))
	}

	is.Equal(f.status(f.open(request("/", 2, "{}"))), http.StatusOK)

	for f.status(f.open(request("/", 50_000, strings.Repeat("x", 50_000)))) != http.StatusOK {
		is.NoErr(t.Context().Err())
	}

	is.True(f.gauge("bytes") <= 400_000)
}

// Guards against limits of the smallest machine that callers inside the documented limits meet: hundreds of connections whose jobs
// run, and bodies of the largest size.
func TestLegalCallersMeetNoLimit(t *testing.T) {
	const jobs, jobBytes, largeBodies, largeBytes = 400, 3000, 3, 256 << 10

	is := is.New(t)
	f := newFixture(t, callerlimit.ForMachine(144<<20, 3075, 0.5), io.Discard)

	var all []net.Conn

	for range jobs {
		all = append(all, f.open(request("/wait", jobBytes, strings.Repeat("x", jobBytes))))
	}

	for range largeBodies {
		all = append(all, f.open(request("/wait", largeBytes, strings.Repeat("x", largeBytes))))
	}

	for f.read.Load() < jobs*jobBytes+largeBodies*largeBytes {
		time.Sleep(time.Millisecond)
		is.NoErr(t.Context().Err())
	}

	close(f.release)

	for _, c := range all {
		is.Equal(f.status(c), http.StatusOK)
	}

	for _, reason := range []string{"connections", "memory", "body", "overdue"} {
		is.Equal(f.registry.Get(`refusals_total{server="test",reason="`+reason+`"}`), nil)
	}
}

// BenchmarkRequest compares the processor time of a small request with and without limits, in one run.
func BenchmarkRequest(b *testing.B) {
	for name, l := range map[string]callerlimit.Limits{
		"limited": callerlimit.ForMachine(144<<20, 3075, 0.5), "unlimited": {},
	} {
		b.Run(name, func(b *testing.B) {
			f := newFixture(b, l, io.Discard)
			body := strings.Repeat("x", 300)

			b.ReportAllocs()

			for b.Loop() {
				resp, err := http.Post("http://"+f.address, "", strings.NewReader(body))
				if err != nil {
					b.Fatal(err)
				}

				_ = resp.Body.Close()
			}
		})
	}
}
