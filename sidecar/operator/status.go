package operator

import (
	"time"

	"github.com/skylarkweir/skylarkweir/weir/connection/adminapi"
	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
)

func (s *Server) status() adminapi.SidecarStatus {
	state := s.replica.State()
	_, registered := state.Registered(s.identity.Name(), s.identity.Incarnation())
	load := s.table.Load()
	starts, tombstones, bytes := s.table.Usage()

	out := adminapi.SidecarStatus{
		Worker: s.identity.Name(), Incarnation: s.identity.Incarnation(),
		Version: state.Version(), Position: state.Position(), Registered: registered,
		Leaving: load.GetLeaving(), Suspect: load.GetSuspect(), FailurePermille: load.GetFailurePermille(),
		Slots: load.GetSlots(), HeldSlots: load.GetHeldSlots(), QueuedSlots: load.GetQueuedSlots(),
		Kinds: kindLoads(load), Members: []adminapi.MemberLoad{}, Entries: []adminapi.EntrySession{},
		Table: adminapi.StartTable{Starts: starts, Tombstones: tombstones, Bytes: bytes},
	}

	for _, m := range s.table.MemberLoads() {
		out.Members = append(out.Members, adminapi.MemberLoad{
			Member: m.Name(), HeldSlots: m.HeldSlots(), QueuedSlots: m.QueuedSlots(),
			Allowance: m.Allowance(), Target: m.Target(),
		})
	}

	for _, e := range s.links.Sessions() {
		name, address := e.Entry()
		epoch, leased := e.Lease()
		out.Entries = append(out.Entries, adminapi.EntrySession{Entry: name, Address: address, Epoch: epoch, Leased: leased})
	}

	return out
}

func kindLoads(l *wire.Load) []adminapi.KindLoad {
	out := []adminapi.KindLoad{}
	for _, k := range l.GetKinds() {
		out = append(out, adminapi.KindLoad{
			Kind: k.GetKind(), HeldSlots: k.GetHeldSlots(), QueuedSlots: k.GetQueuedSlots(), AcceptsTasks: k.GetRoom(),
		})
	}

	return out
}

// Ready reports whether the sidecar can accept tasks.
func (s *Server) Ready() bool { return s.unreadyReason() == "" }

// unreadyReason returns the reason why the sidecar cannot accept tasks, or an empty string if it can.
func (s *Server) unreadyReason() string {
	status := s.status()

	switch {
	case status.Leaving:
		return "leaving"
	case status.Version == 0:
		return "no agreement"
	case !status.Registered:
		return "not registered"
	}

	for _, e := range status.Entries {
		if e.Leased {
			return ""
		}
	}

	return "no entry holds a lease"
}

const headerTimeout = 5 * time.Second

// maxConnections and bodyMemory limit the connections and the memory, in bytes, for bodies, which operators do not send.
const maxConnections, bodyMemory = 64, 1 << 20
