// Package caller serves the HTTP API for callers, which section 9 of docs/design.md specifies.
package caller

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/gorilla/mux"
	gometrics "github.com/rcrowley/go-metrics"

	"github.com/skylarkweir/skylarkweir/weir/connection/callerlimit"
	"github.com/skylarkweir/skylarkweir/weir/process/metrics"
	"github.com/skylarkweir/skylarkweir/weir/request/fault"
	"github.com/skylarkweir/skylarkweir/weir/version/ledger"
)

const (
	// maxTicketCount bounds one batch of tickets.
	maxTicketCount = 1000
	// bodyTimeout bounds how long a caller may take to send its body.
	bodyTimeout = 30 * time.Second
	// firstReadyTimeout is how long the first requests wait for a new entry to become ready.
	firstReadyTimeout = 2 * time.Second
	// memoryRetryAfter is the retry time of requests for whose body there was no memory.
	memoryRetryAfter = time.Second
	keyHeader        = "Idempotency-Key"
	uuidLength       = 36
)

// Binder binds UUIDs that callers choose as idempotency keys to tickets.
type Binder interface {
	// Bind returns the ticket that the key of the member is bound to. It binds an unbound key to a new ticket.
	Bind(ctx context.Context, member string, key uuid.UUID) (id string, err error)
}

// Server serves the HTTP API for callers.
type Server struct {
	issuer   *TicketIssuer
	local    *Local
	router   *Router
	binder   Binder
	replica  *ledger.Replica
	maxBody  int64
	registry gometrics.Registry
	// jobs is nil if repeatable jobs are not served. It does not change once the server serves.
	jobs *RepeatableJobs
	// firstReady is closed when this entry becomes ready for the first time.
	firstReady <-chan struct{}
	// draining is true once callers should switch to other entries.
	draining atomic.Bool
}

// NewServer returns a server that refuses bodies of more than maxBody bytes. firstReady must be closed when the entry
// becomes ready for the first time.
func NewServer(
	issuer *TicketIssuer, local *Local, router *Router, binder Binder, replica *ledger.Replica,
	firstReady <-chan struct{}, maxBody int64, registry gometrics.Registry,
) *Server {
	return &Server{
		issuer: issuer, local: local, router: router, binder: binder, replica: replica, firstReady: firstReady,
		maxBody: maxBody, registry: registry,
	}
}

// ServeRepeatable makes the server accept repeatable jobs.
func (s *Server) ServeRepeatable(j *RepeatableJobs) { s.jobs = j }

// Drain asks callers to close their connections after each answer and issues no more batches of tickets, because this
// entry will have left when they are used. Submissions are accepted until Local.Leave.
func (s *Server) Drain() { s.draining.Store(true) }

// Handler returns the handler of the API. It has the path of repeatable jobs only if ServeRepeatable was called before.
func (s *Server) Handler() http.Handler {
	m := mux.NewRouter()
	m.UseEncodedPath()
	m.Handle("/v1/tickets", s.handle("tickets", s.tickets)).Methods(http.MethodPost)
	m.Handle("/v1/jobs", s.handle("jobs", s.submit(formJob))).Methods(http.MethodPost)
	m.Handle("/v1/requests", s.handle("requests", s.submit(formRequest))).Methods(http.MethodPost)

	if s.jobs != nil {
		m.Handle("/v1/repeatable-jobs", s.handle("repeatable_jobs", s.repeatable)).Methods(http.MethodPost)
	}

	m.Handle("/v1/submissions/{id}", s.handle("state", s.state)).Methods(http.MethodGet)
	m.Handle("/v1/submissions/{id}", s.handle("cancel", s.cancel)).Methods(http.MethodDelete)
	m.Handle("/v1/submissions/{id}/events", s.handle("events", s.events)).Methods(http.MethodGet)
	m.NotFoundHandler = s.handle("unknown", func(_ http.ResponseWriter, r *http.Request, _ string) Reply {
		return Refuse(fault.New(fault.InvalidRequest, "unknown path %s", r.URL.Path), "")
	})
	m.MethodNotAllowedHandler = s.handle("unknown", func(_ http.ResponseWriter, r *http.Request, _ string) Reply {
		return Refuse(fault.New(fault.InvalidRequest, "method %s is not allowed for %s", r.Method, r.URL.Path), "")
	})

	return m
}

// operation handles a request of an authenticated member. A reply without status has already been written.
type operation func(w http.ResponseWriter, r *http.Request, member string) Reply

func (s *Server) handle(name string, o operation) http.Handler {
	timer := gometrics.GetOrRegisterTimer(metrics.Name("weir_entry_caller_seconds", "operation", name), s.registry)

	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		start := time.Now()

		if s.draining.Load() {
			// Idle connections are not closed immediately, since a caller may be sending a request on one of them.
			w.Header().Set("Connection", "close")
		}

		s.awaitFirstReady(r.Context())

		member, err := s.authenticate(r)
		if err != nil {
			s.write(w, name, Refuse(withEarlierTries(r, err), ""))

			return
		}

		if reply := o(w, r, member); reply.Status() != 0 {
			s.write(w, name, reply)
		}

		timer.UpdateSince(start)
	})
}

