package process_test

import (
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
