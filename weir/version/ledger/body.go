package ledger

import (
	"github.com/ansel1/merry/v2"
	"google.golang.org/protobuf/proto"

	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
	"github.com/skylarkweir/skylarkweir/weir/version/agreement"
	"github.com/skylarkweir/skylarkweir/weir/version/ledger/record"
)

// Body is the decoded content of a record: Publication, WorkerJoined, WorkerLeft, EntryJoined, EntryLeft, Binding,
// Evacuation or Snapshot.
type Body interface{ body() }

// Publication proposes a new version of the agreement.
type Publication struct {
	base, version int64
	nonce         string
	operator      string
	agreement     *agreement.Agreement
}

// Base returns the version that must be in force for the publication to take effect.
func (p Publication) Base() int64 { return p.base }

// Version returns the proposed version, which is Base plus one.
func (p Publication) Version() int64 { return p.version }

// Operator returns the name of the operator.
func (p Publication) Operator() string { return p.operator }

// Agreement returns the proposed agreement.
func (p Publication) Agreement() *agreement.Agreement { return p.agreement }

// WorkerJoined registers an incarnation of a worker.
type WorkerJoined struct{ worker *wire.Worker }

// WorkerLeft ends the registration of an incarnation of a worker.
type WorkerLeft struct {
	name        string
	incarnation uint64
	lost        bool
}

// EntryJoined registers an incarnation of an entry.
type EntryJoined struct{ entry *wire.Entry }

// EntryLeft ends the registration of an incarnation of an entry; successor may be nil.
type EntryLeft struct {
	entry, successor *wire.Entry
	lost             bool
}

// Binding binds a member's idempotency key to a ticket.
type Binding struct{ member, key, ticket string }

// Evacuation evacuates a failure domain, or ends that.
type Evacuation struct {
	domain, operator string
	ended            bool
}

// Domain returns the name of the failure domain.
func (e Evacuation) Domain() string { return e.domain }

// Ended reports whether the evacuation ends.
func (e Evacuation) Ended() bool { return e.ended }

// Operator returns the name of the operator.
func (e Evacuation) Operator() string { return e.operator }

// Snapshot holds the complete shared state, which has no bindings.
type Snapshot struct{ state *sharedState }

func (Publication) body()  {}
func (WorkerJoined) body() {}
func (WorkerLeft) body()   {}
func (EntryJoined) body()  {}
func (EntryLeft) body()    {}
func (Binding) body()      {}
func (Evacuation) body()   {}
func (Snapshot) body()     {}

// Decode returns the content of a record's data. Every reader skips a record that does not decode.
func Decode(data []byte) (Body, error) {
	r := &record.Record{}
	if err := proto.Unmarshal(data, r); err != nil {
		return nil, merry.Prepend(err, "decode record", merry.NoCaptureStack())
	}

	switch r.WhichBody() {
	case record.Record_Publication_case:
		return decodePublication(r.GetPublication())
	case record.Record_WorkerJoined_case:
		return decodeWorkerJoined(r.GetWorkerJoined())
	case record.Record_WorkerLeft_case:
		m := r.GetWorkerLeft()

		return WorkerLeft{m.GetName(), m.GetIncarnation(), m.GetLost()}, nil
	case record.Record_EntryJoined_case:
		e := r.GetEntryJoined().GetEntry()
		if e.GetName() == "" || e.GetIncarnation() == 0 {
			return nil, decodeError("entry without name or incarnation")
		}

		return EntryJoined{e}, nil
	case record.Record_EntryLeft_case:
		return decodeEntryLeft(r.GetEntryLeft())
	case record.Record_Binding_case:
		m := r.GetBinding()
		if m.GetMember() == "" || m.GetKey() == "" || m.GetTicket() == "" {
			return nil, decodeError("binding without member, key or ticket")
		}

		return Binding{m.GetMember(), m.GetKey(), m.GetTicket()}, nil
	case record.Record_Evacuation_case:
		return decodeEvacuation(r.GetEvacuation())
	case record.Record_Snapshot_case:
		f, err := decodeSnapshot(r.GetSnapshot())
		if err != nil {
			return nil, err
		}

		return Snapshot{f}, nil
	default:
		return nil, decodeError("unknown record type")
	}
}

func decodePublication(m *record.Publication) (Body, error) {
	if m.GetVersion() != m.GetBase()+1 || m.GetBase() < 0 {
		return nil, decodeError("publication version is not its base version plus one")
	}

	a, err := agreement.Parse(m.GetAgreement())
	if err != nil {
		return nil, merry.Prepend(err, "decode publication", merry.NoCaptureStack())
	}

	return Publication{m.GetBase(), m.GetVersion(), string(m.GetNonce()), m.GetOperator(), a}, nil
}

func decodeWorkerJoined(m *record.WorkerJoined) (Body, error) {
	w := m.GetWorker()
	if w.GetName() == "" || w.GetIncarnation() == 0 {
		return nil, decodeError("worker without name or incarnation")
	}

	return WorkerJoined{w}, nil
}

func decodeEvacuation(m *record.Evacuation) (Body, error) {
	if m.GetDomain() == "" {
		return nil, decodeError("evacuation without a failure domain")
	}

	return Evacuation{m.GetDomain(), m.GetOperator(), m.GetEnded()}, nil
}

func decodeEntryLeft(m *record.EntryLeft) (Body, error) {
	if m.GetEntry().GetName() == "" || m.GetEntry().GetIncarnation() == 0 {
		return nil, decodeError("entry without name or incarnation")
	}

	b := EntryLeft{entry: m.GetEntry(), lost: m.GetLost()}
	if m.GetSuccessor().GetIncarnation() != 0 {
		b.successor = m.GetSuccessor()
	}

	return b, nil
}

func decodeError(reason string) error {
	return merry.New("decode record: "+reason, merry.NoCaptureStack())
}

// IsIdempotent reports whether appending the record twice has the same effect as appending it once. It returns false
// for snapshots, which a newer snapshot replaces, for evacuations, which another operator may have ended meanwhile, and for records that do not decode, whose effect is unknown.
func IsIdempotent(data []byte) bool {
	b, err := Decode(data)
	if err != nil {
		return false
	}

	switch b.(type) {
	case Publication:
		// Versions only increase, so the base version of the second copy is no longer in force.
		return true
	case WorkerJoined, EntryJoined, Binding:
		// Only the first record of an incarnation or of a key takes effect.
		return true
	case WorkerLeft, EntryLeft:
		// An incarnation that left cannot join again.
		return true
	default:
		return false
	}
}
