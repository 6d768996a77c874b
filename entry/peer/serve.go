package peer

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/skylarkweir/skylarkweir/entry/caller"
	"github.com/skylarkweir/skylarkweir/weir/connection/quic"
	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
	"github.com/skylarkweir/skylarkweir/weir/request/fault"
)

// maxAnswerBytes bounds a forwarded answer, so that its frame stays within the transport's limit of 64 MB.
const maxAnswerBytes = 60 << 20

// streamTimeout bounds the exchange of frames on a stream that another entry opened. It starts anew when the home has
// executed a forward, and then bounds the wait to learn whether the caller has the answer.
const streamTimeout = 30 * time.Second

// Serve handles the connection of another entry until it ends.
func (p *Peers) Serve(ctx context.Context, c *quic.Conn, control *quic.Stream, hello *wire.Hello) {
	w := &wire.Welcome{}
	w.SetEntry(p.self)
	w.SetPosition(p.replica.State().Position())

	f := &wire.Frame{}
	f.SetWelcome(w)

	if err := control.Send(f); err != nil {
		return
	}

	// Connecting back lets entries learn of each other while the log is down.
	p.useLink(hello.GetEntry().GetAddress())

	for {
		s, err := c.Accept(ctx)
		if err != nil {
			return
		}

		in := &incomingStream{peers: p, from: hello.GetEntry(), stream: s}
		go in.serve(ctx)
	}
}

// incomingStream is a stream that another entry has opened.
type incomingStream struct {
	peers  *Peers
	from   *wire.Entry
	stream *quic.Stream
}

func (s *incomingStream) serve(ctx context.Context) {
	defer s.stream.Close()

	s.stream.SetDeadline(time.Now().Add(streamTimeout))

	f, err := s.stream.Receive()
	if err != nil {
		return
	}

	switch f.WhichBody() {
	case wire.Frame_Forward_case:
		s.serveForward(ctx, f.GetForward())
	case wire.Frame_Exchange_case:
		err = s.answerExchange(f.GetExchange())
	case wire.Frame_Handover_case:
		err = s.receiveHandover(f.GetHandover())
	case wire.Frame_Departed_case:
		s.peers.recordDeparture(f.GetDeparted())

		reply := &wire.Frame{}
		reply.SetDepartedReply(&wire.DepartedReply{})
		err = s.stream.Send(reply)
	default:
		err = merry.Errorf("unexpected first frame %v on a stream between entries", f.WhichBody())
	}

	if err != nil {
		s.peers.log.Warn().Str("event", "exchange_failed").Str("peer", s.from.GetName()).Err(err).
			Msg("a request of another entry failed; closing its stream")
	}
}

func (s *incomingStream) serveForward(ctx context.Context, f *wire.Forward) {
	s.peers.activeForwards.Add(1)
	defer s.peers.activeForwards.Add(-1)

	answer := &wire.ForwardReply{}

	r, isHome := s.peers.home.Serve(ctx, f)
	if len(r.Body()) > maxAnswerBytes {
		// The other entry could not read a larger frame and would treat this home as lost.
		err := fault.New(fault.TooLarge, "the answer has %d bytes, entries other than the home forward at most %d",
			len(r.Body()), maxAnswerBytes)
		r = caller.Refuse(fault.WithRan(err, fault.RanAll), f.GetSubmission())
	}

	answer.SetNotHome(!isHome)
	answer.SetStatus(int32(r.Status())) //nolint:gosec // an HTTP status
	answer.SetBody(r.Body())

	reply := &wire.Frame{}
	reply.SetForwardReply(answer)

	s.stream.SetDeadline(time.Now().Add(streamTimeout))

	if err := s.stream.Send(reply); err != nil {
		r.ReportDelivery(false)

		return
	}

	_, err := s.stream.Receive()
	r.ReportDelivery(errors.Is(err, io.EOF))
}

func (s *incomingStream) answerExchange(request *wire.Exchange) error {
	if l := s.peers.useLink(request.GetEntry().GetAddress()); l != nil {
		l.markUsed()
	}

	reply := s.peers.newExchange(s.peers.workerLoss.ConfirmUnresponsive(request.GetSilentWorkers()))

	f := &wire.Frame{}
	f.SetExchange(reply)

	if err := s.stream.Send(f); err != nil {
		return err
	}

	return s.peers.syncRecords(s.stream, reply.GetPosition(), request.GetPosition())
}

func (p *Peers) newExchange(unresponsive []string) *wire.Exchange {
	e := &wire.Exchange{}
	e.SetEntry(p.self)
	e.SetPosition(p.replica.State().Position())
	e.SetSilentWorkers(unresponsive)

	return e
}

// syncRecords transfers the records that one side lacks: the side with the higher position sends them.
func (p *Peers) syncRecords(s *quic.Stream, ownPosition, peerPosition int64) error {
	switch {
	case ownPosition > peerPosition:
		r := p.replica.RecordsSince(peerPosition)
		if r == nil {
			r = &wire.Records{}
		}

		f := &wire.Frame{}
		f.SetRecords(r)

		return s.Send(f)
	case ownPosition < peerPosition:
		f, err := s.Receive()
		if err != nil {
			return merry.Prepend(err, "receive records")
		}

		if r := f.GetRecords(); r.GetThrough() > ownPosition || len(r.GetSnapshot()) > 0 {
			return p.replica.ApplyPeerRecords(r)
		}

		return nil
	default:
		return nil
	}
}
