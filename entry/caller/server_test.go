package caller_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/matryer/is"

	"github.com/skylarkweir/skylarkweir/entry/caller"
	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
	"github.com/skylarkweir/skylarkweir/weir/request/fault"
	"github.com/skylarkweir/skylarkweir/weir/request/ticket"
)

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
