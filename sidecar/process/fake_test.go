package process_test

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"go.uber.org/fx"

	"github.com/skylarkweir/skylarkweir/sidecar/process"
	"github.com/skylarkweir/skylarkweir/standin/backend"
	"github.com/skylarkweir/skylarkweir/weir/connection/quic"
	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
	"github.com/skylarkweir/skylarkweir/weir/version/agreement"
	"github.com/skylarkweir/skylarkweir/weir/version/ledger"
)

// fakeEntry implements the entry's side of the protocol and keeps the log in memory.
type fakeEntry struct {
	node    quic.Node
	replica ledger.Replica
	// withholdAcks makes the entry leave heartbeats unacknowledged.
	withholdAcks atomic.Bool

	mu           sync.Mutex
	nextOffset   int64
	current      *fakeLink
	incarnations []uint64
	leaving      bool
}

// fakeLink is the sidecar's connection to the entry.
type fakeLink struct {
	connection *quic.Conn
	worker     *wire.Worker
	epoch      atomic.Uint64
	registered atomic.Bool
}

func (f *fakeEntry) append(records ...[]byte) {
	f.mu.Lock()
	defer f.mu.Unlock()

	for _, r := range records {
		f.replica.ApplyLog([]ledger.Record{ledger.NewRecord(f.nextOffset, time.Now(), r)}, f.nextOffset+1)
		f.nextOffset++
	}
}

func (f *fakeEntry) acceptConnections(ctx context.Context) {
	for {
		c, err := f.node.Accept(ctx)
		if err != nil {
			return
		}

		go f.serve(ctx, c)
	}
}

func (f *fakeEntry) serve(ctx context.Context, c *quic.Conn) {
	control, err := c.Accept(ctx)
	if err != nil {
		return
	}

	hello, err := control.Receive()
	if err != nil {
		return
	}

	w := &wire.Welcome{}
	w.SetEntry(&wire.Entry{})
	w.GetEntry().SetIncarnation(7)
	w.SetPosition(f.replica.State().Position())

	reply := &wire.Frame{}
	reply.SetWelcome(w)

	if control.Send(reply) != nil {
		return
	}

	l := &fakeLink{connection: c, worker: hello.GetHello().GetWorker()}

	f.mu.Lock()
	if f.current != nil {
		f.current.connection.Close("replaced")
	}

	f.current = l
	f.incarnations = append(f.incarnations, l.worker.GetIncarnation())
	f.mu.Unlock()

	go f.serveRegistrations(ctx, c)
	f.serveControl(l, control)
}

func (f *fakeEntry) serveControl(l *fakeLink, control *quic.Stream) {
	for {
		in, err := control.Receive()
		if err != nil {
			return
		}

		if in.HasLeaving() {
			f.mu.Lock()
			f.leaving = true
			f.mu.Unlock()
			f.append(ledger.WorkerLeftRecord(l.worker.GetName(), l.worker.GetIncarnation(), false))
		}

		h := in.GetHeartbeat()
		if h == nil {
			continue
		}

		l.epoch.Store(h.GetLeaseEpoch())
		l.registered.Store(h.GetRegisteredPlusOne() > 0)

		if f.withholdAcks.Load() {
			continue
		}

		a := &wire.HeartbeatAck{}
		a.SetSequence(h.GetSequence())
		a.SetLeaseEpoch(h.GetLeaseEpoch())
		a.SetPosition(f.replica.State().Position())

		out := &wire.Frame{}
		out.SetHeartbeatAck(a)
		_ = control.Send(out)

		if records := f.replica.RecordsSince(h.GetPosition()); records != nil {
			out = &wire.Frame{}
			out.SetRecords(records)
			_ = control.Send(out)
		}
	}
}

