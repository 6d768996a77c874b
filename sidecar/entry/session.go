package entry

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/skylarkweir/skylarkweir/weir/connection/quic"
	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
	"github.com/skylarkweir/skylarkweir/weir/process/uptime"
)

const (
	// heartbeatInterval is the longest time between two renewals of the lease.
	heartbeatInterval = time.Second
	// checkInterval is the interval at which it is checked whether a heartbeat is due. Together with heartbeatInterval,
	// it stays well below the 2 s after which an entry treats a worker as unresponsive.
	checkInterval = 250 * time.Millisecond
	// renewInterval is the shortest time between two renewals of the lease by replies to starts.
	renewInterval = 500 * time.Millisecond
	// unresponsiveTimeout is the time without an acknowledgement or another control frame from the entry after which
	// the connection is closed. It is longer than a lease, so that a short pause of the entry ends only the lease
	// epoch and not the connection.
	unresponsiveTimeout = 6 * time.Second
	// recordsDelay is how long an entry must be behind before records are sent to it. It is longer than
	// heartbeatInterval, so that the entry has reported a newer position in between. Entries mostly have the records
	// already, and without the delay each sidecar sent each new agreement back to all other entries.
	recordsDelay = 1500 * time.Millisecond
	// recordsResendInterval is the time after which records that the entry has not applied are sent again.
	recordsResendInterval = 5 * time.Second
)

// clockOrigin is the reference of times that are stored as numbers, so that they follow the monotonic clock.
var clockOrigin = time.Now()

// sentRecords describes the records that were last sent to the entry, and for how long it has been behind.
type sentRecords struct {
	position int64
	sentAt   time.Time
	// expectedPosition is the position of the replica at behindSince. The entry is behind until it reaches it.
	expectedPosition int64
	behindSince      time.Time
}

// entryIsBehind reports whether the entry, at its last known position, has been behind for recordsDelay.
func (p *sentRecords) entryIsBehind(entryPosition, replicaPosition int64, now time.Time) bool {
	if entryPosition >= p.expectedPosition {
		p.expectedPosition, p.behindSince = replicaPosition, now
	}

	return entryPosition < p.expectedPosition && now.Sub(p.behindSince) >= recordsDelay
}

// Session is an established connection to an entry.
type Session struct {
	links      *Links
	connection *quic.Conn
	// control is written by writeControl and read by readControl.
	control *quic.Stream
	entry   *wire.Entry
	// incarnation is that of the worker in the Hello.
	incarnation uint64
	lease       Lease
	// entryPosition is the last known position of the entry.
	entryPosition atomic.Int64
	// lastContact is the time of the latest frame on the control stream or StartAck with a heartbeat, in ns of the wall
	// clock.
	lastContact atomic.Int64
	// heartbeatSequence is the number of the latest heartbeat, including those in replies to starts.
	heartbeatSequence atomic.Uint64
	// lastRenewal is the time of the latest heartbeat, in ns since clockOrigin.
	lastRenewal atomic.Int64
	// leavingRequested requests a Leaving frame. Its buffer has one element.
	leavingRequested chan struct{}
	// positionChanged signals that the position of the entry was updated. Its buffer has one element.
	positionChanged chan struct{}
}

func newSession(l *Links, c *quic.Conn, control *quic.Stream, incarnation uint64, w *wire.Welcome) *Session {
	s := &Session{
		links: l, connection: c, control: control, entry: w.GetEntry(), incarnation: incarnation,
		leavingRequested: make(chan struct{}, 1), positionChanged: make(chan struct{}, 1),
	}
	s.entryPosition.Store(w.GetPosition())

	return s
}

// Entry returns the entry's name and address.
func (s *Session) Entry() (name, address string) { return s.entry.GetName(), s.entry.GetAddress() }

// Lease returns the lease epoch and whether the lease is granted.
func (s *Session) Lease() (epoch uint64, granted bool) { return s.lease.Epoch(uptime.Now()) }

func (s *Session) requestLeavingFrame() {
	select {
	case s.leavingRequested <- struct{}{}:
	default:
	}
}

// serve serves the connection until it ends. Tasks that were started on it continue.
func (s *Session) serve(ctx context.Context) error {
	defer s.lease.Revoke()

	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)

	go (&controlReader{s, cancel}).run()
	go (&acceptor{s, cancel}).run(ctx)

	err := s.writeControl(ctx)
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}

	return err
}

