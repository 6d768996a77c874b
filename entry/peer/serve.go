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

// maxAnswer is the largest answer that fits into a frame of the transport, 64 MB.
const maxAnswerBytes = 60 << 20

// writtenWait bounds how long a home waits to learn whether the caller has its answer.
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

	// Entries learn of each other this way while the log is down.
	p.useLink(hello.GetEntry().GetAddress())

	for {
		s, err := c.Accept(ctx)
		if err != nil {
			return
		}

		x := &incomingStream{peers: p, from: hello.GetEntry(), stream: s}
		go x.serve(ctx)
	}
}

// exchange is one exchange that another entry has started.
type incomingStream struct {
	peers  *Peers
	from   *wire.Entry
	stream *quic.Stream
}

func (x *incomingStream) serve(ctx context.Context) {
	defer x.stream.Close()

	x.stream.SetDeadline(time.Now().Add(streamTimeout))

	f, err := x.stream.Receive()
	if err != nil {
		return
	}

	switch f.WhichBody() {
	case wire.Frame_Forward_case:
		x.serveForward(ctx, f.GetForward())
	case wire.Frame_Exchange_case:
		err = x.answerExchange(f.GetExchange())
	case wire.Frame_Handover_case:
		err = x.receiveHandover(f.GetHandover())
	case wire.Frame_Departed_case:
		x.peers.recordDeparture(f.GetDeparted())

		reply := &wire.Frame{}
		reply.SetDepartedReply(&wire.DepartedReply{})
		err = x.stream.Send(reply)
	default:
		err = merry.Errorf("an exchange between entries starts with frame %v", f.WhichBody())
	}

	if err != nil {
		x.peers.log.Warn().Str("event", "exchange_failed").Str("peer", x.from.GetName()).Err(err).Msg("an exchange of another entry failed")
	}
}

func (x *incomingStream) serveForward(ctx context.Context, f *wire.Forward) {
	x.peers.activeForwards.Add(1)
	defer x.peers.activeForwards.Add(-1)

	answer := &wire.ForwardReply{}

	r, isHome := x.peers.home.Serve(ctx, f)
	if len(r.Body()) > maxAnswerBytes {
		// A frame that the other entry cannot read would look like the loss of this home.
		err := fault.New(fault.TooLarge, "the answer has %d bytes, other entries than the home pass on at most %d", len(r.Body()), maxAnswerBytes)
		r = caller.Refuse(fault.WithRan(err, fault.RanAll), f.GetSubmission())
	}

	answer.SetNotHome(!isHome)
	answer.SetStatus(int32(r.Status())) //nolint:gosec // an HTTP status
	answer.SetBody(r.Body())

	reply := &wire.Frame{}
	reply.SetForwardReply(answer)

	x.stream.SetDeadline(time.Now().Add(streamTimeout))

	if err := x.stream.Send(reply); err != nil {
		r.Written(false)

		return
	}

	_, err := x.stream.Receive()
	r.Written(errors.Is(err, io.EOF))
}

func (x *incomingStream) answerExchange(request *wire.Exchange) error {
	if l := x.peers.useLink(request.GetEntry().GetAddress()); l != nil {
		l.markUsed()
	}

	reply := x.peers.newExchange(x.peers.workerLoss.ConfirmUnresponsive(request.GetSilentWorkers()))

	f := &wire.Frame{}
	f.SetExchange(reply)

	if err := x.stream.Send(f); err != nil {
		return err
	}

	return x.peers.syncRecords(x.stream, reply.GetPosition(), request.GetPosition())
}

func (p *Peers) newExchange(unresponsive []string) *wire.Exchange {
	e := &wire.Exchange{}
	e.SetEntry(p.self)
	e.SetPosition(p.replica.State().Position())
	e.SetSilentWorkers(unresponsive)

	return e
}

// level passes the records that one side lacks: the side that is ahead sends them and the other one receives.
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
