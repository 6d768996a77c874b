package peer

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"
	"google.golang.org/protobuf/proto"

	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
)

const (
	// maxHandoverPartBytes bounds one frame of a handover, far below the transport's limit of 64 MB. Only a frame with a
	// single larger submission exceeds it.
	maxHandoverPartBytes = 8 << 20
	// maxSubmissionBytes bounds one submission, so that it fits into a frame. A larger one is left out of the handover and
	// is later resolved as one whose home is lost.
	maxSubmissionBytes = 48 << 20
	// handoverTimeout bounds the transfer to one successor.
	handoverTimeout = 10 * time.Second
	// departureTimeout bounds the notification of all peers; they also learn of the departure from the log.
	departureTimeout = time.Second
)

// Handover transfers the submissions to the first connected entry that accepts them, and returns that entry.
func (p *Peers) Handover(ctx context.Context, submissions []*wire.HeldSubmission) (*wire.Entry, bool) {
	for _, l := range p.allLinks() {
		c, e := l.connection()
		if c == nil || ctx.Err() != nil {
			continue
		}

		err := l.handover(ctx, submissions)
		if err == nil {
			p.log.Info().Str("event", "handed_over").Str("successor", e.GetName()).Int("submissions", len(submissions)).
				Msg("handed the submissions over to the successor")

			return e, true
		}

		p.log.Warn().Str("event", "handover_refused").Str("successor", e.GetName()).Err(err).
			Msg("handover to the entry failed; trying the next connected entry")
	}

	return nil, false
}

func (l *link) handover(ctx context.Context, submissions []*wire.HeldSubmission) error {
	c, _ := l.connection()
	if c == nil {
		return merry.New("no connection to the entry")
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

// splitSubmissions returns the frames of a handover: at least one, with the last one marked.
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

// receiveHandover imports the submissions of an entry that leaves. They are used only once a Departed message or a
// record in the log names this entry as the successor, so an incomplete transfer has no effect.
func (s *incomingStream) receiveHandover(h *wire.Handover) error {
	for {
		if reason := s.importPart(h); reason != "" {
			return s.sendHandoverReply(reason)
		}

		if h.GetLast() {
			return s.sendHandoverReply("")
		}

		f, err := s.stream.Receive()
		if err != nil {
			return err
		}

		h = f.GetHandover()
	}
}

// importPart imports one part of a handover. It returns the reason for a refusal, or an empty string.
func (s *incomingStream) importPart(h *wire.Handover) string {
	s.peers.handoverLock.RLock()
	defer s.peers.handoverLock.RUnlock()

	if s.peers.leaving {
		return "this entry is leaving too"
	}

	if reason := s.handoverRefusal(h.GetFrom()); reason != "" {
		return reason
	}

	s.peers.importer.Import(h.GetSubmissions())

	return ""
}

// handoverRefusal returns why a handover from the entry is refused, or an empty string. An entry that was replaced
// while it was paused must not hand over, since its submissions may have been closed as lost.
func (s *incomingStream) handoverRefusal(from *wire.Entry) string {
	if from.GetIncarnation() == 0 || from.GetIncarnation() != s.from.GetIncarnation() {
		return "the handover is not from the entry at the other end"
	}

	if _, left := s.peers.Successor(from.GetIncarnation()); left {
		return "this incarnation has left"
	}

	for _, e := range s.peers.replica.State().Entries() {
		if e.Name() == from.GetName() && e.Incarnation() != from.GetIncarnation() {
			return "another incarnation has taken its place"
		}
	}

	return ""
}

func (s *incomingStream) sendHandoverReply(refusal string) error {
	r := &wire.HandoverReply{}
	r.SetOk(refusal == "")
	r.SetMessage(refusal)

	f := &wire.Frame{}
	f.SetHandoverReply(r)

	return s.stream.Send(f)
}

// AnnounceDeparture notifies all connected entries that this entry leaves, and which entry took over its submissions,
// if any.
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
		d.link.peers.log.Warn().Str("event", "departure_untold").Str("peer", e.GetName()).Err(err).
			Msg("entry did not confirm the departure notice; it learns of the departure from the log")
	}
}
