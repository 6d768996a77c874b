package operator

import (
	"net/http"
	"time"

	"github.com/skylarkweir/skylarkweir/weir/connection/adminapi"
	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
	"github.com/skylarkweir/skylarkweir/weir/process/fleet"
	"github.com/skylarkweir/skylarkweir/weir/process/uptime"
	"github.com/skylarkweir/skylarkweir/weir/version/ledger"
)

func (s *Server) status(w http.ResponseWriter, _ *http.Request) {
	state := s.replica.State()
	reason := s.readiness.Reason()

	out := adminapi.EntryStatus{
		Entry: entryOf(s.self), Ready: reason == "", Reason: reason, Draining: s.readiness.Leaving(),
		UptimeMS: time.Since(s.start).Milliseconds(), Position: state.Position(), LogPosition: state.LogPosition(),
		LogHealthy: s.log.Healthy(), AgreementVersion: state.Version(),
		Workers: []adminapi.Worker{}, Peers: []adminapi.Entry{},
	}

	v, age := s.evacuations.Evacuations()
	out.Evacuations = adminapi.Evacuations{
		Domains: append([]string{}, v.Domains()...), Position: v.Position(), AgeMS: age.Milliseconds(),
	}

	now := time.Now()
	for _, w := range s.workers.View().Workers() {
		out.Workers = append(out.Workers, workerOf(w, now))
	}

	for _, e := range s.peers.Reached() {
		out.Peers = append(out.Peers, entryOf(e))
	}

	out.InterferingPairs = s.interferingPairs()

	writeJSON(w, http.StatusOK, out)
}

func (s *Server) interferingPairs() []adminapi.InterferingPair {
	if s.pairs == nil {
		return nil
	}

	pairs := s.pairs.InterferingPairs()
	all := make([]adminapi.InterferingPair, 0, len(pairs))

	for _, p := range pairs {
		all = append(all, adminapi.InterferingPair{
			Kind: p.Kind(), Beside: p.Beside(), Factor: p.Factor(), Score: p.Score(), Tasks: p.Tasks(),
			AgeMS: (uptime.Now() - p.Since()).Milliseconds(),
		})
	}

	return all
}

func entryOf(e *wire.Entry) adminapi.Entry {
	return adminapi.Entry{
		Name: e.GetName(), Incarnation: e.GetIncarnation(), Address: e.GetAddress(), FailureDomain: e.GetFailureDomain(),
	}
}

func workerOf(w *fleet.Worker, now time.Time) adminapi.Worker {
	_, registered := w.RegistrationOffset()

	return adminapi.Worker{
		Name: w.Name(), Incarnation: w.Incarnation(), FailureDomain: w.FailureDomain(), Rack: w.Rack(), Slots: w.Slots(),
		MemoryMB: w.MemoryMB(), Registered: registered, Leaving: w.Leaving(), Ejected: w.Ejected(), Evacuated: w.Evacuated(),
		Suspect: w.Report().Suspect(), SinceContactMS: now.Sub(w.LastContact()).Milliseconds(), Load: w.Load(),
		Outstanding: w.Outstanding(), FailurePermille: w.Report().FailurePermille(),
	}
}

func (s *Server) show(w http.ResponseWriter, _ *http.Request) {
	state := s.replica.State()
	out := adminapi.Show{
		Version: state.Version(), Position: state.Position(),
		Workers: []adminapi.Registration{}, Entries: []adminapi.Entry{},
	}

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

func registrationOf(w ledger.Worker) adminapi.Registration {
	return adminapi.Registration{
		Name: w.Name(), Incarnation: w.Incarnation(), FailureDomain: w.FailureDomain(), Rack: w.Rack(), Slots: w.Slots(),
		MemoryMB: w.MemoryMB(), Services: w.Services(), Joined: w.JoinedOffset(),
	}
}