func (f *fakeEntry) serveRegistrations(ctx context.Context, c *quic.Conn) {
	for {
		s, err := c.Accept(ctx)
		if err != nil {
			return
		}

		in, err := s.Receive()
		if err != nil || !in.HasRegister() {
			return
		}

		f.append(ledger.WorkerJoinedRecord(in.GetRegister().GetWorker()))

		r := &wire.RegisterReply{}
		r.SetOk(true)

		out := &wire.Frame{}
		out.SetRegisterReply(r)
		_ = s.Send(out)
	}
}

func (f *fakeEntry) link() *fakeLink {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.current
}

// newStart returns a Start with the current lease epoch, incarnation and log position.
func (f *fakeEntry) newStart(submission, input string) *wire.Start {
	id := &wire.TaskId{}
	id.SetSubmission(submission)

	s := &wire.Start{}
	s.SetId(id)
	s.SetMember("m")
	s.SetKind("k")
	s.SetCores(1)
	s.SetRemainingMs(20_000)
	s.SetKeepMs(60_000)
	s.SetPosition(f.replica.State().Position())
	s.SetInput([]byte(input))

	if l := f.link(); l != nil {
		s.SetLeaseEpoch(l.epoch.Load())
		s.SetIncarnation(l.worker.GetIncarnation())
	}

	return s
}

// sendStart sends a Start, waits for the reply and acknowledges it.
func (f *fakeEntry) sendStart(ctx context.Context, s *wire.Start) (*wire.StartReply, error) {
	x, err := f.link().connection.Open(ctx)
	if err != nil {
		return nil, err
	}

	out := &wire.Frame{}
	out.SetStart(s)

	if err := x.Send(out); err != nil {
		return nil, err
	}

	in, err := x.Receive()
	if err != nil {
		return nil, err
	}

	out = &wire.Frame{}
	out.SetStartAck(&wire.StartAck{})
	_ = x.Send(out)
	x.Close()

	return in.GetStartReply(), nil
}

func (f *fakeEntry) closeSubmission(ctx context.Context, submission string) (*wire.CloseReply, error) {
	c := &wire.Close{}
	c.SetSubmissions([]string{submission})

	out := &wire.Frame{}
	out.SetClose(c)

	in, err := f.link().connection.RoundTrip(ctx, out)
	if err != nil {
		return nil, err
	}

	return in.GetCloseReply(), nil
}

// fixture holds a fake entry, the stand-in backend server and a sidecar.
type fixture struct {
	is      *is.I
	entry   *fakeEntry
	backend *httptest.Server
	// settings is the name of the sidecar's settings file.
	settings string
	// admin is the sidecar's admin address.
	admin string
	// app is set if the sidecar runs in this process.
	app *fx.App
}

// newFixtureWithoutSidecar returns a fixture whose sidecar is not started.
func newFixtureWithoutSidecar(t testing.TB) *fixture {
	t.Helper()

	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	dir := t.TempDir()

	is.NoErr(quic.IssueKeys(dir, time.Hour))

	path := func(name string) string { return filepath.Join(dir, name) }
	keys, err := quic.LoadKeys(path(quic.CertificateFile), path(quic.KeyFile), path(quic.AuthorityFile))
	is.NoErr(err)

	f := &fixture{is: is, entry: &fakeEntry{}, backend: httptest.NewServer((&backend.Server{}).Handler())}
	is.NoErr(f.entry.node.Listen("127.0.0.1:0", keys))

	digest := sha256.Sum256([]byte("token"))
	agreed, err := agreement.Parse([]byte(fmt.Sprintf(`{"agreement":"test",
		"members":[{"name":"m","limit_slots":2,"credential_sha256":"%s"}],
		"kinds":[{"name":"k","service":"s","share_percent":50,"urgent":false,"max_cores":1}]}`,
		hex.EncodeToString(digest[:]))))
	is.NoErr(err)
	f.entry.append(ledger.PublicationRecord(0, []byte("nonce"), "test", agreed))

	go f.entry.acceptConnections(ctx)

	f.settings = path("sidecar.jsonc")
	is.NoErr(os.WriteFile(f.settings, []byte(fmt.Sprintf(`{"name":"w","entries":["%s"],"backend":"%s","slots":2,
		"allowance_delay":"50ms", // shorter than the default, so that slots are available soon
		"keys":{"certificate":"%s","key":"%s","authority":"%s"}}`,
		f.entry.node.Address(), f.backend.URL, path(quic.CertificateFile), path(quic.KeyFile), path(quic.AuthorityFile))),
		0o600))

	t.Cleanup(func() {
		cancel()
		f.entry.node.Close()
		f.backend.Close()
	})

	return f
}

