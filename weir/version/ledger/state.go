package ledger

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
	"github.com/skylarkweir/skylarkweir/weir/version/agreement"
)

// The records that a reader of a truncated log keeps until it finds a snapshot are bounded by number and by size.
const (
	maxPendingRecords = 1 << 16
	maxPendingBytes   = 32 << 20
)

var (
	emptySharedState = &sharedState{}
	emptyAgreement   = &agreement.Agreement{}
)

// State is what the log's records say up to a position. It is immutable. The zero value has position 0 and no version.
//
// The records of the log have to be applied without a gap. After a gap (records were dropped from the log before they
// were read), the fold stays where it was and the state is not ready, until a snapshot or another process supplies a
// fold that reaches the first record after the gap.
type State struct {
	// folded is nil in the zero value.
	sharedState *sharedState
	// cursor is the next offset to read from the log. It is at most the fold's position unless there is a gap.
	logPosition int64
	// gap is the first offset after the gap; there is a gap while it is above the fold's position.
	gapEnd int64
	// pending holds the records from gap to cursor that the fold needs once the gap is closed.
	pendingRecords []Record
	pendingBytes   int
	bindings       bindings
	// loading is true while a new process has not yet read the log to its end.
	loading bool
	skipped int64
	// snapshotMS is the time of the newest snapshot record in the log, and zero if none was read.
	snapshotTimeMS int64
	firstTimeMS    int64
}

func (s *State) shared() *sharedState {
	if s.sharedState == nil {
		return emptySharedState
	}

	return s.sharedState
}

// Position returns the next offset to apply: the state has applied all offsets below it.
func (s *State) Position() int64 { return s.shared().position }

// Version returns the version of the agreement in force, and zero if there is none.
func (s *State) Version() int64 { return s.shared().version }

// Ready tells whether an agreement is in force that is known to be the newest one below the position, so that work may
// be accepted. It is false while a new process reads the log, and after a gap.
func (s *State) Ready() bool { return s.Version() > 0 && s.Complete() }

// Complete tells whether the state misses no record below its position and has been read to the end of the log once.
// In contrast to Ready it does not ask for an agreement.
func (s *State) Complete() bool { return !s.loading && !s.hasGap() }

func (s *State) hasGap() bool { return s.gapEnd > s.Position() }

// alike tells whether agreement, workers, entries and readiness are the same. Rosters are copied before a change, so
// equal pointers mean equal content.
func (s *State) sameConfig(o *State) bool {
	a, b := s.shared(), o.shared()

	return a.version == b.version && a.workers == b.workers && a.entries == b.entries && s.Complete() == o.Complete()
}

// Agreement returns the agreement in force; it is empty if there is none.
func (s *State) Agreement() *agreement.Agreement {
	if a := s.shared().agreement; a != nil {
		return a
	}

	return emptyAgreement
}

// Published returns who published the version in force, and when by the log's time.
func (s *State) Published() (operator string, at time.Time) {
	return s.shared().operator, time.UnixMilli(s.shared().publishedMS)
}

// Outcome tells what became of the publication with the nonce: whether it came into force. It is not known before the
// record was read, and after many later publications.
func (s *State) PublicationOutcome(nonce []byte) (inForce, known bool) {
	for _, o := range s.shared().publicationOutcomes {
		if o.nonce == string(nonce) {
			known = true
			inForce = inForce || o.inForce
		}
	}

	return inForce, known
}

// Workers returns the workers that are registered now, in the order of their names.
func (s *State) Workers() []Worker {
	all := make([]Worker, 0, len(s.shared().workers.all()))

	for _, x := range s.shared().workers.all() {
		if x.leftOffset == notEnded {
			all = append(all, Worker{x})
		}
	}

	slices.SortFunc(all, func(a, b Worker) int { return strings.Compare(a.Name(), b.Name()) })

	return all
}

// WorkersAt returns the workers that were registered at the position: their registration has an offset below it, and
// their departure has not. It returns false if this state cannot tell.
func (s *State) WorkersAt(position int64) ([]Worker, bool) {
	f := s.shared()
	if position > f.position || position < f.completeFrom {
		return nil, false
	}

	var all []Worker

	for _, x := range f.workers.all() {
		if x.registeredAt(position) {
			all = append(all, Worker{x})
		}
	}

	return all, true
}

// Registered returns the offset of the first record of the worker's incarnation, and whether it is registered now.
func (s *State) Registered(name string, incarnation uint64) (offset int64, registered bool) {
	w := s.shared().workers.current(name)
	if w == nil || w.process.GetIncarnation() != incarnation {
		return 0, false
	}

	return w.joinedOffset, true
}

