package quic

import (
	"bufio"
	"bytes"
	"context"
	"iter"
	"net"
	"time"

	"github.com/ansel1/merry/v2"
	quicgo "github.com/quic-go/quic-go"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
)

// maxFrameBytes bounds the size of a received frame.
const maxFrameBytes = 64 << 20

// Conn is a QUIC connection to another process.
type Conn struct {
	quic    *quicgo.Conn
	traffic *Traffic
	// node and socket have dialled the connection; they are nil if the peer has.
	node   *Node
	socket *socket
}

// Open opens a stream. The peer accepts it only after the first frame was sent on it.
func (c *Conn) Open(ctx context.Context) (*Stream, error) {
	s, err := c.quic.OpenStreamSync(ctx)
	if err != nil {
		return nil, merry.Prepend(err, "open stream")
	}

	return newStream(s, c.traffic), nil
}

// Accept waits for the next stream that the peer opens.
func (c *Conn) Accept(ctx context.Context) (*Stream, error) {
	s, err := c.quic.AcceptStream(ctx)
	if err != nil {
		return nil, merry.Prepend(err, "accept stream")
	}

	return newStream(s, c.traffic), nil
}

// RoundTrip sends one frame on a new stream and waits for one frame in reply.
func (c *Conn) RoundTrip(ctx context.Context, f *wire.Frame) (*wire.Frame, error) {
	s, err := c.Open(ctx)
	if err != nil {
		return nil, err
	}
	defer s.Close()

	stop := context.AfterFunc(ctx, s.Reset)
	defer stop()

	if err := s.Send(f); err != nil {
		return nil, err
	}

	return s.Receive()
}

// Done returns a channel that is closed when the connection has ended.
func (c *Conn) Done() <-chan struct{} { return c.quic.Context().Done() }

// Remote returns the address of the peer's socket.
func (c *Conn) Remote() net.Addr { return c.quic.RemoteAddr() }

// Close ends the connection and sends the reason to the peer.
func (c *Conn) Close(reason string) { _ = c.quic.CloseWithError(0, reason) }

// CloseUnresponsive ends a connection whose peer does not answer any more. If this process has dialled it, the next Dial
// uses another port, as the path to the peer may have gone silent for good while others work.
func (c *Conn) CloseUnresponsive(reason string) {
	if c.socket != nil && c.quic.Context().Err() == nil {
		c.node.replace(c.socket)
	}

	c.Close(reason)
}

// Stream carries one exchange of frames. Send and Receive may run concurrently, but each must not be called from several
// goroutines at once.
type Stream struct {
	quic    *quicgo.Stream
	reader  *bufio.Reader
	traffic *Traffic
	// batch is reused by SendAll.
	batch bytes.Buffer
}

func newStream(s *quicgo.Stream, t *Traffic) *Stream {
	return &Stream{quic: s, reader: bufio.NewReaderSize(s, 2048), traffic: t}
}

// Send writes one frame.
func (s *Stream) Send(f *wire.Frame) error {
	n, err := protodelim.MarshalTo(s.quic, f)
	if err != nil {
		return merry.Prepend(err, "send frame")
	}

	s.traffic.count(f, n, false)

	return nil
}

// maxRetainedBatch bounds the buffer that a stream keeps between two calls of SendAll, in bytes.
const maxRetainedBatch = 16 << 10

// SendAll writes frames in one write, so that small frames share a packet.
func (s *Stream) SendAll(frames iter.Seq[*wire.Frame]) error {
	if s.batch.Cap() > maxRetainedBatch {
		s.batch = bytes.Buffer{}
	}

	s.batch.Reset()

	for f := range frames {
		n, err := protodelim.MarshalTo(&s.batch, f)
		if err != nil {
			return merry.Prepend(err, "encode frame")
		}

		s.traffic.count(f, n, false)
	}

	if _, err := s.quic.Write(s.batch.Bytes()); err != nil {
		return merry.Prepend(err, "send frames")
	}

	return nil
}

// Receive reads one frame.
func (s *Stream) Receive() (*wire.Frame, error) {
	f := &wire.Frame{}
	if err := (protodelim.UnmarshalOptions{MaxSize: maxFrameBytes}).UnmarshalFrom(s.reader, f); err != nil {
		return nil, merry.Prepend(err, "receive frame")
	}

	s.traffic.count(f, proto.Size(f), true)

	return f, nil
}

// SetDeadline sets the time after which pending and future calls of Send and Receive fail. The zero time removes it.
func (s *Stream) SetDeadline(t time.Time) { _ = s.quic.SetDeadline(t) }

// Close finishes sending, discards what the peer still sends, and releases the stream.
func (s *Stream) Close() {
	_ = s.quic.Close()
	s.quic.CancelRead(0)
}

// Reset aborts the stream in both directions. Frames in transit may be lost.
func (s *Stream) Reset() {
	s.quic.CancelWrite(0)
	s.quic.CancelRead(0)
}
