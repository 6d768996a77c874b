// Package operator serves operators on the admin address.
//
// The endpoints are:
//
//   - GET /healthz answers 200 while the process runs.
//   - GET /readyz answers 200 while the entry accepts submissions, and otherwise 503 with the reason as text.
//   - GET /metrics answers with all metrics in the text form that Prometheus-like scrapers read.
//   - GET /v1/status answers with the addresses, the log position, the connected workers and the connected entries.
//   - GET /v1/show answers with the agreement in force and with the registered workers and entries.
//   - GET /v1/explain/{id} answers with what the home has recorded about a submission.
//   - GET /v1/explain-placement answers with where a repeatable job would go now, and why, without sending it. The query has
//     the fields of the job.
//   - POST /v1/drain starts the graceful shutdown, as SIGTERM does, and answers 202.
//
// Paths under /v1 require the operators' token if the settings name one. Without a token, the admin address must be on
// a network that only operators can reach.
package operator

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"time"

	"github.com/gorilla/mux"
	gometrics "github.com/rcrowley/go-metrics"

	"github.com/skylarkweir/skylarkweir/entry/caller"
	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
	"github.com/skylarkweir/skylarkweir/weir/process/fleet"
	"github.com/skylarkweir/skylarkweir/weir/process/interference"
	"github.com/skylarkweir/skylarkweir/weir/process/metrics"
	"github.com/skylarkweir/skylarkweir/weir/request/fault"
	"github.com/skylarkweir/skylarkweir/weir/version/evacuation"
	"github.com/skylarkweir/skylarkweir/weir/version/ledger"
)

// Peers returns the entries that this entry is connected to; *peer.Peers implements it.
type Peers interface {
	Reached() []*wire.Entry
}

// Explainer returns what is recorded about a submission; *caller.Router implements it.
type Explainer interface {
	Explain(ctx context.Context, id string) caller.Reply
}

// PlacementExplainer returns what the entry would do with a repeatable job; *caller.PlacementExplainer implements it.
type PlacementExplainer interface {
	ExplainPlacement(query url.Values) caller.Reply
}

// LogHealth reports whether the log service answers.
type LogHealth interface {
	Healthy() bool
}

// Pairs returns the pairs of kinds that are kept apart; *repeatable.Dispatcher implements it.
type Pairs interface {
	InterferingPairs() []interference.Pair
}

// Evacuations returns the evacuated failure domains, and the time since the log confirmed them last.
type Evacuations interface {
	Evacuations() (evacuation.Value, time.Duration)
}

// Server serves the admin endpoints for operators.
type Server struct {
	self        *wire.Entry
	replica     *ledger.Replica
	workers     *fleet.Fleet
	peers       Peers
	explainer   Explainer
	log         LogHealth
	registry    gometrics.Registry
	readiness   *Readiness
	evacuations Evacuations
	drain       func()
	start       time.Time
	// pairs is nil if there are none.
	pairs Pairs
	// placements is nil if placements are not explained.
	placements PlacementExplainer
}

// NewServer returns a server that calls drain to start the graceful shutdown.
func NewServer(
	self *wire.Entry, replica *ledger.Replica, workers *fleet.Fleet, peers Peers, explainer Explainer, log LogHealth,
	registry gometrics.Registry, readiness *Readiness, e Evacuations, drain func(),
) *Server {
	return &Server{self, replica, workers, peers, explainer, log, registry, readiness, e, drain, time.Now(), nil, nil}
}

// WithPairs makes the status contain the pairs of kinds that are kept apart.
func (s *Server) WithPairs(p Pairs) *Server {
	s.pairs = p

	return s
}

// WithPlacements makes the server explain placements of repeatable jobs.
func (s *Server) WithPlacements(p PlacementExplainer) *Server {
	s.placements = p

	return s
}

// Handler returns the handler of the admin endpoints.
func (s *Server) Handler() http.Handler {
	m := mux.NewRouter()
	m.UseEncodedPath()
	m.HandleFunc("/healthz", s.health).Methods(http.MethodGet)
	m.HandleFunc("/readyz", s.ready).Methods(http.MethodGet)
	m.Handle("/metrics", metrics.Handler(s.registry)).Methods(http.MethodGet)
	m.HandleFunc("/v1/status", s.status).Methods(http.MethodGet)
	m.HandleFunc("/v1/show", s.show).Methods(http.MethodGet)
	m.HandleFunc("/v1/explain/{id}", s.explain).Methods(http.MethodGet)

	if s.placements != nil {
		m.HandleFunc("/v1/explain-placement", s.explainPlacement).Methods(http.MethodGet)
	}

	m.HandleFunc("/v1/drain", s.startDrain).Methods(http.MethodPost)
	m.NotFoundHandler = http.HandlerFunc(s.unknown)
	m.MethodNotAllowedHandler = http.HandlerFunc(s.unknown)

	return m
}

func (s *Server) health(w http.ResponseWriter, _ *http.Request) { writeText(w, http.StatusOK, "ok") }

func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	if reason := s.readiness.Reason(); reason != "" {
		writeText(w, http.StatusServiceUnavailable, reason)

		return
	}

	writeText(w, http.StatusOK, "ready")
}

func (s *Server) startDrain(w http.ResponseWriter, _ *http.Request) {
	s.drain()
	writeJSON(w, http.StatusAccepted, map[string]bool{"draining": true})
}

func (s *Server) explain(w http.ResponseWriter, r *http.Request) {
	reply := s.explainer.Explain(r.Context(), mux.Vars(r)["id"])
	defer reply.ReportDelivery(false)

	writeReply(w, reply)
}

func (s *Server) explainPlacement(w http.ResponseWriter, r *http.Request) {
	query, err := url.ParseQuery(r.URL.RawQuery)
	if err != nil {
		writeReply(w, caller.Refuse(fault.New(fault.InvalidRequest, "the query can't be parsed: %v", err), ""))

		return
	}

	writeReply(w, s.placements.ExplainPlacement(query))
}

func writeReply(w http.ResponseWriter, reply caller.Reply) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(reply.Status())
	w.Write(reply.Body())
}

func (s *Server) unknown(w http.ResponseWriter, r *http.Request) {
	err := fault.New(fault.InvalidRequest, "unknown method or path: %s %s", r.Method, r.URL.Path)

	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(fault.KindOf(err).Status())
	w.Write(fault.Marshal(err, ""))
}

func writeText(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	w.Write([]byte(text + "\n"))
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)

		return
	}

	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	w.Write(append(body, '\n'))
}
