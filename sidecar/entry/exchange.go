package entry

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/skylarkweir/skylarkweir/weir/connection/quic"
	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
)

// firstFrameTimeout limits the wait for the first frame of an exchange, which has the request of the entry.
const firstFrameTimeout = 10 * time.Second

// acceptor accepts the exchanges that the entry starts.
type acceptor struct {
	session *Session
	// endSession ends the session with an error as the reason.
	endSession context.CancelCauseFunc
}

func (a *acceptor) run(ctx context.Context) {
	for {
		stream, err := a.session.connection.Accept(ctx)
		if err != nil {
			a.endSession(err)

			return
		}

		go (&exchange{a.session, stream}).run(ctx)
	}
}

// exchange is a stream that the entry opened for one request.
type exchange struct {
	session *Session
	stream  *quic.Stream
}

func (e *exchange) run(ctx context.Context) {
	s, stream := e.session, e.stream
	stream.SetDeadline(time.Now().Add(firstFrameTimeout))

	f, err := stream.Receive()
	if err != nil {
		stream.Reset()
		return
	}

	stream.SetDeadline(time.Time{})

	switch f.WhichBody() {
	case wire.Frame_Start_case:
		err = s.handleStart(ctx, stream, f.GetStart())
	case wire.Frame_Close_case:
		err = s.handleClose(stream, f.GetClose())
	default:
		err = merry.New("first frame of an exchange is neither Start nor Close; resetting the stream")
	}

	if err != nil {
		s.links.log.Debug().Err(err).Str("event", "exchange_ended").Str("entry", s.entry.GetName()).
			Msg("exchange with an entry ended early")
		stream.Reset()

		return
	}

	stream.Close()
}

func (s *Session) handleClose(stream *quic.Stream, c *wire.Close) error {
	// The incarnation is read before the table. If it changes in between, the reply still contains all tasks of the
	// incarnation that it names, because the table also returns the tasks of older incarnations.
	r := &wire.CloseReply{}
	r.SetIncarnation(s.links.identity.Incarnation())

	closed, err := s.links.table.Close(c.GetSubmissions(), c.GetCancel(), time.Duration(c.GetKeepMs())*time.Millisecond)
	if err != nil {
		return err
	}

	r.SetClosed(closed)

	f := &wire.Frame{}
	f.SetCloseReply(r)

	return stream.Send(f)
}
