package ledger

import (
	"slices"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
	"github.com/skylarkweir/skylarkweir/weir/version/agreement"
	"github.com/skylarkweir/skylarkweir/weir/version/ledger/record"
)

// LeftRetention is how long workers and entries that left stay in the state, by the log's time stamps. It is far above
// the lifetime of a ticket, whose position decides which workers are asked when its home is lost.
const DepartedRetention = time.Hour

// maxOutcomes bounds the kept outcomes of publications. The rate is a few hundred a day.
const maxPublicationOutcomes = 32

// fold is the part of the state that every reader derives in the same way from the records below position, whichever
// record it started from. It holds no bindings. It is immutable once published.
type sharedState struct {
	// position is the next offset to apply.
	position int64
	version  int64
	// completeFrom is the first position for which all workers are known.
	completeFrom int64
	// timeMS is the largest time of the applied records other than bindings and snapshots. Those two are left out
	// because processes do not pass them on to each other.
	timeMS      int64
	agreement   *agreement.Agreement
	operator    string
	publishedMS int64
	// outcomes has the latest one last.
	publicationOutcomes []publicationOutcome
	workers             *registry[*wire.Worker]
	entries             *registry[*wire.Entry]
}

type publicationOutcome struct {
	nonce   string
	version int64
	inForce bool
}

// draft is a fold that is being changed. Rosters are copied before their first change.
type draft struct {
	sharedState
	workersCopied, entriesCopied bool
	// applied holds the records applied since from, for passing on.
	appliedRecords []Record
	appliedFrom    int64
}

func newDraft(f *sharedState) *draft {
	return &draft{sharedState: *f, appliedFrom: f.position}
}

func (d *draft) mutableWorkers() *registry[*wire.Worker] {
	if !d.workersCopied {
		d.workers = d.workers.clone()
		d.workersCopied = true
	}

	return d.workers
}

func (d *draft) mutableEntries() *registry[*wire.Entry] {
	if !d.entriesCopied {
		d.entries = d.entries.clone()
		d.entriesCopied = true
	}

	return d.entries
}

// adopt replaces the fold by one of a higher position.
func (d *draft) replace(f *sharedState) {
	*d = draft{sharedState: *f, appliedFrom: f.position}
}

// apply folds one record whose offset is the position or above it; the caller ensures that no record that matters was
// left out. Bindings and snapshots do not belong here.
func (d *draft) apply(r Record, b Body) {
	d.timeMS = max(d.timeMS, r.timeMS)
	d.appliedRecords = append(d.appliedRecords, r)

	switch x := b.(type) {
	case Publication:
		d.applyPublication(x)
	case WorkerJoined:
		d.mutableWorkers().join(x.worker, r.offset, d.timeMS)
	case WorkerLeft:
		d.mutableWorkers().leave(x.name, x.incarnation, r.offset, d.timeMS, nil)
	case EntryJoined:
		d.mutableEntries().join(x.entry, r.offset, d.timeMS)
	case EntryLeft:
		// An entry that started during a log outage may be unknown; its successor is still needed.
		d.mutableEntries().join(x.entry, r.offset, d.timeMS)
		d.mutableEntries().leave(x.entry.GetName(), x.entry.GetIncarnation(), r.offset, d.timeMS, x.successor)
	}

	d.position = r.offset + 1
	d.removeExpired()
}

func (d *draft) applyPublication(p Publication) {
	inForce := p.base == d.version
	if inForce {
		d.version, d.agreement, d.operator, d.publishedMS = p.version, p.agreement, p.operator, d.timeMS
	}

	first := max(0, len(d.publicationOutcomes)+1-maxPublicationOutcomes)
	d.publicationOutcomes = append(slices.Clone(d.publicationOutcomes[first:]), publicationOutcome{p.nonce, p.version, inForce})
}

func (d *draft) removeExpired() {
	before := d.timeMS - DepartedRetention.Milliseconds()
	if d.workers.hasExpired(before) {
		d.completeFrom = max(d.completeFrom, d.mutableWorkers().removeExpired(before)+1)
	}

	if d.entries.hasExpired(before) {
		d.mutableEntries().removeExpired(before)
	}
}

