package caller_test

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
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

// Guards against error kinds that are reported to callers with the wrong status, fields or retry time.
func TestEveryErrorKind(t *testing.T) {
	for _, k := range fault.Kinds() {
		t.Run(k.Code(), func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, true)
			f.table.submitErr = fault.New(k, "no")

			w, body := f.do(is, f.request("POST", "/v1/requests", "token-a", "", oneTask))
			is.Equal(w.StatusCode, k.Status())

			var e errorResponse
			is.NoErr(json.Unmarshal(body, &e))
			is.Equal(e.Error.Code, k.Code())
			is.Equal(e.Error.Ran, string(fault.RanOf(f.table.submitErr)))

			after := fault.RetryAfterOf(f.table.submitErr)
			is.Equal(e.Error.RetryAfterMS, after.Milliseconds())

			seconds := ""
			if after > 0 {
				seconds = strconv.Itoa(int((after + time.Second - 1) / time.Second))
			}

			is.Equal(w.Header.Get("Retry-After"), seconds)
		})
	}
}

// Guards against submissions from requests that are unauthenticated, forbidden, expired, too large or malformed, and
// against errors with the wrong code or field.
func TestRequestChecks(t *testing.T) {
	now := time.Now()
	expired := key.Sign(ticket.New(netip.MustParseAddrPort("127.0.0.1:9"), ownIncarnation, 1, "a", 0, now.Add(-time.Second)))

	for _, c := range []struct {
		name, method, path, token, key, body string
		kind                                 fault.Kind
		field                                string
	}{
		{"no token", "POST", "/v1/jobs", "", "", oneTask, fault.Unauthenticated, ""},
		{"unknown token", "POST", "/v1/jobs", "x", "", oneTask, fault.Unauthenticated, ""},
		{"other member's ticket", "POST", "/v1/requests", "token-b", otherHomeTicket(now.Add(time.Minute)), oneTask, fault.Forbidden, ""},
		{"other member's submission", "GET", "/v1/submissions/" + otherHomeTicket(now.Add(time.Minute)), "token-b", "", "", fault.Forbidden, ""},
		{"expired ticket", "POST", "/v1/requests", "token-a", expired, oneTask, fault.TicketExpired, ""},
		{"forged ticket", "POST", "/v1/requests", "token-a", otherHomeTicket(now) + "x", oneTask, fault.InvalidRequest, "Idempotency-Key"},
		{"key that is no UUID", "POST", "/v1/requests", "token-a", strings.Repeat("z", 36), oneTask, fault.InvalidRequest, "Idempotency-Key"},
		{"large body", "POST", "/v1/requests", "token-a", "", strings.Repeat(" ", 1025), fault.TooLarge, ""},
		{"ticket count", "POST", "/v1/tickets", "token-a", "", `{"count":1001}`, fault.InvalidRequest, "count"},
		{"ticket field", "POST", "/v1/tickets", "token-a", "", `{"Count":1}`, fault.InvalidRequest, "Count"},
		{"unknown submission", "GET", "/v1/submissions/" + key.Sign(ticket.New(netip.MustParseAddrPort("127.0.0.1:9"), ownIncarnation, 5, "a", 0, now.Add(time.Minute))), "token-a", "", "", fault.UnknownSubmission, ""},
		{"unknown path", "GET", "/v2", "token-a", "", "", fault.InvalidRequest, ""},
		{"wrong method", "PUT", "/v1/jobs", "token-a", "", "", fault.InvalidRequest, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, true)

			w, body := f.do(is, f.request(c.method, c.path, c.token, c.key, c.body))

			var e errorResponse
			is.NoErr(json.Unmarshal(body, &e))
			is.Equal(e.Error.Code, c.kind.Code())
			is.Equal(e.Error.Field, c.field)
			is.Equal(w.StatusCode, c.kind.Status())
			is.Equal(len(f.table.handles), 0)
		})
	}
}

// Guards against submissions that are accepted before the entry has read an agreement.
func TestNoAgreement(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, false)

	start := time.Now()
	w, body := f.do(is, f.request("POST", "/v1/requests", "token-a", "", oneTask))
	is.Equal(w.StatusCode, 503)
	is.True(bytes.Contains(body, []byte("no_agreement")))
	// A new entry delays its first requests for up to 2 s. Once it was ready, it refuses immediately.
	is.True(time.Since(start) > time.Second)
	is.True(time.Since(start) < 3*time.Second)

	close(f.firstReady)

	start = time.Now()
	f.do(is, f.request("POST", "/v1/requests", "token-a", "", oneTask))
	is.True(time.Since(start) < time.Second)
}

