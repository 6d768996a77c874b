package ledger

import (
	"slices"

	"github.com/ansel1/merry/v2"

	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
)

// Bounds of the records that a reader of a truncated log keeps until it finds a snapshot, by number and by size.
const (
	maxPendingRecords = 1 << 16
	maxPendingBytes   = 32 << 20
)

// Apply returns the state after consecutive records of the log. It ignores records that were read before. If the first
// record is above LogPosition, the records in between were dropped from the log.
func (s *State) Apply(records ...Record) *State {
	n, _ := s.applyLog(records, 0)

	return n
}

// applyLog applies records of the log and sets logPosition to through if that is higher. The draft holds the applied
// records.
func (s *State) applyLog(records []Record, through int64) (*State, *draft) {
	n := *s
	d := newDraft(s.shared())
	added := map[bindingKey]boundTicket{}
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

		n.applyLogRecord(d, r, added)
	}

	if through > n.logPosition {
		n.openGap(d, through)
		n.logPosition = through
	}

	n.closeGap(d)

	if len(added) > 0 {
		n.bindings = n.bindings.addLayer(added)
	}

	n.sharedState = &d.sharedState

	return &n, d
}

func (s *State) applyLogRecord(d *draft, r Record, added map[bindingKey]boundTicket) {
	b, err := Decode(r.data)
	switch x := b.(type) {
	case nil:
		s.skipUndecodable(d, r, err)
	case Binding:
		k := bindingKey{x.member, x.key}
		if v, ok := added[k]; ok && !s.bindings.expired(v) {
			break
		}

		if _, ok := s.bindings.find(k); !ok {
			added[k] = boundTicket{x.ticket, r.timeMS}
		}
	case Snapshot:
		s.snapshotTimeMS = max(s.snapshotTimeMS, r.timeMS)

		// A snapshot covers only records below its own offset.
		if x.state.position > r.offset {
			s.skippedRecords++

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

// skipUndecodable counts a record that cannot be decoded. The record is still sent to other processes, since a receiver
// with a newer version of the program may know its type.
func (s *State) skipUndecodable(d *draft, r Record, err error) {
	if err == nil {
		return
	}

	s.skippedRecords++

	if s.gapEnd <= d.position && r.offset >= d.position {
		d.appliedRecords = append(d.appliedRecords, r)
	}
}

// openGap records that the records from logPosition up to first were dropped from the log before they were read.
func (s *State) openGap(d *draft, first int64) {
	s.bindings = s.bindings.markGap()

	// The records pending behind an earlier gap are useless, since the new gap follows them.
	s.pendingRecords, s.pendingBytes = nil, 0

	if d.position < first {
		s.gapEnd = first
	}
}

// bufferRecord keeps a record until the gap is closed. If there are too many records, the oldest ones become part of
// the gap.
func (s *State) bufferRecord(r Record) {
	s.pendingRecords = append(s.pendingRecords, r)
	s.pendingBytes += len(r.data)

	for len(s.pendingRecords) > maxPendingRecords || s.pendingBytes > maxPendingBytes {
		s.gapEnd = s.pendingRecords[0].offset + 1
		s.pendingBytes -= len(s.pendingRecords[0].data)
		s.pendingRecords = s.pendingRecords[1:]
	}
}

// closeGap applies the pending records once the position of the draft reaches the first of them.
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

// applyPeerRecords applies records or a snapshot sent by another process.
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
			return nil, nil, merry.New(
				"apply peer records: position of the snapshot differs from the announced position", merry.NoCaptureStack(),
			)
		}

		if x.state.position > d.position {
			d.replace(x.state)
		}
	}

	if m.GetSnapshotPosition() > d.position {
		return nil, nil, merry.Errorf("apply peer records: records start at position %d, but this state is at %d",
			m.GetSnapshotPosition(), d.position)
	}

	last := int64(-1)

	for _, x := range m.GetRecords() {
		if x.GetOffset() <= last || x.GetOffset() >= m.GetThrough() {
			return nil, nil, merry.Errorf("apply peer records: offset %d is out of order", x.GetOffset())
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
		// Senders omit these records. Applying them would make the shared state differ from that of readers of the log.
		s.skippedRecords++
	default:
		d.apply(r, b)
	}
}