// awaitFirstReady delays the first requests to a new entry, which would be refused although the sidecars are about to
// connect. A load balancer sends none before the entry is ready, but callers may connect to it directly.
func (s *Server) awaitFirstReady(ctx context.Context) {
	select {
	case <-s.firstReady:
		return
	default:
	}

	timer := time.NewTimer(firstReadyTimeout)
	defer timer.Stop()

	select {
	case <-s.firstReady:
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (s *Server) write(w http.ResponseWriter, name string, reply Reply) {
	code := "ok"

	if reply.Status() >= http.StatusBadRequest {
		code = s.setRetryAfter(w, reply)
	}

	gometrics.GetOrRegisterCounter(
		metrics.Name("weir_entry_answers_total", "operation", name, "code", code), s.registry).Inc(1)

	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(reply.Body())))
	w.WriteHeader(reply.Status())

	n, err := w.Write(reply.Body())
	if err == nil {
		// Only a flush reports whether the connection accepted the complete answer.
		err = http.NewResponseController(w).Flush()
	}

	reply.ReportDelivery(err == nil && n == len(reply.Body()))
}

// setRetryAfter sets the header Retry-After if the error has a retry time, and returns the code of the error.
func (s *Server) setRetryAfter(w http.ResponseWriter, reply Reply) string {
	var e struct {
		Error struct {
			Code         string `json:"code"`
			RetryAfterMS int64  `json:"retry_after_ms"`
		} `json:"error"`
	}

	if json.Unmarshal(reply.Body(), &e) != nil {
		return fault.Internal.Code()
	}

	if e.Error.RetryAfterMS > 0 {
		// The header is rounded up to whole seconds; the body has the exact time.
		w.Header().Set("Retry-After", strconv.FormatInt((e.Error.RetryAfterMS+999)/1000, 10))
	}

	return e.Error.Code
}

func (s *Server) readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	c := http.NewResponseController(w)
	_ = c.SetReadDeadline(time.Now().Add(bodyTimeout))

	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, s.maxBody))

	_ = c.SetReadDeadline(time.Time{})

	if large := (*http.MaxBytesError)(nil); errors.As(err, &large) {
		return nil, fault.New(fault.TooLarge, "the body has more than %d bytes", s.maxBody)
	}

	if errors.Is(err, callerlimit.ErrNoMemory) {
		return nil, fault.WithRetryAfter(fault.Wrap(fault.Overloaded, err, "read the body"), memoryRetryAfter)
	}

	if err != nil {
		return nil, fault.Wrap(fault.InvalidRequest, err, "read the body")
	}

	return data, nil
}

func (s *Server) tickets(w http.ResponseWriter, r *http.Request, member string) Reply {
	data, err := s.readBody(w, r)
	if err != nil {
		return Refuse(err, "")
	}

	if s.draining.Load() {
		return Refuse(fault.New(fault.Leaving, "the entry is leaving"), "")
	}

	count, err := DecodeTicketCount(data, maxTicketCount)
	if err != nil {
		return Refuse(err, "")
	}

	var issued struct {
		Tickets []string `json:"tickets"`
	}

	for range count {
		id, _ := s.issuer.Issue(member)
		issued.Tickets = append(issued.Tickets, id)
	}

	out, _ := json.Marshal(issued)

	return NewReply(http.StatusOK, out, nil)
}

func (s *Server) submit(form string) operation {
	return func(w http.ResponseWriter, r *http.Request, member string) Reply {
		data, err := s.readBody(w, r)
		if err != nil {
			return Refuse(withEarlierTries(r, err), "")
		}

		b, err := s.local.Decode(r.Context(), form, data)
		_ = r.Body.Close() // the decoder needs no more memory
		if err != nil {
			return Refuse(withEarlierTries(r, err), "")
		}

		id, t, err := s.identify(r, member)
		if err != nil {
			return Refuse(err, id)
		}

		return s.router.Submit(r.Context(), id, t, b, data)
	}
}

func (s *Server) state(_ http.ResponseWriter, r *http.Request, member string) Reply {
	id, t, err := s.verifyPathTicket(r, member)
	if err != nil {
		return Refuse(err, id)
	}

	return s.router.State(r.Context(), id, t)
}

func (s *Server) cancel(_ http.ResponseWriter, r *http.Request, member string) Reply {
	id, t, err := s.verifyPathTicket(r, member)
	if err != nil {
		return Refuse(err, id)
	}

	return s.router.Cancel(r.Context(), id, t)
}