// Departed tells whether the worker's incarnation was registered and has left or was declared lost.
func (s *State) Departed(name string, incarnation uint64) bool {
	i := s.shared().workers.find(name, incarnation)

	return i >= 0 && s.shared().workers.registrations[i].leftOffset != notEnded
}

// Entries returns the entries that are registered now, in the order of their names.
func (s *State) Entries() []Entry {
	var all []Entry

	for _, x := range s.shared().entries.all() {
		if x.leftOffset == notEnded {
			all = append(all, Entry{x.process})
		}
	}

	slices.SortFunc(all, func(a, b Entry) int { return strings.Compare(a.Name(), b.Name()) })

	return all
}

// Successor returns the entry that holds the submissions of an incarnation that left. If the successor left too, its
// own successor is returned.
func (s *State) Successor(incarnation uint64) (Entry, bool) {
	found := Entry{}
	spans := s.shared().entries.all()

	// A chain is no longer than the list; the bound ends a chain that leads back to its start.
	for range spans {
		i := slices.IndexFunc(spans, func(x *registration[*wire.Entry]) bool { return x.process.GetIncarnation() == incarnation })
		if i < 0 || spans[i].leftOffset == notEnded || spans[i].successor == nil {
			break
		}

		found = Entry{spans[i].successor}
		incarnation = found.Incarnation()
	}

	return found, found.wire != nil
}

// Binding returns the ticket that the member's key is bound to.
func (s *State) Binding(member, key string) (ticketText string, bound bool) {
	return s.bindings.find(bindingKey{member, key})
}

// BindingsSince returns the log's time from which on every binding is known; the zero time means that none is missing.
// It returns false if the log was not read yet.
func (s *State) BindingsCompleteSince() (time.Time, bool) {
	switch {
	case s.loading || s.logPosition == 0 || s.bindings.completeSinceMS == math.MaxInt64:
		return time.Time{}, false
	case s.bindings.completeSinceMS == 0:
		return time.Time{}, true
	default:
		return time.UnixMilli(s.bindings.completeSinceMS), true
	}
}

// LogPosition returns the next offset to read from the log. It is below Position if other processes were ahead.
// Bindings are known up to it.
func (s *State) LogPosition() int64 { return s.logPosition }

// LogTime returns the largest time stamp read from the log.
func (s *State) LogTime() time.Time { return time.UnixMilli(s.bindings.latestTimeMS) }

// SnapshotTime returns the time stamp of the newest snapshot record that was read from the log, or that of the first
// record if there is none; false if nothing was read.
func (s *State) SnapshotTime() (time.Time, bool) {
	if s.snapshotTimeMS > 0 {
		return time.UnixMilli(s.snapshotTimeMS), true
	}

	return time.UnixMilli(s.firstTimeMS), s.firstTimeMS > 0
}

// Skipped returns the number of records that could not be decoded.
func (s *State) SkippedRecords() int64 { return s.skipped }

// Bindings returns the number of bindings held, including expired ones that were not dropped yet.
func (s *State) BindingCount() int { return s.bindings.count() }

// Apply returns the state after consecutive records of the log. Records that were read before are left out. A first
// record above LogPosition means that the records between them were dropped from the log.
func (s *State) Apply(records ...Record) *State {
	n, _ := s.applyLog(records, 0)

	return n
}

// read applies records of the log and notes that it was read up to through, if that is higher. The draft tells what was
// applied.
func (s *State) applyLog(records []Record, through int64) (*State, *draft) {
	n := *s
	d := newDraft(s.shared())
	fresh := map[bindingKey]boundTicket{}
	n.pendingRecords = slices.Clip(n.pendingRecords)

	for _, r := range records {
		if r.offset < n.logPosition {
			continue
		}

		if r.offset > n.logPosition {
			n.openGap(d, r.offset)
		}

		n.logPosition = r.offset + 1
		n.bindings = n.bindings.observeTime(r.timeMS)

		if n.firstTimeMS == 0 {
			n.firstTimeMS = r.timeMS
		}

		n.applyLogRecord(d, r, fresh)
	}

	if through > n.logPosition {
		n.openGap(d, through)
		n.logPosition = through
	}

	n.closeGap(d)

	if len(fresh) > 0 {
		n.bindings = n.bindings.addLayer(fresh)
	}

	n.sharedState = &d.sharedState

	return &n, d
}

