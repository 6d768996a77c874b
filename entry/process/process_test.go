package process_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"go.uber.org/fx"

	"github.com/skylarkweir/skylarkweir/entry/peer"
	"github.com/skylarkweir/skylarkweir/entry/process"
	sidecar "github.com/skylarkweir/skylarkweir/sidecar/process"
	"github.com/skylarkweir/skylarkweir/standin/backend"
	standin "github.com/skylarkweir/skylarkweir/standin/logservice"
	"github.com/skylarkweir/skylarkweir/weir/connection/logservice"
	"github.com/skylarkweir/skylarkweir/weir/connection/quic"
	"github.com/skylarkweir/skylarkweir/weir/process/fleet"
	"github.com/skylarkweir/skylarkweir/weir/version/agreement"
	"github.com/skylarkweir/skylarkweir/weir/version/ledger"
)

// testCluster is a log service, entries, and sidecars with backend servers, all in this process.
type testCluster struct {
	t         *testing.T
	dir       string
	logServer *httptest.Server
	backends  []*httptest.Server
	entries   []*entry
}

type entry struct {
	*process.Process

	app     *fx.App
	node    *quic.Node
	replica *ledger.Replica
	peers   *peer.Peers
	fleet   *fleet.Fleet
}

func newTestCluster(t *testing.T, entries, workers int) *testCluster {
	t.Helper()

	is := is.New(t)
	s := &testCluster{t: t, dir: t.TempDir(), logServer: httptest.NewServer(&standin.Log{})}
	t.Cleanup(s.logServer.CloseClientConnections)
	is.NoErr(quic.IssueKeys(s.dir, time.Hour))

	digest := sha256.Sum256([]byte("token"))
	agreed, err := agreement.Parse([]byte(fmt.Sprintf(
		`{"agreement":"test","members":[{"name":"m","limit_slots":64,"credential_sha256":%q}],`+
			`"kinds":[{"name":"k","service":"s","share_percent":100,"urgent":true}]}`, hex.EncodeToString(digest[:]))))
	is.NoErr(err)

	_, err = logservice.NewClient(s.logServer.URL).Append(
		t.Context(), ledger.PublicationRecord(0, []byte("n"), "op", agreed),
	)
	is.NoErr(err)

	for i := range entries {
		s.startEntry(is, fmt.Sprintf("e%d", i))
	}

	for i := range workers {
		s.startWorker(is, fmt.Sprintf("w%d", i))
	}

	for _, e := range s.entries {
		s.eventually(fmt.Sprintf("workers and peers of %s", e.Address()), func() bool {
			if e.replica.State().Position() < int64(1+entries+workers) || len(e.peers.Reached()) < entries-1 {
				return false
			}

			registeredWorkers := 0
			for _, w := range e.fleet.View().Workers() {
				if _, registered := w.RegistrationOffset(); registered {
					registeredWorkers++
				}
			}

			return registeredWorkers == workers
		})
	}

	return s
}

func (s *testCluster) eventually(condition string, done func() bool) {
	s.t.Helper()

	for range 1500 {
		if done() {
			return
		}

		time.Sleep(10 * time.Millisecond)
	}

	s.t.Fatalf("%s: condition not met within 15 s", condition)
}

func (s *testCluster) keys() string {
	return fmt.Sprintf(`"keys":{"certificate":%q,"key":%q,"authority":%q}`, filepath.Join(s.dir, quic.CertificateFile),
		filepath.Join(s.dir, quic.KeyFile), filepath.Join(s.dir, quic.AuthorityFile))
}

func (s *testCluster) newLogger() zerolog.Logger {
	if os.Getenv("WEIR_TEST_LOG") == "" {
		return zerolog.Nop()
	}

	return zerolog.New(zerolog.NewTestWriter(s.t))
}

func (s *testCluster) startEntry(is *is.I, name string) {
	is.Helper()

	peers := []string{}
	for _, e := range s.entries {
		peers = append(peers, fmt.Sprintf("%q", e.Address()))
	}

	settings, err := process.Parse(name, []byte(fmt.Sprintf(
		`{"name":%q,"log_service":%q,"ticket_key":"0123456789abcdef","drain_delay":"500ms","drain_limit":"20s","peers":[%s],%s}`,
		name, s.logServer.URL, strings.Join(peers, ","), s.keys())))
	is.NoErr(err)

	e := &entry{}
	e.app = fx.New(
		process.Options(settings, s.newLogger().With().Str("entry", name).Logger()),
		fx.Populate(&e.Process, &e.node, &e.replica, &e.peers, &e.fleet),
	)
	is.NoErr(e.app.Start(context.Background()))
	s.t.Cleanup(func() { _ = e.app.Stop(context.Background()) })
	s.entries = append(s.entries, e)
}