// Guards against answers that are altered, that differ for a resubmission, or that are reported as delivered twice or
// before they were written.
func TestAnswerAndResubmission(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, true)
	answers := make(chan string, 1)

	go func() {
		// is.I is not safe for concurrent use.
		w, body := f.do(newIs(t), f.request("POST", "/v1/requests", "token-a", "", oneTask))
		answers <- strconv.Itoa(w.StatusCode) + string(body)
	}()

	id, h := f.table.awaitOnlySubmission(is)
	is.Equal(h.deliveries(), 0)
	h.finish(200, `{"x":1}`)
	is.Equal(<-answers, `200{"x":1}`)
	eventually(is, func() bool { return h.deliveries() == 1 })

	w, body := f.do(is, f.request("POST", "/v1/requests", "token-a", id, oneTask))
	is.Equal(strconv.Itoa(w.StatusCode)+string(body), `200{"x":1}`)

	w, _ = f.do(is, f.request("POST", "/v1/requests", "token-a", id, `{"kind":"k","input":"Yg=="}`))
	is.Equal(w.StatusCode, 409) // another body
}

func eventually(is *is.I, condition func() bool) {
	is.Helper()

	for range 500 {
		if condition() {
			return
		}

		time.Sleep(10 * time.Millisecond)
	}

	is.Fail() // condition did not come true within 5 s
}

// Guards against a submission that is cancelled when its caller disconnects, and against an answer that counts as
// delivered although nobody received it.
func TestCallerDisconnects(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, true)

	ctx, disconnect := context.WithCancel(context.Background())
	r := f.request("POST", "/v1/requests", "token-a", "", oneTask).WithContext(ctx)
	requestErr := make(chan error, 1)

	go func() {
		w, err := http.DefaultClient.Do(r)
		if err == nil {
			w.Body.Close()
		}
		requestErr <- err
	}()

	id, h := f.table.awaitOnlySubmission(is)
	disconnect()
	is.True(errors.Is(<-requestErr, context.Canceled))
	time.Sleep(50 * time.Millisecond)
	h.finish(200, `{}`)
	is.True(!h.cancelled)
	is.Equal(h.deliveries(), 0)

	w, _ := f.do(is, f.request("POST", "/v1/requests", "token-a", id, oneTask))
	is.Equal(w.StatusCode, 200)
}

// Guards against an answer that counts as delivered although the connection broke while it was written.
func TestAnswerOnBrokenConnectionIsNotDelivered(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, true)

	c, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", f.http.Listener.Addr().String())
	is.NoErr(err)

	r := f.request("POST", "/v1/requests", "token-a", "", oneTask)
	is.NoErr(r.Write(c))

	_, h := f.table.awaitOnlySubmission(is)
	// The answer is larger than the buffers of both sockets.
	h.finish(200, strings.Repeat("x", 64<<20))

	_, err = io.ReadFull(c, make([]byte, 1000))
	is.NoErr(err)
	is.NoErr(c.Close())
	f.http.Close() // waits for the handler
	is.Equal(h.deliveries(), 0)
}

// Guards against a submission with wait=false that blocks the caller, against events that omit progress or the end, and
// against a cancellation that does not reach the submission.
func TestStateEventsAndCancel(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, true)

	w, body := f.do(is, f.request("POST", "/v1/jobs", "token-a", "", `{"kind":"k","tasks":[{"input":""},{"input":""}],"wait":false}`))
	is.Equal(w.StatusCode, 202)

	id, h := f.table.awaitOnlySubmission(is)
	is.Equal(string(body), fmt.Sprintf(`{"submission":%q,"state":"running","ended":0,"total":2}`, id))

	w, _ = f.do(is, f.request("GET", "/v1/submissions/"+id, "token-a", "", ""))
	is.Equal(w.StatusCode, 202)

	r, err := http.DefaultClient.Do(f.request("GET", "/v1/submissions/"+id+"/events", "token-a", "", ""))
	is.NoErr(err)
	defer r.Body.Close()

	lines := bufio.NewScanner(r.Body)
	is.True(lines.Scan())
	is.True(strings.Contains(lines.Text(), `"ended":0`))

	h.mu.Lock()
	h.endedTasks = 1
	h.mu.Unlock()
	is.True(lines.Scan())
	is.True(strings.Contains(lines.Text(), `"ended":1`))

	w, _ = f.do(is, f.request("DELETE", "/v1/submissions/"+id, "token-a", "", ""))
	is.Equal(w.StatusCode, 202)
	is.True(h.cancelled)

	h.finish(409, string(fault.Marshal(fault.New(fault.Cancelled, "ended"), id)))
	is.True(lines.Scan())
	is.True(strings.Contains(lines.Text(), `"state":"failed"`) && strings.Contains(lines.Text(), `"code":"cancelled"`))
	is.True(!lines.Scan())
}