func (s *State) applyLogRecord(d *draft, r Record, fresh map[bindingKey]boundTicket) {
	b, err := Decode(r.data)
	switch x := b.(type) {
	case nil:
		s.skipUndecodable(d, r, err)
	case Binding:
		k := bindingKey{x.member, x.key}
		if v, ok := fresh[k]; ok && !s.bindings.expired(v) {
			break
		}

		if _, ok := s.bindings.find(k); !ok {
			fresh[k] = boundTicket{x.ticket, r.timeMS}
		}
	case Snapshot:
		s.snapshotTimeMS = max(s.snapshotTimeMS, r.timeMS)

		// A snapshot holds only records below its own offset.
		if x.state.position > r.offset {
			s.skipped++

			break
		}

		if x.state.position > d.position {
			d.replace(x.state)
			s.closeGap(d)
		}
	default:
		if s.gapEnd > d.position {
			s.bufferRecord(r)

			break
		}

		if r.offset >= d.position {
			d.apply(r, b)
		}
	}

	if s.gapEnd <= d.position {
		d.position = max(d.position, s.logPosition)
	}
}

// skip counts a record that cannot be decoded. It is passed on all the same, since a receiver of a newer version of the
// program may know its type.
func (s *State) skipUndecodable(d *draft, r Record, err error) {
	if err == nil {
		return
	}

	s.skipped++

	if s.gapEnd <= d.position && r.offset >= d.position {
		d.appliedRecords = append(d.appliedRecords, r)
	}
}

// open notes that the records from the cursor up to first were dropped from the log before they were read.
func (s *State) openGap(d *draft, first int64) {
	s.bindings = s.bindings.markGap()

	// What was kept after an earlier gap is of no use, since the new gap follows it.
	s.pendingRecords, s.pendingBytes = nil, 0

	if d.position < first {
		s.gapEnd = first
	}
}

// keep holds a record until the gap is closed. If there are too many, the gap grows.
func (s *State) bufferRecord(r Record) {
	s.pendingRecords = append(s.pendingRecords, r)
	s.pendingBytes += len(r.data)

	for len(s.pendingRecords) > maxPendingRecords || s.pendingBytes > maxPendingBytes {
		s.gapEnd = s.pendingRecords[0].offset + 1
		s.pendingBytes -= len(s.pendingRecords[0].data)
		s.pendingRecords = s.pendingRecords[1:]
	}
}

// close applies the kept records once the fold reaches the first of them.
func (s *State) closeGap(d *draft) {
	if s.gapEnd == 0 || s.gapEnd > d.position {
		return
	}

	for _, r := range s.pendingRecords {
		if r.offset < d.position {
			continue
		}

		if b, err := Decode(r.data); err == nil {
			d.apply(r, b)
		}
	}

	d.position = max(d.position, s.logPosition)
	s.gapEnd, s.pendingRecords, s.pendingBytes = 0, nil, 0
}

// receive applies what another process passed on.
func (s *State) applyPeerRecords(m *wire.Records) (*State, *draft, error) {
	n := *s
	n.pendingRecords = slices.Clip(n.pendingRecords)
	d := newDraft(s.shared())

	if len(m.GetSnapshot()) > 0 {
		b, err := Decode(m.GetSnapshot())
		if err != nil {
			return nil, nil, err
		}

		x, ok := b.(Snapshot)
		if !ok || x.state.position != m.GetSnapshotPosition() {
			return nil, nil, merry.New("receive records: snapshot of another position", merry.NoCaptureStack())
		}

		if x.state.position > d.position {
			d.replace(x.state)
		}
	}

	if m.GetSnapshotPosition() > d.position {
		return nil, nil, merry.Errorf("receive records: they follow position %d, this state is at %d", m.GetSnapshotPosition(), d.position)
	}

	last := int64(-1)

	for _, x := range m.GetRecords() {
		if x.GetOffset() <= last || x.GetOffset() >= m.GetThrough() {
			return nil, nil, merry.Errorf("receive records: offset %d is out of order", x.GetOffset())
		}

		last = x.GetOffset()
		if last < d.position {
			continue
		}

		r := Record{last, x.GetTimeMs(), x.GetData()}

		b, err := Decode(r.data)
		n.applyPeerRecord(d, r, b, err)
	}

	d.position = max(d.position, m.GetThrough())
	n.closeGap(d)

	if m.GetThrough() >= d.position {
		n.loading = false
	}

	n.sharedState = &d.sharedState

	return &n, d, nil
}

func (s *State) applyPeerRecord(d *draft, r Record, b Body, err error) {
	switch b.(type) {
	case nil:
		s.skipUndecodable(d, r, err)
	case Binding, Snapshot:
		// Senders leave these out; a receiver that applied them would differ from readers of the log.
		s.skipped++
	default:
		d.apply(r, b)
	}
}
