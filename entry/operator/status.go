package operator

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
	"github.com/skylarkweir/skylarkweir/weir/process/fleet"
	"github.com/skylarkweir/skylarkweir/weir/version/ledger"
)

type status struct {
	Entry            entryStatus    `json:"entry"`
	Ready            bool           `json:"ready"`
	Reason           string         `json:"reason,omitempty"`
	Draining         bool           `json:"draining"`
	UptimeMS         int64          `json:"uptime_ms"`
	Position         int64          `json:"position"`
	LogPosition      int64          `json:"log_position"`
	LogHealthy       bool           `json:"log_healthy"`
	AgreementVersion int64          `json:"agreement_version"`
	Workers          []workerStatus `json:"workers"`
	Peers            []entryStatus  `json:"peers"`
}

type entryStatus struct {
	Name          string `json:"name"`
	Incarnation   uint64 `json:"incarnation,string"`
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
}

type workerStatus struct {
	Name            string `json:"name"`
	Incarnation     uint64 `json:"incarnation,string"`
	FailureDomain   string `json:"failure_domain"`
	Rack            string `json:"rack"`
	Slots           int    `json:"slots"`
	MemoryMB        int    `json:"memory_mb"`
	Registered      bool   `json:"registered"`
	Leaving         bool   `json:"leaving"`
	Ejected         bool   `json:"ejected"`
	Suspect         bool   `json:"suspect"`
	HeardMS         int64  `json:"heard_ms_ago"`
	Load            int    `json:"load"`
	Outstanding     int    `json:"outstanding"`
	FailurePermille int    `json:"failure_permille"`
}

func (s *Server) status(w http.ResponseWriter, _ *http.Request) {
	state := s.book.State()
	reason := s.readiness.Reason()

	out := status{
		Entry: entryOf(s.self), Ready: reason == "", Reason: reason, Draining: s.readiness.Leaving(),
		UptimeMS: time.Since(s.start).Milliseconds(), Position: state.Position(), LogPosition: state.LogPosition(),
		LogHealthy: s.log.Healthy(), AgreementVersion: state.Version(),
		Workers: []workerStatus{}, Peers: []entryStatus{},
	}

	now := time.Now()
	for _, w := range s.workers.View().Workers() {
		out.Workers = append(out.Workers, workerOf(w, now))
	}

	for _, e := range s.peers.Reached() {
		out.Peers = append(out.Peers, entryOf(e))
	}

	writeJSON(w, http.StatusOK, out)
}

func entryOf(e *wire.Entry) entryStatus {
	return entryStatus{e.GetName(), e.GetIncarnation(), e.GetAddress(), e.GetFailureDomain()}
}

func workerOf(w *fleet.Worker, now time.Time) workerStatus {
	_, registered := w.Joined()

	return workerStatus{
		Name: w.Name(), Incarnation: w.Incarnation(), FailureDomain: w.FailureDomain(), Rack: w.Rack(), Slots: w.Slots(),
		MemoryMB: w.MemoryMB(), Registered: registered, Leaving: w.Leaving(), Ejected: w.Ejected(),
		Suspect: w.Report().Suspect(), HeardMS: now.Sub(w.Heard()).Milliseconds(), Load: w.Load(),
		Outstanding: w.Outstanding(), FailurePermille: w.Report().FailurePermille(),
	}
}

type show struct {
	Version     int64           `json:"version"`
	Operator    string          `json:"operator,omitempty"`
	PublishedAt string          `json:"published_at,omitempty"`
	Position    int64           `json:"position"`
	Agreement   json.RawMessage `json:"agreement,omitempty"`
	Workers     []registration  `json:"workers"`
	Entries     []entryStatus   `json:"entries"`
}

type registration struct {
	Name          string   `json:"name"`
	Incarnation   uint64   `json:"incarnation,string"`
	FailureDomain string   `json:"failure_domain"`
	Rack          string   `json:"rack"`
	Slots         int      `json:"slots"`
	MemoryMB      int      `json:"memory_mb"`
	Services      []string `json:"services,omitempty"`
	Joined        int64    `json:"joined"`
}

func (s *Server) show(w http.ResponseWriter, _ *http.Request) {
	state := s.book.State()
	out := show{Version: state.Version(), Position: state.Position(), Workers: []registration{}, Entries: []entryStatus{}}

	if state.Version() > 0 {
		operator, at := state.Published()
		out.Operator, out.PublishedAt = operator, at.UTC().Format(time.RFC3339Nano)
		out.Agreement = state.Agreement().Marshal()
	}

	for _, w := range state.Workers() {
		out.Workers = append(out.Workers, registrationOf(w))
	}

	for _, e := range state.Entries() {
		out.Entries = append(out.Entries, entryOf(e.Wire()))
	}

	writeJSON(w, http.StatusOK, out)
}

func registrationOf(w ledger.Worker) registration {
	return registration{w.Name(), w.Incarnation(), w.FailureDomain(), w.Rack(), w.Slots(), w.MemoryMB(), w.Services(), w.Joined()}
}