func (f *sharedState) encodeSnapshot() *record.Snapshot {
	m := &record.Snapshot{}
	m.SetPosition(f.position)
	m.SetVersion(f.version)
	m.SetCompleteFrom(f.completeFrom)
	m.SetTimeMs(f.timeMS)
	m.SetOperator(f.operator)
	m.SetPublishedMs(f.publishedMS)

	if f.agreement != nil {
		m.SetAgreement(f.agreement.Marshal())
	}

	outcomes := make([]*record.Outcome, 0, len(f.publicationOutcomes))
	for _, o := range f.publicationOutcomes {
		x := &record.Outcome{}
		x.SetNonce([]byte(o.nonce))
		x.SetVersion(o.version)
		x.SetInForce(o.inForce)
		outcomes = append(outcomes, x)
	}

	m.SetOutcomes(outcomes)

	workers := make([]*record.WorkerSpan, 0, len(f.workers.all()))
	for _, s := range f.workers.all() {
		x := &record.WorkerSpan{}
		x.SetWorker(s.process)
		x.SetJoined(s.joinedOffset)
		x.SetLeftPlusOne(s.leftOffset + 1)
		x.SetLeftTimeMs(s.leftTimeMS)
		workers = append(workers, x)
	}

	m.SetWorkers(workers)

	entries := make([]*record.EntrySpan, 0, len(f.entries.all()))
	for _, s := range f.entries.all() {
		x := &record.EntrySpan{}
		x.SetEntry(s.process)
		x.SetJoined(s.joinedOffset)
		x.SetLeftPlusOne(s.leftOffset + 1)
		x.SetLeftTimeMs(s.leftTimeMS)
		x.SetSuccessor(s.successor)
		entries = append(entries, x)
	}

	m.SetEntries(entries)

	return m
}

func decodeSnapshot(m *record.Snapshot) (*sharedState, error) {
	f := &sharedState{
		position: m.GetPosition(), version: m.GetVersion(), completeFrom: m.GetCompleteFrom(), timeMS: m.GetTimeMs(),
		operator: m.GetOperator(), publishedMS: m.GetPublishedMs(),
	}
	if f.position < 0 || f.version < 0 || f.version > f.position || f.completeFrom < 0 || f.completeFrom > f.position {
		return nil, decodeError("snapshot whose position, version or completeness do not fit")
	}

	if f.version > 0 {
		a, err := agreement.Parse(m.GetAgreement())
		if err != nil {
			return nil, merry.Prepend(err, "decode snapshot", merry.NoCaptureStack())
		}

		f.agreement = a
	}

	for _, o := range m.GetOutcomes() {
		f.publicationOutcomes = append(f.publicationOutcomes, publicationOutcome{string(o.GetNonce()), o.GetVersion(), o.GetInForce()})
	}

	if len(m.GetWorkers()) > 0 {
		f.workers = f.workers.clone()
	}

	for _, s := range m.GetWorkers() {
		if !f.workers.restore(s.GetWorker(), s, f.position, nil) {
			return nil, decodeError("snapshot with a worker that does not fit")
		}
	}

	if len(m.GetEntries()) > 0 {
		f.entries = f.entries.clone()
	}

	for _, s := range m.GetEntries() {
		var successor *wire.Entry
		if s.GetSuccessor().GetIncarnation() != 0 {
			successor = s.GetSuccessor()
		}

		if !f.entries.restore(s.GetEntry(), s, f.position, successor) {
			return nil, decodeError("snapshot with an entry that does not fit")
		}
	}

	return f, nil
}

// spanMessage is what the messages of workers' and entries' spans have in common.
type registrationMessage interface {
	GetJoined() int64
	GetLeftPlusOne() int64
	GetLeftTimeMs() int64
}

func (r *registry[T]) restore(who T, m registrationMessage, position int64, successor *wire.Entry) bool {
	s := &registration[T]{process: who, joinedOffset: m.GetJoined(), leftOffset: m.GetLeftPlusOne() - 1, leftTimeMS: m.GetLeftTimeMs(), successor: successor}

	switch {
	case who.GetName() == "" || who.GetIncarnation() == 0 || s.joinedOffset < 0 || s.joinedOffset >= position:
		return false
	case s.leftOffset != notEnded && (s.leftOffset < s.joinedOffset || s.leftOffset >= position):
		return false
	case s.leftOffset == notEnded && r.currentByName[who.GetName()] != nil:
		return false
	}

	r.registrations = append(r.registrations, s)
	if s.leftOffset == notEnded {
		r.currentByName[who.GetName()] = s
	}

	return true
}
