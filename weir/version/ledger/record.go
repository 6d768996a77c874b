// Package ledger derives the state that all processes agree on from the records of the log: the agreement, the
// registered workers and entries, and the bindings of idempotency keys to tickets.
package ledger

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
	"github.com/skylarkweir/skylarkweir/weir/version/agreement"
	"github.com/skylarkweir/skylarkweir/weir/version/ledger/record"
)

// Record is one record of the log.
type Record struct {
	offset int64
	// timeMS is the timestamp set by the log, in ms since 1970.
	timeMS int64
	data   []byte
}

// NewRecord returns a record of the log. It keeps data, which must not be changed afterwards.
func NewRecord(offset int64, at time.Time, data []byte) Record {
	return Record{offset, at.UnixMilli(), data}
}

// Offset returns the position in the log; offsets are consecutive.
func (r Record) Offset() int64 { return r.offset }

// Time returns the timestamp set by the log.
func (r Record) Time() time.Time { return time.UnixMilli(r.timeMS) }

// Data returns the appended bytes, which must not be changed.
func (r Record) Data() []byte { return r.data }

// The functions below return the encoded record to append to the log, or nil if a string is not valid UTF-8.

// PublicationRecord returns a record that puts a into force as version base+1, provided that base is the version in
// force at the record's offset. The nonce is random and identifies the publication for State.PublicationOutcome.
func PublicationRecord(base int64, nonce []byte, operator string, a *agreement.Agreement) []byte {
	m := &record.Publication{}
	m.SetVersion(base + 1)
	m.SetBase(base)
	m.SetNonce(nonce)
	m.SetOperator(operator)
	m.SetAgreement(a.Marshal())

	r := &record.Record{}
	r.SetPublication(m)

	return encode(r)
}

// WorkerJoinedRecord returns a record that registers an incarnation of a worker.
func WorkerJoinedRecord(w *wire.Worker) []byte {
	m := &record.WorkerJoined{}
	m.SetWorker(w)

	r := &record.Record{}
	r.SetWorkerJoined(m)

	return encode(r)
}

// WorkerLeftRecord returns a record that ends the registration of an incarnation of a worker; lost means that an entry
// declares the worker lost.
func WorkerLeftRecord(name string, incarnation uint64, lost bool) []byte {
	m := &record.WorkerLeft{}
	m.SetName(name)
	m.SetIncarnation(incarnation)
	m.SetLost(lost)

	r := &record.Record{}
	r.SetWorkerLeft(m)

	return encode(r)
}

// EntryJoinedRecord returns a record that registers an incarnation of an entry.
func EntryJoinedRecord(e *wire.Entry) []byte {
	m := &record.EntryJoined{}
	m.SetEntry(e)

	r := &record.Record{}
	r.SetEntryJoined(m)

	return encode(r)
}

// EntryLeftRecord returns a record that ends the registration of an incarnation of an entry. The successor is nil if no
// entry took over its submissions.
func EntryLeftRecord(e, successor *wire.Entry, lost bool) []byte {
	m := &record.EntryLeft{}
	m.SetEntry(e)
	m.SetSuccessor(successor)
	m.SetLost(lost)

	r := &record.Record{}
	r.SetEntryLeft(m)

	return encode(r)
}

// BindingRecord returns a record that binds a member's idempotency key to a ticket unless the key is already bound.
func BindingRecord(member, key, ticketText string, nonce []byte) []byte {
	m := &record.Binding{}
	m.SetMember(member)
	m.SetKey(key)
	m.SetTicket(ticketText)
	m.SetNonce(nonce)

	r := &record.Record{}
	r.SetBinding(m)

	return encode(r)
}

// EvacuationRecord returns a record that evacuates a failure domain, or ends that. The nonce is random and makes the record
// unique.
func EvacuationRecord(domain string, ended bool, nonce []byte, operator string) []byte {
	m := &record.Evacuation{}
	m.SetDomain(domain)
	m.SetEnded(ended)
	m.SetNonce(nonce)
	m.SetOperator(operator)

	r := &record.Record{}
	r.SetEvacuation(m)

	return encode(r)
}

// SnapshotRecord returns a record with the state except its bindings, from which a new reader can start.
func SnapshotRecord(s *State) []byte {
	r := &record.Record{}
	r.SetSnapshot(s.shared().encodeSnapshot())

	return encode(r)
}

func encode(m proto.Message) []byte {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		return nil
	}

	return data
}