// writeControl sends heartbeats, records that the entry does not have and the Leaving frame on the control stream. It
// returns an error if the entry is unresponsive.
func (s *Session) writeControl(ctx context.Context) error {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()

	lastChange := time.Now()
	lastSeen := s.lastContact.Load()

	var sent sentRecords

	for due := true; ; {
		if due || time.Since(s.lastRenewalTime()) >= heartbeatInterval {
			if err := s.sendHeartbeat(); err != nil {
				return err
			}
		}

		if err := s.sendMissingRecords(&sent); err != nil {
			return err
		}

		if h := s.lastContact.Load(); h != lastSeen {
			lastSeen, lastChange = h, time.Now()
		} else if time.Since(lastChange) > unresponsiveTimeout {
			s.connection.CloseUnresponsive("entry unresponsive")

			return merry.Errorf("no acknowledgement from the entry for %s; closed the connection", unresponsiveTimeout)
		}

		var err error
		if due, err = s.waitForCheck(ctx, ticker.C, &sent); err != nil {
			return err
		}
	}
}

// lastRenewalTime returns the time of the latest heartbeat.
func (s *Session) lastRenewalTime() time.Time {
	return clockOrigin.Add(time.Duration(s.lastRenewal.Load()))
}

// recordHeartbeat numbers a heartbeat that is about to be sent. The lease is counted from before the heartbeat is
// sent, so that it never lasts longer than the entry may assume.
func (s *Session) recordHeartbeat() (sequence, epoch uint64) {
	now := uptime.Now()
	sequence = s.heartbeatSequence.Add(1)
	s.lastRenewal.Store(int64(time.Since(clockOrigin)))

	return sequence, s.lease.RecordHeartbeat(sequence, now)
}

// recordAcknowledgement processes the acknowledgement of a heartbeat.
func (s *Session) recordAcknowledgement(sequence, epoch uint64, position int64) {
	s.lastContact.Store(time.Now().UnixNano())
	s.lease.Acknowledge(sequence, epoch, uptime.Now())
	s.entryPosition.Store(position)

	select {
	case s.positionChanged <- struct{}{}:
	default:
	}
}

// waitForCheck waits for the next check. In the meantime it sends missing records when the position of the entry
// changes, and a Leaving frame when one is requested. The latter makes a heartbeat due at once.
func (s *Session) waitForCheck(ctx context.Context, tick <-chan time.Time, sent *sentRecords) (due bool, err error) {
	for {
		select {
		case <-ctx.Done():
			return false, ctx.Err()
		case <-tick:
			return false, nil
		case <-s.positionChanged:
			if err := s.sendMissingRecords(sent); err != nil {
				return false, err
			}
		case <-s.leavingRequested:
			f := &wire.Frame{}
			f.SetLeaving(&wire.Leaving{})

			return true, s.control.Send(f)
		}
	}
}

func (s *Session) sendHeartbeat() error {
	h := &wire.Heartbeat{}
	h.SetLoad(s.links.table.Load())

	state := s.links.replica.State()
	h.SetPosition(state.Position())

	if offset, registered := state.Registered(s.links.identity.Name(), s.incarnation); registered {
		h.SetRegisteredPlusOne(offset + 1)
	}

	sequence, epoch := s.recordHeartbeat()
	h.SetSequence(sequence)
	h.SetLeaseEpoch(epoch)

	f := &wire.Frame{}
	f.SetHeartbeat(h)

	return s.control.Send(f)
}

// sendMissingRecords sends the records that the entry does not have. Records that were already sent are sent again only
// after recordsResendInterval.
func (s *Session) sendMissingRecords(sent *sentRecords) error {
	replicaPosition, entryPosition := s.links.replica.State().Position(), s.entryPosition.Load()
	if !sent.entryIsBehind(entryPosition, replicaPosition, time.Now()) ||
		replicaPosition <= sent.position && time.Since(sent.sentAt) < recordsResendInterval {
		return nil
	}

	records := s.links.replica.RecordsSince(entryPosition)
	if records == nil {
		return nil
	}

	sent.position, sent.sentAt = records.GetThrough(), time.Now()

	f := &wire.Frame{}
	f.SetRecords(records)

	return s.control.Send(f)
}

// controlReader reads the control stream.
type controlReader struct {
	session *Session
	// endSession ends the session with an error as the reason.
	endSession context.CancelCauseFunc
}

func (l *controlReader) run() { l.endSession(l.session.readControl()) }

func (s *Session) readControl() error {
	for {
		f, err := s.control.Receive()
		if err != nil {
			return err
		}

		s.lastContact.Store(time.Now().UnixNano())

		switch f.WhichBody() {
		case wire.Frame_HeartbeatAck_case:
			a := f.GetHeartbeatAck()
			s.recordAcknowledgement(a.GetSequence(), a.GetLeaseEpoch(), a.GetPosition())
		case wire.Frame_Records_case:
			if err := s.links.replica.ApplyPeerRecords(f.GetRecords()); err != nil {
				s.links.log.Warn().Err(err).Str("event", "records_refused").Str("entry", s.entry.GetName()).
					Msg("records of an entry cannot be applied and are skipped")
			}
		default:
			return merry.New("entry sent a frame other than HeartbeatAck and Records on the control stream")
		}
	}
}
