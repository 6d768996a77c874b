package operator

import (
	"time"

	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
)

// status is the body of GET /v1/status.
type status struct {
	Worker          string         `json:"worker"`
	Incarnation     uint64         `json:"incarnation,string"`
	Version         int64          `json:"version"`
	Position        int64          `json:"position"`
	Registered      bool           `json:"registered"`
	Leaving         bool           `json:"leaving"`
	Suspect         bool           `json:"suspect"`
	FailurePermille uint32         `json:"failure_permille"`
	Slots           uint32         `json:"slots"`
	HeldSlots       uint32         `json:"held_slots"`
	QueuedSlots     uint32         `json:"queued_slots"`
	Kinds           []kindStatus   `json:"kinds"`
	Members         []memberStatus `json:"members"`
	Entries         []entryStatus  `json:"entries"`
	Table           tableStatus    `json:"table"`
}

type kindStatus struct {
	Kind        string `json:"kind"`
	HeldSlots   uint32 `json:"held_slots"`
	QueuedSlots uint32 `json:"queued_slots"`
	Room        bool   `json:"room"`
}

type memberStatus struct {
	Member      string `json:"member"`
	HeldSlots   int    `json:"held_slots"`
	QueuedSlots int    `json:"queued_slots"`
	Allowance   int    `json:"allowance"`
	Target      int    `json:"target"`
}

type entryStatus struct {
	Entry   string `json:"entry"`
	Address string `json:"address"`
	Epoch   uint64 `json:"epoch"`
	Leased  bool   `json:"leased"`
}

type tableStatus struct {
	Starts     int   `json:"starts"`
	Tombstones int   `json:"tombstones"`
	Bytes      int64 `json:"bytes"`
}

func (s *Server) status() status {
	state := s.book.State()
	_, registered := state.Registered(s.identity.Name(), s.identity.Incarnation())
	load := s.table.Load()
	starts, tombstones, bytes := s.table.Held()

	out := status{
		Worker: s.identity.Name(), Incarnation: s.identity.Incarnation(),
		Version: state.Version(), Position: state.Position(), Registered: registered,
		Leaving: load.GetLeaving(), Suspect: load.GetSuspect(), FailurePermille: load.GetFailurePermille(),
		Slots: load.GetSlots(), HeldSlots: load.GetHeldSlots(), QueuedSlots: load.GetQueuedSlots(),
		Kinds: kinds(load), Members: []memberStatus{}, Entries: []entryStatus{},
		Table: tableStatus{starts, tombstones, bytes},
	}

	for _, m := range s.table.Members() {
		out.Members = append(out.Members, memberStatus{m.Name(), m.Held(), m.Queued(), m.Allowance(), m.Target()})
	}

	for _, e := range s.links.Sessions() {
		name, address := e.Entry()
		epoch, leased := e.Lease()
		out.Entries = append(out.Entries, entryStatus{name, address, epoch, leased})
	}

	return out
}

func kinds(l *wire.Load) []kindStatus {
	out := []kindStatus{}
	for _, k := range l.GetKinds() {
		out = append(out, kindStatus{k.GetKind(), k.GetHeldSlots(), k.GetQueuedSlots(), k.GetRoom()})
	}

	return out
}

// Ready tells whether the sidecar can take work.
func (s *Server) Ready() bool { return s.unready() == "" }

// unready returns the reason for which the sidecar can take no work, or an empty text.
func (s *Server) unready() string {
	st := s.status()

	switch {
	case st.Leaving:
		return "leaving"
	case st.Version == 0:
		return "no agreement"
	case !st.Registered:
		return "not registered"
	}

	for _, e := range st.Entries {
		if e.Leased {
			return ""
		}
	}

	return "no entry holds a lease"
}

const headerTimeout = 5 * time.Second