// Guards against new submissions that are accepted after Local.Leave, and against refusing the resubmission of one that
// was accepted before.
func TestLeaving(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, true)

	id, _ := f.issuer.Issue("a")
	f.do(is, f.request("POST", "/v1/requests", "token-a", id, `{"kind":"k","input":"YQ==","wait":false}`))
	_, h := f.table.awaitOnlySubmission(is)
	h.finish(200, `{}`)

	f.server.Drain()

	w, _ := f.do(is, f.request("POST", "/v1/tickets", "token-a", "", `{}`))
	is.Equal(w.StatusCode, 503)
	is.True(w.Close) // the header Connection is "close"

	w, _ = f.do(is, f.request("POST", "/v1/requests", "token-a", "", `{"kind":"k","input":"","wait":false}`))
	is.Equal(w.StatusCode, 202) // still accepted during drain_delay

	f.local.Leave()

	w, body := f.do(is, f.request("POST", "/v1/requests", "token-a", "", oneTask))
	is.Equal(w.StatusCode, 503)
	is.True(bytes.Contains(body, []byte(`"ran":"none"`)))

	w, _ = f.do(is, f.request("POST", "/v1/requests", "token-a", id, oneTask))
	is.Equal(w.StatusCode, 200)
}

// Guards against starting a submission of another home at this entry, and against altering the answer of the home.
func TestForwarding(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, true)
	id := otherHomeTicket(time.Now().Add(time.Minute))

	var (
		forwarded       *wire.Forward
		deliveryReports = make(chan bool, 2)
	)

	f.peers.forward = func(_ *wire.Entry, w *wire.Forward) (caller.Reply, bool, error) {
		forwarded = w

		return caller.NewReply(418, []byte("from home"), func(complete bool) { deliveryReports <- complete }), true, nil
	}

	w, body := f.do(is, f.request("POST", "/v1/requests", "token-a", id, oneTask))
	is.Equal(w.StatusCode, 418)
	is.Equal(string(body), "from home")
	is.Equal(string(forwarded.GetBody()), oneTask)
	is.Equal([]string{forwarded.GetSubmission(), forwarded.GetMember(), forwarded.GetOperation(), forwarded.GetForm()}, []string{id, "a", "submit", "request"})
	is.Equal(forwarded.GetIncarnation(), uint64(3))
	is.True(<-deliveryReports)
	is.Equal(len(deliveryReports), 0)
	is.Equal(len(f.table.handles), 0)
}

// Guards against resolving a submission as lost while a successor has it, against not resolving it if no entry has it,
// and against a state query that closes the submission.
func TestHomeLost(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, true)
	id := otherHomeTicket(time.Now().Add(time.Minute))

	successor := &wire.Entry{}
	successor.SetIncarnation(4)
	successor.SetAddress("127.0.0.1:7")

	forwardedTo := []uint64{}
	f.peers.forward = func(to *wire.Entry, _ *wire.Forward) (caller.Reply, bool, error) {
		forwardedTo = append(forwardedTo, to.GetIncarnation())

		if to.GetIncarnation() == 3 {
			// The departure of the home is announced while the forward to it fails.
			f.peers.successors = map[uint64]*wire.Entry{3: successor}

			return caller.Reply{}, false, errors.New("lost")
		}

		return caller.NewReply(200, []byte("{}"), nil), true, nil
	}

	w, _ := f.do(is, f.request("POST", "/v1/requests", "token-a", id, oneTask))
	is.Equal(w.StatusCode, 200)
	is.Equal(forwardedTo, []uint64{3, 4})
	is.Equal(len(f.resolver.resolved), 0)

	f.peers.successors = nil
	f.peers.forward = func(*wire.Entry, *wire.Forward) (caller.Reply, bool, error) { return caller.Reply{}, false, nil }

	w, _ = f.do(is, f.request("GET", "/v1/submissions/"+id, "token-a", "", ""))
	is.Equal(w.StatusCode, 502)
	is.Equal(len(f.resolver.resolved), 0)

	w, body := f.do(is, f.request("POST", "/v1/requests", "token-a", id, oneTask))
	is.Equal(w.StatusCode, 502)
	is.True(bytes.Contains(body, []byte(`"ran":"none"`)))
	is.Equal(f.resolver.resolved, []string{id + " false"})
	is.Equal(len(f.table.handles), 0)
}

// Guards against a submission that starts although it is uncertain whether its key was bound, and against one that
// starts with another ticket than the one bound to its key.
func TestIdempotencyKey(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, true)
	u := uuid.Must(uuid.NewV7()).String()

	f.binder.err = fault.New(fault.LogUnavailable, "down")
	w, body := f.do(is, f.request("POST", "/v1/requests", "token-a", u, oneTask))
	is.Equal(w.StatusCode, 503)
	is.True(bytes.Contains(body, []byte(`"ran":"none"`)))
	is.Equal(len(f.table.handles), 0)

	f.binder.err = nil
	f.binder.id, _ = f.issuer.Issue("a")

	f.do(is, f.request("POST", "/v1/requests", "token-a", u, `{"kind":"k","input":"","wait":false}`))
	id, _ := f.table.awaitOnlySubmission(is)
	is.Equal(id, f.binder.id)
}
