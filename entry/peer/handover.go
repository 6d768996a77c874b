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
	handoverPart = 8 << 20
	// maxHeld is the largest submission that fits into a frame. A larger one is left out, and its home is lost then.
	maxHeld = 48 << 20
	// handoverWait bounds the transfer to one successor.
	handoverWait = 10 * time.Second
	// departWait bounds telling one peer; peers also learn it from the log.
	departWait = time.Second
)

// Handover transfers the submissions to the first reachable entry that takes them, and returns it.
func (p *Peers) Handover(ctx context.Context, held []*wire.HeldSubmission) (*wire.Entry, bool) {
	for _, l := range p.all() {
		c, e := l.current()
		if c == nil || ctx.Err() != nil {
			continue
		}

		err := l.handover(ctx, held)
		if err == nil {
			p.log.Info().Str("event", "handed_over").Str("successor", e.GetName()).Int("submissions", len(held)).
				Msg("the submissions are at the successor")

			return e, true
		}

		p.log.Warn().Str("event", "handover_refused").Str("successor", e.GetName()).Err(err).Msg("an entry does not take the submissions")
	}

	return nil, false
}

func (l *link) handover(ctx context.Context, held []*wire.HeldSubmission) error {
	c, _ := l.current()
	if c == nil {
		return merry.New("the connection has ended")
	}

	s, err := c.Open(ctx)
	if err != nil {
		return err
	}
	defer s.Close()

	s.SetDeadline(time.Now().Add(handoverWait))

	for _, part := range parts(held) {
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
func parts(held []*wire.HeldSubmission) []*wire.Handover {
	last := &wire.Handover{}
	all := []*wire.Handover{last}
	size := 0

	for _, h := range held {
		n := proto.Size(h)
		if n > maxHeld {
			continue
		}

		if size > 0 && size+n > handoverPart {
			last = &wire.Handover{}
			all = append(all, last)
			size = 0
		}

		last.SetSubmissions(append(last.GetSubmissions(), h))

		size += n
	}

	last.SetLast(true)

	return all
}

// handover takes the submissions of an entry that leaves. They are consulted once a Departed message or a record in
// the log names this entry as the successor, so a transfer that breaks off has no effect.
func (x *exchange) handover(h *wire.Handover) error {
	for {
		if reason := x.take(h); reason != "" {
			return x.handoverReply(reason)
		}

		if h.GetLast() {
			return x.handoverReply("")
		}

		f, err := x.stream.Receive()
		if err != nil {
			return err
		}

		h = f.GetHandover()
	}
}

// take imports one part, or returns why not.
func (x *exchange) take(h *wire.Handover) string {
	x.peers.gate.RLock()
	defer x.peers.gate.RUnlock()

	if x.peers.leaving {
		return "this entry is leaving too"
	}

	if reason := x.refusal(h.GetFrom()); reason != "" {
		return reason
	}

	x.peers.importer.Import(h.GetSubmissions())

	return ""
}

// refusal returns why the submissions of the entry are not taken over, or an empty text. An entry that was paused
// until it was replaced must not hand over, since its submissions may have been closed as lost.
func (x *exchange) refusal(from *wire.Entry) string {
	if from.GetIncarnation() == 0 || from.GetIncarnation() != x.from.GetIncarnation() {
		return "the handover is not from the entry at the other end"
	}

	if _, left := x.peers.Successor(from.GetIncarnation()); left {
		return "this incarnation has left"
	}

	for _, e := range x.peers.book.State().Entries() {
		if e.Name() == from.GetName() && e.Incarnation() != from.GetIncarnation() {
			return "another incarnation has taken its place"
		}
	}

	return ""
}

func (x *exchange) handoverReply(refusal string) error {
	r := &wire.HandoverReply{}
	r.SetOk(refusal == "")
	r.SetMessage(refusal)

	f := &wire.Frame{}
	f.SetHandoverReply(r)

	return x.stream.Send(f)
}

// Depart tells all reachable entries that this entry leaves, and which one took over its submissions, if any.
func (p *Peers) Depart(ctx context.Context, successor *wire.Entry) {
	ctx, stop := context.WithTimeout(ctx, departWait)
	defer stop()

	done := make(chan struct{})
	links := p.all()

	for _, l := range links {
		d := &departure{link: l, successor: successor, done: done}
		go d.run(ctx)
	}

	for range links {
		<-done
	}
}

type departure struct {
	link      *link
	successor *wire.Entry
	done      chan<- struct{}
}

func (d *departure) run(ctx context.Context) {
	defer func() { d.done <- struct{}{} }()

	c, e := d.link.current()
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
