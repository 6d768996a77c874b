package entry

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/skylarkweir/skylarkweir/weir/connection/quic"
	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
)

const (
	// heartbeatInterval is the longest time between two renewals of the lease.
	heartbeatInterval = time.Second
	// checkInterval is how often it is checked whether a heartbeat is due. With heartbeatInterval it stays well below
	// the 2 s after which an entry takes a worker for silent.
	checkInterval = 250 * time.Millisecond
	// renewInterval is the shortest time between two renewals by replies.
	renewInterval = 500 * time.Millisecond
	// silence is the time without an acknowledgement after which the connection is given up. It is longer than a
	// lease, so that a short pause of the entry costs an epoch and no connection.
	unresponsiveTimeout = 6 * time.Second
	// passDelay is how long an entry has to be behind before records are sent to it. It is longer than heartbeatInterval,
	// so that the entry's position was acknowledged in between: entries mostly have the records already, and without
	// the delay each sidecar sent each new agreement back to all other entries.
	recordsDelay = 1500 * time.Millisecond
	// passAgain is the time after which records are sent again that the entry has not applied.
	recordsResendInterval = 5 * time.Second
)

// origin is the zero of times that are kept as numbers, which so follow the monotonic clock.
var clockOrigin = time.Now()

// passed is what was sent to the entry last.
type sentRecords struct {
	position int64
	sentAt   time.Time
	// awaited is a position that the entry was behind at since.
	expectedPosition int64
	behindSince      time.Time
}

// late tells whether the entry at its position has been behind the present one for passDelay.
func (p *sentRecords) entryIsBehind(entry, replica int64, now time.Time) bool {
	if entry >= p.expectedPosition {
		p.expectedPosition, p.behindSince = replica, now
	}

	return entry < p.expectedPosition && now.Sub(p.behindSince) >= recordsDelay
}

// Session is an established connection to an entry.
type Session struct {
	links      *Links
	connection *quic.Conn
	// control is written by heartbeats and read by listen.
	control *quic.Stream
	entry   *wire.Entry
	// incarnation is the one of the Hello.
	incarnation uint64
	lease       Lease
	// position is that of the entry, as far as it is known.
	entryPosition atomic.Int64
	// heard is the time of the latest frame on the control stream or StartAck, in ns of the wall clock.
	lastContact atomic.Int64
	// sequence numbers the heartbeats, those that replies carry included.
	heartbeatSequence atomic.Uint64
	// renewal is the time of the latest of them, in ns since origin.
	lastRenewal atomic.Int64
	// leaving asks for a Leaving frame. It has room for one element.
	leavingRequested chan struct{}
	// wake asks for a look at the positions. It has room for one element.
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

// Lease returns the lease epoch and whether it is granted.
func (s *Session) Lease() (epoch uint64, granted bool) { return s.lease.Epoch(time.Now()) }

func (s *Session) requestLeavingFrame() {
	select {
	case s.leavingRequested <- struct{}{}:
	default:
	}
}

// run serves the connection until it ends. Tasks that were started on it go on.
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

// heartbeats writes to the control stream: heartbeats and the records that the entry lacks.
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
			return merry.Errorf("entry is silent for %s", unresponsiveTimeout)
		}

		var err error
		if due, err = s.waitForCheck(ctx, ticker.C, &sent); err != nil {
			return err
		}
	}
}

// renewed returns when the lease was last asked to be renewed.
func (s *Session) lastRenewalTime() time.Time {
	return clockOrigin.Add(time.Duration(s.lastRenewal.Load()))
}

// send numbers a heartbeat that is about to be sent. The lease counts from before the sending, so that it never outlasts
// what the entry may assume.
func (s *Session) recordHeartbeat() (sequence, epoch uint64) {
	now := time.Now()
	sequence = s.heartbeatSequence.Add(1)
	s.lastRenewal.Store(int64(now.Sub(clockOrigin)))

	return sequence, s.lease.RecordHeartbeat(sequence, now)
}

// acknowledged takes the acknowledgement of a heartbeat.
func (s *Session) recordAcknowledgement(sequence, epoch uint64, position int64) {
	now := time.Now()
	s.lastContact.Store(now.UnixNano())
	s.lease.Acknowledge(sequence, epoch, now)
	s.entryPosition.Store(position)

	select {
	case s.positionChanged <- struct{}{}:
	default:
	}
}

// pause waits for the next check and passes records on in the meantime. A departure makes a heartbeat due at once.
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

// pass sends the records that the entry lacks and that were not sent to it yet.
func (s *Session) sendMissingRecords(sent *sentRecords) error {
	position, entry := s.links.replica.State().Position(), s.entryPosition.Load()
	if !sent.entryIsBehind(entry, position, time.Now()) || position <= sent.position && time.Since(sent.sentAt) < recordsResendInterval {
		return nil
	}

	records := s.links.replica.RecordsSince(entry)
	if records == nil {
		return nil
	}

	sent.position, sent.sentAt = records.GetThrough(), time.Now()

	f := &wire.Frame{}
	f.SetRecords(records)

	return s.control.Send(f)
}

// listener reads the control stream.
type controlReader struct {
	session *Session
	// end ends the session with the reason.
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
				s.links.log.Warn().Err(err).Str("event", "records_refused").Str("entry", s.entry.GetName()).Msg("")
			}
		default:
			return merry.New("entry sent a frame that the control stream does not carry")
		}
	}
}