// newFixture returns a fixture with a sidecar in this process.
func newFixture(t testing.TB) *fixture {
	t.Helper()

	f := newFixtureWithoutSidecar(t)
	f.startInProcess(t)

	return f
}

func (f *fixture) startInProcess(t testing.TB) {
	t.Helper()

	s, err := process.Load(f.settings)
	f.is.NoErr(err)

	var p *process.Process

	f.app = fx.New(process.Options(s, zerolog.New(zerolog.NewTestWriter(t))), fx.Populate(&p))
	f.is.NoErr(f.app.Start(t.Context()))
	t.Cleanup(func() { _ = f.app.Stop(context.Background()) })

	f.admin = p.AdminAddress()
	f.waitReady()
}

// newFixtureWithProcess returns a fixture with a sidecar in a separate process, which runs this test binary.
func newFixtureWithProcess(t testing.TB) (*fixture, *exec.Cmd) {
	t.Helper()

	f := newFixtureWithoutSidecar(t)

	c := exec.Command(os.Args[0])
	c.Env = append(os.Environ(), settingsVariable+"="+f.settings)

	logs, err := c.StderrPipe()
	f.is.NoErr(err)
	f.is.NoErr(c.Start())
	t.Cleanup(func() { _ = c.Process.Kill() })

	lines := bufio.NewScanner(logs)
	for f.admin == "" && lines.Scan() {
		var l struct {
			Event string `json:"event"`
			Admin string `json:"admin"`
		}

		if json.Unmarshal(lines.Bytes(), &l) == nil && l.Event == "listening" {
			f.admin = l.Admin
		}
	}

	go func() {
		for lines.Scan() {
			t.Log(lines.Text())
		}
	}()

	f.waitReady()

	return f, c
}

// settingsVariable is the environment variable that makes the test binary run as a sidecar with this settings file.
const settingsVariable = "SIDECAR_TEST_SETTINGS"

func TestMain(m *testing.M) {
	if file := os.Getenv(settingsVariable); file != "" {
		os.Exit(process.Main([]string{"--settings", file}, os.Stdout, os.Stderr))
	}

	os.Exit(m.Run())
}

func (f *fixture) waitReady() {
	f.waitFor("the sidecar is ready", func() bool { return f.get(f.admin, "/readyz") == "ok\n" })
	f.waitFor("its registration is reported", func() bool { return f.entry.link().registered.Load() })
}

func (f *fixture) waitFor(condition string, done func() bool) {
	for deadline := time.Now().Add(15 * time.Second); !done(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			f.is.NoErr(fmt.Errorf("condition not met within 15 s: %s", condition))
		}
	}
}

func (f *fixture) get(host, path string) string {
	r, err := http.Get("http://" + host + path)
	f.is.NoErr(err)
	defer r.Body.Close()

	text, err := io.ReadAll(r.Body)
	f.is.NoErr(err)

	return string(text)
}

type backendCounts struct {
	Started   int `json:"started"`
	Running   int `json:"running"`
	Completed int `json:"completed"`
	Repeated  int `json:"repeated"`
}

func (f *fixture) counts() backendCounts {
	var c backendCounts
	f.is.NoErr(json.Unmarshal([]byte(f.get(strings.TrimPrefix(f.backend.URL, "http://"), "/admin/counts")), &c))

	return c
}

// hasQueuedTask reports whether the sidecar's status shows one queued slot.
func (f *fixture) hasQueuedTask() bool {
	return strings.Contains(f.get(f.admin, "/v1/status"), `"queued_slots":1,"room"`)
}
