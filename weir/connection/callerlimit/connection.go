package callerlimit

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// connection is a caller's connection whose progress is known.
type connection struct {
	net.Conn

	gate  *Gate
	phase atomic.Int32
	// since, progress and writing are durations as in activity. unmarked counts the bytes since the last progress.
	since, progress, writing, unmarked atomic.Int64
	waiting                            atomic.Bool
	// reserved is the memory that the body of the request has.
	reserved atomic.Int64
	fields   fieldCounter
	closing  sync.Once
}

func newConnection(c net.Conn, g *Gate) *connection {
	n := &connection{Conn: c, gate: g}
	n.enter(idle)

	return n
}

// enter begins a phase.
func (c *connection) enter(p phase) {
	now := int64(now())

	c.since.Store(now)
	c.progress.Store(now)
	c.unmarked.Store(0)
	c.phase.Store(int32(p))
}

func (c *connection) isIn(p phase) bool { return phase(c.phase.Load()) == p }

func (c *connection) activity() activity {
	return activity{
		phase: phase(c.phase.Load()), since: time.Duration(c.since.Load()), progress: time.Duration(c.progress.Load()),
		writing: time.Duration(c.writing.Load()), waiting: c.waiting.Load(), reserved: c.reserved.Load(),
	}
}

// Read reads from the connection and records the progress. What the HTTP server reads while the connection is idle belongs to a
// header. One with too many fields is refused, and ends as if the caller had closed the connection.
func (c *connection) Read(b []byte) (int, error) {
	if c.isIn(idle) && c.fields.over() {
		return 0, c.refuseHeader()
	}

	n, err := c.Conn.Read(b)
	if c.unmarked.Add(int64(n)) >= progressBytes {
		c.unmarked.Store(0)
		c.progress.Store(int64(now()))
	}

	c.fields.add(b[:n])

	if c.isIn(idle) && c.fields.over() {
		return 0, c.refuseHeader()
	}

	return n, err
}

// refuseHeader answers a header that has not been read to its end, and returns the error that ends the connection.
func (c *connection) refuseHeader() error {
	c.gate.refuse(reasonHeader)

	_, _ = io.WriteString(c, tooManyFields)

	return io.EOF
}

// Write writes to the connection. The gate closes it if the caller does not read.
func (c *connection) Write(b []byte) (int, error) {
	c.writing.Store(max(1, int64(now())))
	defer c.writing.Store(0)

	return c.Conn.Write(b)
}

// CloseWrite closes the sending side, which the HTTP server does before it closes a connection with an unread body.
func (c *connection) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}

	return nil
}

// Close closes the connection and returns its descriptor to the budget. Only the first call has an effect.
func (c *connection) Close() (err error) {
	err = net.ErrClosed

	c.closing.Do(func() {
		err = c.Conn.Close()
		c.gate.remove(c)
	})

	return err
}
