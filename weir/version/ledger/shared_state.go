package ledger

import (
	"slices"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
	"github.com/skylarkweir/skylarkweir/weir/version/agreement"
	"github.com/skylarkweir/skylarkweir/weir/version/evacuation"
	"github.com/skylarkweir/skylarkweir/weir/version/ledger/record"
)

// DepartedRetention is how long workers and entries that left stay in the state, measured by the timestamps of the log.
// It is far longer than the lifetime of a ticket, because the position in a ticket determines which workers are asked
// when its home is lost.
const DepartedRetention = time.Hour

// maxPublicationOutcomes bounds the kept outcomes of publications, of which there are a few hundred per day.
const maxPublicationOutcomes = 32

// sharedState is the part of the state that is the same for every reader at the same position, whichever record the
// reader started from. It holds no bindings. It is immutable once published.
type sharedState struct {
	// position is the next offset to apply.
	position int64
	version  int64
	// workersKnownFrom is the first position for which all registered workers are known.
	workersKnownFrom int64
	// timeMS is the latest timestamp of the applied records. Bindings and snapshots do not count, because processes do
	// not send them to each other.
	timeMS      int64
	agreement   *agreement.Agreement
	operator    string
	publishedMS int64
	// publicationOutcomes is in the order of the log, the latest one last.
	publicationOutcomes []publicationOutcome
	workers             *registry[*wire.Worker]
	entries             *registry[*wire.Entry]
	evacuations         evacuation.Value
}

type publicationOutcome struct {
	nonce   string
	version int64
	inForce bool
}

// draft is a shared state that is being changed. It copies a registry before the first change to it.
type draft struct {
	sharedState
	workersCopied, entriesCopied bool
	// appliedRecords holds the records applied since position appliedFrom, to be sent to other processes.
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

// replace replaces the shared state by one with a higher position.
func (d *draft) replace(f *sharedState) {
	*d = draft{sharedState: *f, appliedFrom: f.position}
}

// apply applies one record, whose offset is at or above the position and which is neither a binding nor a snapshot. The
// caller ensures that no record between the position and r that changes the shared state is left out.
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
	case Evacuation:
		d.applyEvacuation(x, r.offset+1)
	case EntryJoined:
		d.mutableEntries().join(x.entry, r.offset, d.timeMS)
	case EntryLeft:
		// An entry that started during an outage of the log may not be registered; its successor is needed nevertheless.
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
	d.publicationOutcomes = append(
		slices.Clone(d.publicationOutcomes[first:]), publicationOutcome{p.nonce, p.version, inForce},
	)
}

func (d *draft) applyEvacuation(e Evacuation, position int64) {
	domains := d.evacuations.Domains()
	if e.ended {
		domains = slices.DeleteFunc(domains, func(x string) bool { return x == e.domain })
	} else {
		domains = append(domains, e.domain)
	}

	d.evacuations = evacuation.NewValue(position, domains)
}

func (d *draft) removeExpired() {
	beforeMS := d.timeMS - DepartedRetention.Milliseconds()
	if d.workers.hasExpired(beforeMS) {
		d.workersKnownFrom = max(d.workersKnownFrom, d.mutableWorkers().removeExpired(beforeMS)+1)
	}

	if d.entries.hasExpired(beforeMS) {
		d.mutableEntries().removeExpired(beforeMS)
	}
}

func (f *sharedState) encodeSnapshot() *record.Snapshot {
	m := &record.Snapshot{}
	m.SetPosition(f.position)
	m.SetVersion(f.version)
	m.SetCompleteFrom(f.workersKnownFrom)
	m.SetTimeMs(f.timeMS)
	m.SetOperator(f.operator)
	m.SetPublishedMs(f.publishedMS)

	m.SetEvacuatedDomains(f.evacuations.Domains())
	m.SetEvacuationsPosition(f.evacuations.Position())

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
		position: m.GetPosition(), version: m.GetVersion(), workersKnownFrom: m.GetCompleteFrom(), timeMS: m.GetTimeMs(),
		operator: m.GetOperator(), publishedMS: m.GetPublishedMs(),
		evacuations: evacuation.NewValue(m.GetEvacuationsPosition(), m.GetEvacuatedDomains()),
	}
	if !f.isConsistent() {
		return nil, decodeError("snapshot with inconsistent position, version, complete-from position or evacuations")
	}

	if f.version > 0 {
		a, err := agreement.Parse(m.GetAgreement())
		if err != nil {
			return nil, merry.Prepend(err, "decode snapshot", merry.NoCaptureStack())
		}

		f.agreement = a
	}

	for _, o := range m.GetOutcomes() {
		f.publicationOutcomes = append(
			f.publicationOutcomes, publicationOutcome{string(o.GetNonce()), o.GetVersion(), o.GetInForce()},
		)
	}

	if len(m.GetWorkers()) > 0 {
		f.workers = f.workers.clone()
	}

	for _, s := range m.GetWorkers() {
		if !f.workers.restore(s.GetWorker(), s, f.position, nil) {
			return nil, decodeError("snapshot with an invalid worker registration")
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
			return nil, decodeError("snapshot with an invalid entry registration")
		}
	}

	return f, nil
}

// isConsistent reports whether the positions and the version of a snapshot are possible.
func (f *sharedState) isConsistent() bool {
	isWithin := func(n int64) bool { return n >= 0 && n <= f.position }
	p := f.evacuations.Position()

	return f.position >= 0 && isWithin(f.version) && isWithin(f.workersKnownFrom) && isWithin(p) &&
		(p > 0 || f.evacuations.Len() == 0)
}

// registrationMessage has the common methods of record.WorkerSpan and record.EntrySpan.
type registrationMessage interface {
	GetJoined() int64
	GetLeftPlusOne() int64
	GetLeftTimeMs() int64
}

// restore adds a registration from a snapshot of the position. It returns false if the registration is inconsistent.
func (r *registry[T]) restore(p T, m registrationMessage, position int64, successor *wire.Entry) bool {
	s := &registration[T]{
		process: p, joinedOffset: m.GetJoined(), leftOffset: m.GetLeftPlusOne() - 1, leftTimeMS: m.GetLeftTimeMs(),
		successor: successor,
	}

	switch {
	case p.GetName() == "" || p.GetIncarnation() == 0 || s.joinedOffset < 0 || s.joinedOffset >= position:
		return false
	case s.leftOffset != notEnded && (s.leftOffset < s.joinedOffset || s.leftOffset >= position):
		return false
	case s.leftOffset == notEnded && r.currentByName[p.GetName()] != nil:
		return false
	}

	r.registrations = append(r.registrations, s)
	if s.leftOffset == notEnded {
		r.currentByName[p.GetName()] = s
	}

	return true
}
