package caller_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/matryer/is"
	gometrics "github.com/rcrowley/go-metrics"

	"github.com/skylarkweir/skylarkweir/entry/caller"
	"github.com/skylarkweir/skylarkweir/entry/home"
	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
	"github.com/skylarkweir/skylarkweir/weir/request/fault"
	"github.com/skylarkweir/skylarkweir/weir/request/submission"
	"github.com/skylarkweir/skylarkweir/weir/request/ticket"
	"github.com/skylarkweir/skylarkweir/weir/version/agreement"
	"github.com/skylarkweir/skylarkweir/weir/version/ledger"
)

const (
	ownIncarnation   = 7
	otherIncarnation = 3
	oneTask          = `{"kind":"k","input":"YQ=="}`
)

var key = ticket.Key("0123456789abcdef")

func agreementOf(members ...string) *agreement.Agreement {
	var list []string

	for _, m := range members {
		sum := sha256.Sum256([]byte("token-" + m))
		list = append(list, fmt.Sprintf(`{"name":%q,"limit_slots":8,"credential_sha256":%q}`, m, hex.EncodeToString(sum[:])))
	}

	text := `{"agreement":"test","members":[` + strings.Join(list, ",") + `],"kinds":[{"name":"k","service":"s","share_percent":50,"urgent":false}]}`

	a, err := agreement.Parse([]byte(text))
	if err != nil {
		panic(err)
	}

	return a
}

// fakeHandle is a submission that the test ends by calling finish.
type fakeHandle struct {
	mu         sync.Mutex
	done       chan struct{}
	status     int
	body       []byte
	cancelled  bool
	delivered  int
	endedTasks int
}

func (h *fakeHandle) finish(status int, body string) {
	h.mu.Lock()
	defer h.mu.Unlock()

	h.status, h.body = status, []byte(body)
	close(h.done)
}

func (h *fakeHandle) Done() <-chan struct{} { return h.done }

func (h *fakeHandle) Answer() (int, []byte) {
	h.mu.Lock()
	defer h.mu.Unlock()

	return h.status, h.body
}

func (h *fakeHandle) Cancel() {
	h.mu.Lock()
	defer h.mu.Unlock()

	h.cancelled = true
}

func (h *fakeHandle) RecordDelivery() {
	h.mu.Lock()
	defer h.mu.Unlock()

	h.delivered++
}

func (h *fakeHandle) deliveries() int {
	h.mu.Lock()
	defer h.mu.Unlock()

	return h.delivered
}

func (h *fakeHandle) Decisions() []home.Decision { return nil }

func (h *fakeHandle) Progress() (int, int) {
	h.mu.Lock()
	defer h.mu.Unlock()

	return h.endedTasks, 2
}

// fakeTable is a home table that does not dispatch tasks.
type fakeTable struct {
	mu        sync.Mutex
	handles   map[string]*fakeHandle
	bodies    map[string][sha256.Size]byte
	submitErr error
}

func (t *fakeTable) RefuseTicket(id string, _ ticket.Ticket) bool {
	t.mu.Lock()
	defer t.mu.Unlock()

	_, found := t.handles[id]

	return !found
}

func (t *fakeTable) Submit(s submission.Submission) (caller.Handle, error) {
	t.mu.Lock()
	defer t.mu.Unlock()

	if t.submitErr != nil {
		return nil, t.submitErr
	}

	if h, found := t.handles[s.ID()]; found {
		if t.bodies[s.ID()] != s.Digest() {
			return nil, fault.New(fault.Conflict, "another body")
		}

		return h, nil
	}

	h := &fakeHandle{done: make(chan struct{})}
	t.handles[s.ID()], t.bodies[s.ID()] = h, s.Digest()

	return h, nil
}

func (t *fakeTable) Find(id string) (caller.Handle, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()

	h, found := t.handles[id]

	return h, found
}

// awaitOnlySubmission waits until the table holds a submission; the test must submit only one.
func (t *fakeTable) awaitOnlySubmission(is *is.I) (string, *fakeHandle) {
	is.Helper()

	for range 200 {
		t.mu.Lock()
		for id, h := range t.handles {
			t.mu.Unlock()

			return id, h
		}
		t.mu.Unlock()
		time.Sleep(10 * time.Millisecond)
	}

	is.Fail() // nothing was submitted within 2 s

	return "", nil
}

