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
const maxOutcomes = 32

// fold is the part of the state that every reader derives in the same way from the records below position, whichever
// record it started from. It holds no bindings. It is immutable once published.
type fold struct {
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
	outcomes []outcome
	workers  *roster[*wire.Worker]
	entries  *roster[*wire.Entry]
}

type outcome struct {
	nonce   string
	version int64
	inForce bool
}

// draft is a fold that is being changed. Rosters are copied before their first change.
type draft struct {
	fold
	workersOwned, entriesOwned bool
	// applied holds the records applied since from, for passing on.
	applied []Record
	from    int64
}

func newDraft(f *fold) *draft {
	return &draft{fold: *f, from: f.position}
}

func (d *draft) writeWorkers() *roster[*wire.Worker] {
	if !d.workersOwned {
		d.workers = d.workers.clone()
		d.workersOwned = true
	}

	return d.workers
}

func (d *draft) writeEntries() *roster[*wire.Entry] {
	if !d.entriesOwned {
		d.entries = d.entries.clone()
		d.entriesOwned = true
	}

	return d.entries
}

// adopt replaces the fold by one of a higher position.
func (d *draft) adopt(f *fold) {
	*d = draft{fold: *f, from: f.position}
}

// apply folds one record whose offset is the position or above it; the caller ensures that no record that matters was
// left out. Bindings and snapshots do not belong here.
func (d *draft) apply(r Record, b Body) {
	d.timeMS = max(d.timeMS, r.timeMS)
	d.applied = append(d.applied, r)

	switch x := b.(type) {
	case Publication:
		d.publish(x)
	case WorkerJoined:
		d.writeWorkers().join(x.worker, r.offset, d.timeMS)
	case WorkerLeft:
		d.writeWorkers().leave(x.name, x.incarnation, r.offset, d.timeMS, nil)
	case EntryJoined:
		d.writeEntries().join(x.entry, r.offset, d.timeMS)
	case EntryLeft:
		// An entry that started during a log outage may be unknown; its successor is still needed.
		d.writeEntries().join(x.entry, r.offset, d.timeMS)
		d.writeEntries().leave(x.entry.GetName(), x.entry.GetIncarnation(), r.offset, d.timeMS, x.successor)
	}

	d.position = r.offset + 1
	d.expire()
}

func (d *draft) publish(p Publication) {
	inForce := p.base == d.version
	if inForce {
		d.version, d.agreement, d.operator, d.publishedMS = p.version, p.agreement, p.operator, d.timeMS
	}

	first := max(0, len(d.outcomes)+1-maxOutcomes)
	d.outcomes = append(slices.Clone(d.outcomes[first:]), outcome{p.nonce, p.version, inForce})
}

func (d *draft) expire() {
	before := d.timeMS - DepartedRetention.Milliseconds()
	if d.workers.expired(before) {
		d.completeFrom = max(d.completeFrom, d.writeWorkers().expire(before)+1)
	}

	if d.entries.expired(before) {
		d.writeEntries().expire(before)
	}
}

func (f *fold) snapshot() *record.Snapshot {
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

	outcomes := make([]*record.Outcome, 0, len(f.outcomes))
	for _, o := range f.outcomes {
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
		x.SetWorker(s.who)
		x.SetJoined(s.joined)
		x.SetLeftPlusOne(s.left + 1)
		x.SetLeftTimeMs(s.leftMS)
		workers = append(workers, x)
	}

	m.SetWorkers(workers)

	entries := make([]*record.EntrySpan, 0, len(f.entries.all()))
	for _, s := range f.entries.all() {
		x := &record.EntrySpan{}
		x.SetEntry(s.who)
		x.SetJoined(s.joined)
		x.SetLeftPlusOne(s.left + 1)
		x.SetLeftTimeMs(s.leftMS)
		x.SetSuccessor(s.successor)
		entries = append(entries, x)
	}

	m.SetEntries(entries)

	return m
}

func foldOf(m *record.Snapshot) (*fold, error) {
	f := &fold{
		position: m.GetPosition(), version: m.GetVersion(), completeFrom: m.GetCompleteFrom(), timeMS: m.GetTimeMs(),
		operator: m.GetOperator(), publishedMS: m.GetPublishedMs(),
	}
	if f.position < 0 || f.version < 0 || f.version > f.position || f.completeFrom < 0 || f.completeFrom > f.position {
		return nil, invalid("snapshot whose position, version or completeness do not fit")
	}

	if f.version > 0 {
		a, err := agreement.Parse(m.GetAgreement())
		if err != nil {
			return nil, merry.Prepend(err, "decode snapshot", merry.NoCaptureStack())
		}

		f.agreement = a
	}

	for _, o := range m.GetOutcomes() {
		f.outcomes = append(f.outcomes, outcome{string(o.GetNonce()), o.GetVersion(), o.GetInForce()})
	}

	if len(m.GetWorkers()) > 0 {
		f.workers = f.workers.clone()
	}

	for _, s := range m.GetWorkers() {
		if !f.workers.restore(s.GetWorker(), s, f.position, nil) {
			return nil, invalid("snapshot with a worker that does not fit")
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
			return nil, invalid("snapshot with an entry that does not fit")
		}
	}

	return f, nil
}

// spanMessage is what the messages of workers' and entries' spans have in common.
type spanMessage interface {
	GetJoined() int64
	GetLeftPlusOne() int64
	GetLeftTimeMs() int64
}

func (r *roster[T]) restore(who T, m spanMessage, position int64, successor *wire.Entry) bool {
	s := &span[T]{who: who, joined: m.GetJoined(), left: m.GetLeftPlusOne() - 1, leftMS: m.GetLeftTimeMs(), successor: successor}

	switch {
	case who.GetName() == "" || who.GetIncarnation() == 0 || s.joined < 0 || s.joined >= position:
		return false
	case s.left != present && (s.left < s.joined || s.left >= position):
		return false
	case s.left == present && r.live[who.GetName()] != nil:
		return false
	}

	r.spans = append(r.spans, s)
	if s.left == present {
		r.live[who.GetName()] = s
	}

	return true
}
