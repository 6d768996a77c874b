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
	silence = 6 * time.Second
	// passAgain is the time after which records are sent again that the entry has not applied.
	passAgain = 5 * time.Second
)

// origin is the zero of times that are kept as numbers, which so follow the monotonic clock.
var origin = time.Now()

// passed is what was sent to the entry last.
type passed struct {
	position int64
	at       time.Time
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
	position atomic.Int64
	// heard is the time of the latest frame on the control stream or StartAck, in ns of the wall clock.
	heard atomic.Int64
	// sequence numbers the heartbeats, those that replies carry included.
	sequence atomic.Uint64
	// renewal is the time of the latest of them, in ns since origin.
	renewal atomic.Int64
	// leaving asks for a Leaving frame. It has room for one element.
	leaving chan struct{}
	// wake asks for a look at the positions. It has room for one element.
	wake chan struct{}
}

func newSession(l *Links, c *quic.Conn, control *quic.Stream, incarnation uint64, w *wire.Welcome) *Session {
	s := &Session{
		links: l, connection: c, control: control, entry: w.GetEntry(), incarnation: incarnation,
		leaving: make(chan struct{}, 1), wake: make(chan struct{}, 1),
	}
	s.position.Store(w.GetPosition())

	return s
}

// Entry returns the entry's name and address.
func (s *Session) Entry() (name, address string) { return s.entry.GetName(), s.entry.GetAddress() }

// Lease returns the lease epoch and whether it is granted.
func (s *Session) Lease() (epoch uint64, granted bool) { return s.lease.Epoch(time.Now()) }

func (s *Session) leave() {
	select {
	case s.leaving <- struct{}{}:
	default:
	}
}

// run serves the connection until it ends. Tasks that were started on it go on.
func (s *Session) run(ctx context.Context) error {
	defer s.lease.Revoke()

	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)

	go (&listener{s, cancel}).run()
	go (&acceptor{s, cancel}).run(ctx)

	err := s.heartbeats(ctx)
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}

	return err
}

// heartbeats writes to the control stream: heartbeats and the records that the entry lacks.
func (s *Session) heartbeats(ctx context.Context) error {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()

	last := time.Now()
	acknowledged := s.heard.Load()

	var through passed

	for due := true; ; {
		if due || time.Since(s.renewed()) >= heartbeatInterval {
			if err := s.beat(); err != nil {
				return err
			}
		}

		if err := s.pass(&through); err != nil {
			return err
		}

		if h := s.heard.Load(); h != acknowledged {
			acknowledged, last = h, time.Now()
		} else if time.Since(last) > silence {
			return merry.Errorf("entry is silent for %s", silence)
		}

		var err error
		if due, err = s.pause(ctx, ticker.C, &through); err != nil {
			return err
		}
	}
}

// renewed returns when the lease was last asked to be renewed.
func (s *Session) renewed() time.Time { return origin.Add(time.Duration(s.renewal.Load())) }

// send numbers a heartbeat that is about to be sent. The lease counts from before the sending, so that it never outlasts
// what the entry may assume.
func (s *Session) send() (sequence, epoch uint64) {
	now := time.Now()
	sequence = s.sequence.Add(1)
	s.renewal.Store(int64(now.Sub(origin)))

	return sequence, s.lease.Send(sequence, now)
}

// acknowledged takes the acknowledgement of a heartbeat.
func (s *Session) acknowledged(sequence, epoch uint64, position int64) {
	now := time.Now()
	s.heard.Store(now.UnixNano())
	s.lease.Acknowledge(sequence, epoch, now)
	s.position.Store(position)

	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// pause waits for the next check and passes records on in the meantime. A departure makes a heartbeat due at once.
func (s *Session) pause(ctx context.Context, tick <-chan time.Time, through *passed) (due bool, err error) {
	for {
		select {
		case <-ctx.Done():
			return false, ctx.Err()
		case <-tick:
			return false, nil
		case <-s.wake:
			if err := s.pass(through); err != nil {
				return false, err
			}
		case <-s.leaving:
			f := &wire.Frame{}
			f.SetLeaving(&wire.Leaving{})

			return true, s.control.Send(f)
		}
	}
}

func (s *Session) beat() error {
	h := &wire.Heartbeat{}
	h.SetLoad(s.links.table.Load())

	state := s.links.book.State()
	h.SetPosition(state.Position())

	if offset, registered := state.Registered(s.links.identity.Name(), s.incarnation); registered {
		h.SetRegisteredPlusOne(offset + 1)
	}

	sequence, epoch := s.send()
	h.SetSequence(sequence)
	h.SetLeaseEpoch(epoch)

	f := &wire.Frame{}
	f.SetHeartbeat(h)

	return s.control.Send(f)
}

// pass sends the records that the entry lacks and that were not sent to it yet.
func (s *Session) pass(through *passed) error {
	position := s.links.book.State().Position()
	if position <= s.position.Load() || position <= through.position && time.Since(through.at) < passAgain {
		return nil
	}

	records := s.links.book.Since(s.position.Load())
	if records == nil {
		return nil
	}

	*through = passed{records.GetThrough(), time.Now()}

	f := &wire.Frame{}
	f.SetRecords(records)

	return s.control.Send(f)
}

// listener reads the control stream.
type listener struct {
	session *Session
	// end ends the session with the reason.
	end context.CancelCauseFunc
}

func (l *listener) run() { l.end(l.session.listen()) }

func (s *Session) listen() error {
	for {
		f, err := s.control.Receive()
		if err != nil {
			return err
		}

		s.heard.Store(time.Now().UnixNano())

		switch f.WhichBody() {
		case wire.Frame_HeartbeatAck_case:
			a := f.GetHeartbeatAck()
			s.acknowledged(a.GetSequence(), a.GetLeaseEpoch(), a.GetPosition())
		case wire.Frame_Records_case:
			if err := s.links.book.Receive(f.GetRecords()); err != nil {
				s.links.log.Warn().Err(err).Str("event", "records_refused").Str("entry", s.entry.GetName()).Msg("")
			}
		default:
			return merry.New("entry sent a frame that the control stream does not carry")
		}
	}
}