type fakePeers struct {
	forward    func(to *wire.Entry, f *wire.Forward) (caller.Reply, bool, error)
	successors map[uint64]*wire.Entry
}

func (p *fakePeers) Forward(_ context.Context, to *wire.Entry, f *wire.Forward) (caller.Reply, bool, error) {
	return p.forward(to, f)
}

func (p *fakePeers) Successor(incarnation uint64) (*wire.Entry, bool) {
	e, found := p.successors[incarnation]

	return e, found
}

type fakeResolver struct{ resolved []string }

func (r *fakeResolver) CachedResult(string) error { return nil }

func (r *fakeResolver) Resolve(_ context.Context, id string, _ ticket.Ticket, cancel bool) error {
	r.resolved = append(r.resolved, fmt.Sprintf("%s %t", id, cancel))

	return fault.WithRan(fault.New(fault.HomeLost, "lost"), fault.RanNone)
}

type fakeBinder struct {
	id  string
	err error
}

func (b *fakeBinder) Bind(context.Context, string, uuid.UUID) (string, error) { return b.id, b.err }

type fixture struct {
	table      *fakeTable
	peers      *fakePeers
	resolver   *fakeResolver
	binder     *fakeBinder
	issuer     *caller.TicketIssuer
	local      *caller.Local
	server     *caller.Server
	http       *httptest.Server
	firstReady chan struct{}
}

func newIs(t *testing.T) *is.I { return is.New(t) }

func positionOf(replica *ledger.Replica) func() int64 {
	return func() int64 { return replica.State().Position() }
}

func newFixture(t *testing.T, ready bool) *fixture {
	t.Helper()

	replica := &ledger.Replica{}
	if ready {
		record := ledger.PublicationRecord(0, []byte("n"), "op", agreementOf("a", "b"))
		replica.ApplyLog([]ledger.Record{ledger.NewRecord(0, time.Now(), record)}, 1)
	}

	f := &fixture{
		table: &fakeTable{handles: map[string]*fakeHandle{}, bodies: map[string][sha256.Size]byte{}}, peers: &fakePeers{},
		resolver: &fakeResolver{}, binder: &fakeBinder{},
	}
	f.issuer = caller.NewTicketIssuer(key, netip.MustParseAddrPort("127.0.0.1:9"), ownIncarnation, positionOf(replica), time.Minute)
	f.local = caller.NewLocal(f.issuer, f.table, replica, caller.NewConcurrencyLimiter(2), 10)
	router := caller.NewRouter(f.local, f.peers, f.resolver)
	f.firstReady = make(chan struct{})
	if ready {
		close(f.firstReady)
	}

	f.server = caller.NewServer(f.issuer, f.local, router, f.binder, replica, f.firstReady, 1<<10, gometrics.NewRegistry())
	f.http = httptest.NewServer(f.server.Handler())
	t.Cleanup(f.http.Close)

	return f
}

func (f *fixture) request(method, path, token, idempotencyKey, body string) *http.Request {
	r, err := http.NewRequestWithContext(context.Background(), method, f.http.URL+path, strings.NewReader(body))
	if err != nil {
		panic(err)
	}

	if token != "" {
		r.Header.Set("Authorization", "Bearer "+token)
	}

	if idempotencyKey != "" {
		r.Header.Set("Idempotency-Key", idempotencyKey)
	}

	return r
}

type errorResponse struct {
	Error struct {
		Code, Message, Field, Ran, Submission string
		RetryAfterMS                          int64 `json:"retry_after_ms"`
	}
}

// response is an HTTP response without its body.
type response struct {
	StatusCode int
	Header     http.Header
	Close      bool
}

func (f *fixture) do(is *is.I, r *http.Request) (response, []byte) {
	is.Helper()

	w, err := http.DefaultClient.Do(r)
	is.NoErr(err)
	defer w.Body.Close()

	body, err := io.ReadAll(w.Body)
	is.NoErr(err)

	return response{w.StatusCode, w.Header, w.Close}, body
}

func otherHomeTicket(expiry time.Time) string {
	return key.Sign(ticket.New(netip.MustParseAddrPort("127.0.0.1:8"), otherIncarnation, 1, "a", 0, expiry))
}
