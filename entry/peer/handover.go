package peer

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"
	"google.golang.org/protobuf/proto"

	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
)

const (
	// handoverPart bounds the size of one frame of a handover, far below the transport's limit of 64 MB.
	maxHandoverPartBytes = 8 << 20
	// maxHeld is the largest submission that fits into a frame. A larger one is left out, and its home is lost then.
	maxSubmissionBytes = 48 << 20
	// handoverWait bounds the transfer to one successor.
	handoverTimeout = 10 * time.Second
	// departWait bounds telling one peer; peers also learn it from the log.
	departureTimeout = time.Second
)

// Handover transfers the submissions to the first reachable entry that takes them, and returns it.
func (p *Peers) Handover(ctx context.Context, submissions []*wire.HeldSubmission) (*wire.Entry, bool) {
	for _, l := range p.allLinks() {
		c, e := l.connection()
		if c == nil || ctx.Err() != nil {
			continue
		}

		err := l.handover(ctx, submissions)
		if err == nil {
			p.log.Info().Str("event", "handed_over").Str("successor", e.GetName()).Int("submissions", len(submissions)).
				Msg("the submissions are at the successor")

			return e, true
		}

		p.log.Warn().Str("event", "handover_refused").Str("successor", e.GetName()).Err(err).Msg("an entry does not take the submissions")
	}

	return nil, false
}

func (l *link) handover(ctx context.Context, submissions []*wire.HeldSubmission) error {
	c, _ := l.connection()
	if c == nil {
		return merry.New("the connection has ended")
	}

	s, err := c.Open(ctx)
	if err != nil {
		return err
	}
	defer s.Close()

	s.SetDeadline(time.Now().Add(handoverTimeout))

	for _, part := range splitSubmissions(submissions) {
		part.SetFrom(l.peers.self)

		f := &wire.Frame{}
		f.SetHandover(part)

		if err := s.Send(f); err != nil {
			return err
		}
	}

	f, err := s.Receive()
	if err != nil {
		return err
	}

	if r := f.GetHandoverReply(); !r.GetOk() {
		return merry.Errorf("refused: %s", r.GetMessage())
	}

	return nil
}

// parts returns at least one part, and marks the last one.
func splitSubmissions(submissions []*wire.HeldSubmission) []*wire.Handover {
	part := &wire.Handover{}
	parts := []*wire.Handover{part}
	partBytes := 0

	for _, h := range submissions {
		n := proto.Size(h)
		if n > maxSubmissionBytes {
			continue
		}

		if partBytes > 0 && partBytes+n > maxHandoverPartBytes {
			part = &wire.Handover{}
			parts = append(parts, part)
			partBytes = 0
		}

		part.SetSubmissions(append(part.GetSubmissions(), h))

		partBytes += n
	}

	part.SetLast(true)

	return parts
}

// handover takes the submissions of an entry that leaves. They are consulted once a Departed message or a record in
// the log names this entry as the successor, so a transfer that breaks off has no effect.
func (x *incomingStream) receiveHandover(h *wire.Handover) error {
	for {
		if reason := x.importPart(h); reason != "" {
			return x.sendHandoverReply(reason)
		}

		if h.GetLast() {
			return x.sendHandoverReply("")
		}

		f, err := x.stream.Receive()
		if err != nil {
			return err
		}

		h = f.GetHandover()
	}
}

// take imports one part, or returns why not.
func (x *incomingStream) importPart(h *wire.Handover) string {
	x.peers.handoverLock.RLock()
	defer x.peers.handoverLock.RUnlock()

	if x.peers.leaving {
		return "this entry is leaving too"
	}

	if reason := x.handoverRefusal(h.GetFrom()); reason != "" {
		return reason
	}

	x.peers.importer.Import(h.GetSubmissions())

	return ""
}

// refusal returns why the submissions of the entry are not taken over, or an empty text. An entry that was paused
// until it was replaced must not hand over, since its submissions may have been closed as lost.
func (x *incomingStream) handoverRefusal(from *wire.Entry) string {
	if from.GetIncarnation() == 0 || from.GetIncarnation() != x.from.GetIncarnation() {
		return "the handover is not from the entry at the other end"
	}

	if _, left := x.peers.Successor(from.GetIncarnation()); left {
		return "this incarnation has left"
	}

	for _, e := range x.peers.replica.State().Entries() {
		if e.Name() == from.GetName() && e.Incarnation() != from.GetIncarnation() {
			return "another incarnation has taken its place"
		}
	}

	return ""
}

func (x *incomingStream) sendHandoverReply(refusal string) error {
	r := &wire.HandoverReply{}
	r.SetOk(refusal == "")
	r.SetMessage(refusal)

	f := &wire.Frame{}
	f.SetHandoverReply(r)

	return x.stream.Send(f)
}

// Depart tells all reachable entries that this entry leaves, and which one took over its submissions, if any.
func (p *Peers) AnnounceDeparture(ctx context.Context, successor *wire.Entry) {
	ctx, stop := context.WithTimeout(ctx, departureTimeout)
	defer stop()

	done := make(chan struct{})
	links := p.allLinks()

	for _, l := range links {
		d := &departureNotice{link: l, successor: successor, done: done}
		go d.send(ctx)
	}

	for range links {
		<-done
	}
}

type departureNotice struct {
	link      *link
	successor *wire.Entry
	done      chan<- struct{}
}

func (d *departureNotice) send(ctx context.Context) {
	defer func() { d.done <- struct{}{} }()

	c, e := d.link.connection()
	if c == nil {
		return
	}

	m := &wire.Departed{}
	m.SetEntry(d.link.peers.self)

	if d.successor != nil {
		m.SetSuccessor(d.successor)
	}

	f := &wire.Frame{}
	f.SetDeparted(m)

	if _, err := c.RoundTrip(ctx, f); err != nil {
		d.link.peers.log.Warn().Str("event", "departure_untold").Str("peer", e.GetName()).Err(err).Msg("an entry was not told of the departure")
	}
}
