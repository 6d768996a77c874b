// Package operator serves the admin HTTP API of the sidecar.
package operator

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"

	"github.com/ansel1/merry/v2"
	"github.com/gorilla/mux"
	gometrics "github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/skylarkweir/skylarkweir/sidecar/entry"
	"github.com/skylarkweir/skylarkweir/sidecar/tasks"
	"github.com/skylarkweir/skylarkweir/weir/connection/adminapi"
	"github.com/skylarkweir/skylarkweir/weir/connection/callerlimit"
	"github.com/skylarkweir/skylarkweir/weir/process/metrics"
	"github.com/skylarkweir/skylarkweir/weir/version/ledger"
)

// Server answers the requests of operators.
type Server struct {
	identity *entry.Identity
	links    *entry.Links
	replica  *ledger.Replica
	table    *tasks.Table
	handler  http.Handler
	listener net.Listener
	gate     *callerlimit.Gate
	http     *http.Server
}

// NewServer returns a server that does not listen yet.
func NewServer(
	i *entry.Identity, l *entry.Links, replica *ledger.Replica, t *tasks.Table, r gometrics.Registry, log zerolog.Logger,
) *Server {
	s := &Server{identity: i, links: l, replica: replica, table: t}

	router := mux.NewRouter()
	router.HandleFunc("/healthz", s.healthz).Methods(http.MethodGet)
	router.HandleFunc("/readyz", s.readyz).Methods(http.MethodGet)
	router.Handle("/metrics", metrics.Handler(r)).Methods(http.MethodGet)
	router.HandleFunc("/v1/status", s.serveStatus).Methods(http.MethodGet)

	m := callerlimit.NewMetrics(r, "admin",
		"weir_sidecar_caller_connections", "weir_sidecar_caller_body_bytes", "weir_sidecar_caller_refusals_total")
	s.gate = callerlimit.NewGate("admin", callerlimit.NewLimits(maxConnections, bodyMemory), m, log)
	s.handler = router

	return s
}

// Protect rejects requests without the operators' token. It must be called before Listen.
func (s *Server) Protect(g adminapi.Guard) { s.handler = g.Wrap(s.handler) }

// Listen opens the TCP address; port 0 lets the kernel choose a port.
func (s *Server) Listen(ctx context.Context, address string) error {
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		return merry.Prependf(err, "listen on %s", address)
	}

	s.listener = s.gate.Listener(l)
	s.http = s.gate.Server(s.handler)
	s.http.ReadHeaderTimeout = headerTimeout

	return nil
}

// Address returns the address of the listener. It must be called after Listen.
func (s *Server) Address() net.Addr { return s.listener.Addr() }

// Serve answers requests until the server is closed.
func (s *Server) Serve() error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()

	go s.gate.Run(ctx)

	if err := s.http.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		return merry.Prepend(err, "serve the admin HTTP API")
	}

	return nil
}

// Close stops the server and closes all connections, without waiting for active requests.
func (s *Server) Close() {
	if s.http != nil {
		_ = s.http.Close()
	}
}

func (s *Server) healthz(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) }

func (s *Server) readyz(w http.ResponseWriter, _ *http.Request) {
	if reason := s.unreadyReason(); reason != "" {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}

	_, _ = w.Write([]byte("ok\n"))
}

func (s *Server) serveStatus(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(s.status())
}