func (s *testCluster) startWorker(is *is.I, name string) {
	is.Helper()

	b := httptest.NewServer((&backend.Server{}).Handler())
	s.t.Cleanup(b.Close)
	s.backends = append(s.backends, b)

	addresses := []string{}
	for _, e := range s.entries {
		addresses = append(addresses, fmt.Sprintf("%q", e.Address()))
	}

	file := filepath.Join(s.dir, name)
	is.NoErr(os.WriteFile(file, []byte(fmt.Sprintf(
		`{"name":%q,"backend":%q,"slots":4,"allowance_delay":"0s","entries":[%s],%s}`,
		name, b.URL, strings.Join(addresses, ","), s.keys())), 0o600))

	settings, err := sidecar.Load(file)
	is.NoErr(err)

	app := fx.New(sidecar.Options(settings, s.newLogger().With().Str("worker", name).Logger()))
	is.NoErr(app.Start(context.Background()))
	s.t.Cleanup(func() { _ = app.Stop(context.Background()) })
}

// startCount returns the number of task starts at all backend servers.
func (s *testCluster) startCount() int {
	s.t.Helper()

	total := 0

	for _, b := range s.backends {
		_, body, err := call("GET", b.URL+"/admin/counts", "", "")
		if err != nil {
			s.t.Fatal(err)
		}

		var c struct{ Started int }
		if err := json.Unmarshal(body, &c); err != nil {
			s.t.Fatal(err)
		}

		total += c.Started
	}

	return total
}

func call(method, url, key, body string) (int, []byte, error) {
	r, err := http.NewRequestWithContext(context.Background(), method, url, strings.NewReader(body))
	if err != nil {
		return 0, nil, err
	}

	r.Header.Set("Authorization", "Bearer token")

	if key != "" {
		r.Header.Set("Idempotency-Key", key)
	}

	w, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, nil, err
	}
	defer w.Body.Close()

	response, err := io.ReadAll(w.Body)

	return w.StatusCode, response, err
}

type result struct {
	status int
	body   []byte
	err    error
}

func (e *entry) submit(key, body string) result {
	status, response, err := call("POST", "http://"+e.CallersAddress()+"/v1/jobs", key, body)

	return result{status, response, err}
}

func (e *entry) submitAsync(key, body string) <-chan result {
	c := make(chan result, 1)
	go func() { c <- e.submit(key, body) }()

	return c
}

func (e *entry) ticket(is *is.I) string {
	is.Helper()

	status, body, err := call("POST", "http://"+e.CallersAddress()+"/v1/tickets", "", `{"count":1}`)
	is.NoErr(err)
	is.Equal(status, 200)

	var t struct{ Tickets []string }
	is.NoErr(json.Unmarshal(body, &t))

	return t.Tickets[0]
}

func job(runTime time.Duration, tasks int) string {
	input := base64.StdEncoding.EncodeToString([]byte(fmt.Sprintf(`{"run_ms":%d,"echo":"x"}`, runTime.Milliseconds())))
	list := strings.Repeat(fmt.Sprintf(`{"input":%q},`, input), tasks)

	return `{"kind":"k","deadline_ms":20000,"tasks":[` + strings.TrimSuffix(list, ",") + `]}`
}

// Guards against resubmissions with the same ticket that start tasks a second time or get another answer, depending on
// the entry that receives them. A resubmission with other tasks must be refused.
func TestResubmissionAtEveryEntry(t *testing.T) {
	t.Parallel()

	is := is.New(t)
	s := newTestCluster(t, 2, 2)
	id := s.entries[0].ticket(is)

	first := s.entries[0].submitAsync(id, job(300*time.Millisecond, 3))
	second := s.entries[1].submitAsync(id, job(300*time.Millisecond, 3))

	firstResult, secondResult := <-first, <-second
	is.NoErr(firstResult.err)
	is.Equal(firstResult.status, 200)
	is.NoErr(secondResult.err)
	is.Equal(string(firstResult.body), string(secondResult.body))
	is.Equal(s.startCount(), 3)

	changed := s.entries[1].submit(id, job(300*time.Millisecond, 2))
	is.Equal(changed.status, 409)

	status, body, err := call("GET", "http://"+s.entries[1].AdminAddress()+"/v1/explain/"+id, "", "")
	is.NoErr(err)
	is.Equal(status, 200)
	is.True(bytes.Contains(body, []byte(`"state":"complete"`)))

	for _, path := range []string{"/healthz", "/readyz", "/metrics", "/v1/status", "/v1/show"} {
		status, _, err := call("GET", "http://"+s.entries[0].AdminAddress()+path, "", "")
		is.NoErr(err)
		is.Equal(status, 200)
	}
}

// Guards against an idempotency key that is bound to two homes when several entries receive it at once: the tasks would
// run twice.
func TestKeyAtEveryEntry(t *testing.T) {
	t.Parallel()

	is := is.New(t)
	s := newTestCluster(t, 3, 1)
	key := uuid.Must(uuid.NewV7()).String()

	var results []<-chan result
	for i := range 9 {
		results = append(results, s.entries[i%3].submitAsync(key, job(50*time.Millisecond, 2)))
	}

	first := <-results[0]
	is.NoErr(first.err)
	is.Equal(first.status, 200)

	for _, answer := range results[1:] {
		r := <-answer
		is.NoErr(r.err)
		is.Equal(string(r.body), string(first.body))
	}

	is.Equal(s.startCount(), 2)
}

// Guards against a submission that is started again after its home was lost, and against an answer that reports wrongly
// whether tasks ran. The test closes the socket of the home, which its peers treat as a loss.
func TestHomeLost(t *testing.T) {
	t.Parallel()

	is := is.New(t)
	s := newTestCluster(t, 2, 2)
	used, unused := s.entries[0].ticket(is), s.entries[0].ticket(is)

	s.entries[0].submitAsync(used, job(10*time.Second, 2))
	s.eventually("two starts", func() bool { return s.startCount() == 2 })
	s.entries[0].node.Close()

	for id, ran := range map[string]string{used: "some", unused: "none"} {
		begin := time.Now()
		r := s.entries[1].submit(id, job(10*time.Second, 2))
		is.NoErr(r.err)
		is.Equal(r.status, 502)

		if !bytes.Contains(r.body, []byte(`"home_lost"`)) || !bytes.Contains(r.body, []byte(`"ran":"`+ran+`"`)) {
			t.Fatalf("want home_lost, ran %s, got %s", ran, r.body)
		}

		is.True(time.Since(begin) < 5*time.Second)
		is.Equal(string(s.entries[1].submit(id, job(10*time.Second, 2)).body), string(r.body))
	}

	is.Equal(s.startCount(), 2)
}

// Guards against a graceful shutdown that cuts off active submissions, and against answers that are lost with the
// entry: after the handover the successor must return them.
func TestShutdownInFlight(t *testing.T) {
	t.Parallel()

	is := is.New(t)
	s := newTestCluster(t, 2, 2)
	leaving, other := s.entries[0], s.entries[1]
	id, forwarded := leaving.ticket(is), leaving.ticket(is)

	local := leaving.submitAsync(id, job(4*time.Second, 2))
	remote := other.submitAsync(forwarded, job(4*time.Second, 2))
	s.eventually("four starts", func() bool { return s.startCount() == 4 })

	stopped := make(chan error, 1)
	go func() { stopped <- leaving.app.Stop(context.Background()) }()

	s.eventually("end of readiness", func() bool {
		status, _, err := call("GET", "http://"+leaving.AdminAddress()+"/readyz", "", "")

		return err == nil && status == 503
	})

	beforeRefusal := leaving.submit("", job(10*time.Millisecond, 1))
	is.NoErr(beforeRefusal.err)
	// The entry accepts submissions during the drain delay, since load balancers detect the end of readiness late.
	is.Equal(beforeRefusal.status, 200)

	accepted := 0

	s.eventually("refusal", func() bool {
		r := leaving.submit("", job(10*time.Millisecond, 1))
		is.NoErr(r.err)

		if r.status == 200 {
			accepted++

			return false
		}

		is.Equal(r.status, 503)
		is.True(bytes.Contains(r.body, []byte(`"code":"leaving"`)) && bytes.Contains(r.body, []byte(`"ran":"none"`)))

		return true
	})

	localResult, remoteResult := <-local, <-remote
	is.NoErr(localResult.err)
	is.Equal(localResult.status, 200)
	is.NoErr(remoteResult.err)
	is.Equal(remoteResult.status, 200)
	is.NoErr(<-stopped)

	r := other.submit(id, job(4*time.Second, 2))
	is.NoErr(r.err)
	is.Equal(string(r.body), string(localResult.body)) // returned by the successor
	is.Equal(s.startCount(), 5+accepted)
}

// Guards against exit codes and messages that differ from the documented ones, on which scripts rely.
func TestMainExitCodes(t *testing.T) {
	good := filepath.Join(t.TempDir(), "good.jsonc")
	bad := filepath.Join(t.TempDir(), "bad.jsonc")
	text := `{"name":"e","log_service":"127.0.0.1:1","ticket_key":"0123456789abcdef", // comment
		"keys":{"certificate":"c","key":"k","authority":"a"}}`

	is := is.New(t)
	is.NoErr(os.WriteFile(good, []byte(text), 0o600))
	is.NoErr(os.WriteFile(bad, []byte(strings.Replace(text, `"name"`, `"slots":0,"name"`, 1)), 0o600))

	for _, c := range []struct {
		args []string
		code int
		want string
	}{
		{[]string{"--help"}, 0, "entry --settings /etc"},
		{[]string{"--version"}, 0, "entry"},
		{[]string{"--settings", good, "--check-settings"}, 0, "fine"},
		{[]string{"--settings", bad, "--check-settings"}, 2, "bad.jsonc:1: slots: 0 is outside 1..1024"},
		{[]string{"--settings", good + "x"}, 2, "read settings"},
		{[]string{}, 2, "--settings is required"},
		{[]string{"extra"}, 2, "unexpected argument"},
		{[]string{"--unknown"}, 2, "unknown flag"},
		{[]string{"--settings", good}, 1, "start_failed"},
	} {
		var out bytes.Buffer

		is.Equal(process.Main(c.args, &out, &out), c.code)

		if !strings.Contains(out.String(), c.want) {
			t.Errorf("%v: output %q does not contain %q", c.args, out.String(), c.want)
		}
	}
}
