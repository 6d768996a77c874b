package callerlimit

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"
)

const (
	// firstReservation is the part of a body for which memory is reserved at first; the rest follows when it has arrived.
	firstReservation = 16 << 10
	// memoryTimeout is how long a body waits for memory before it is refused.
	memoryTimeout = time.Second
)

// ErrNoMemory is the error of a body for which there was no memory. The caller may try again; nothing of the request was read.
var ErrNoMemory = errors.New("no memory for the body at present")

// wrap returns a handler whose requests' bodies draw from the budget.
func (g *Gate) wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connectionKey{}).(*connection)
		if !ok {
			next.ServeHTTP(w, r)

			return
		}

		c.enter(answering)

		if r.Body == nil || r.Body == http.NoBody {
			next.ServeHTTP(w, r)

			return
		}

		b := &body{gate: g, connection: c, source: r.Body, length: r.ContentLength, limit: g.limits.BodyBytes()}
		v := &writer{ResponseWriter: w, body: b}
		b.header = w.Header()

		defer b.release()

		r = r.WithContext(r.Context())
		r.Body = b
		next.ServeHTTP(v, r)
		v.begin()
	})
}

// writer is the writer of the answer to a request with a body.
type writer struct {
	http.ResponseWriter

	body *body
}

// Unwrap returns the writer for http.ResponseController.
func (w *writer) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// begin is called before the answer is sent. From then on the HTTP server may wait for the rest of the body.
func (w *writer) begin() {
	if !w.body.complete {
		w.body.connection.enter(replying)
	}
}

// WriteHeader sends the header of the answer.
func (w *writer) WriteHeader(status int) {
	w.begin()
	w.ResponseWriter.WriteHeader(status)
}

// Write sends a part of the answer.
func (w *writer) Write(b []byte) (int, error) {
	w.begin()

	return w.ResponseWriter.Write(b)
}

// body is the body of a request. Its memory is reserved before it is read, and returned when the request has ended.
type body struct {
	gate       *Gate
	connection *connection
	header     http.Header
	source     io.ReadCloser
	// length is the announced length, negative if it is not known. limit is the largest length.
	length, limit int64
	// read counts the bytes that were read, reserved those for which memory is reserved, and cost is that memory.
	read, reserved, cost int64
	complete             bool
}

// Read reads a part of the body. It returns http.MaxBytesError for a body over the limit, without reading one whose length is
// announced, and ErrNoMemory.
func (b *body) Read(p []byte) (int, error) {
	if b.length > b.limit || b.read > b.limit {
		return 0, b.refuse(reasonBody, &http.MaxBytesError{Limit: b.limit})
	}

	if len(p) == 0 || b.complete {
		return b.source.Read(p)
	}

	if !b.connection.isIn(readingBody) {
		b.connection.enter(readingBody)
	}

	if b.read >= b.reserved {
		if err := b.reserve(); err != nil {
			return 0, b.refuse(reasonMemory, err)
		}
	}

	n, err := b.source.Read(p[:min(int64(len(p)), b.reserved-b.read)])
	b.read += int64(n)

	if b.read > b.limit {
		return 0, b.refuse(reasonBody, &http.MaxBytesError{Limit: b.limit})
	}

	if errors.Is(err, io.EOF) {
		b.complete = true
		b.connection.enter(answering)
	}

	return n, err
}

// Close tells that the handler has decoded the body: it keeps no more than a copy of it. The request may go on.
func (b *body) Close() error {
	if b.complete {
		b.reduce(b.read)
	}

	return nil
}

// refuse counts a refusal, after which the connection is closed, and returns the error.
func (b *body) refuse(reason string, err error) error {
	b.gate.refuse(reason)
	b.header.Set("Connection", "close")

	return err
}

// reserve reserves memory for the next part of the body: for the rest if its length is known, otherwise for as much again.
func (b *body) reserve() error {
	next := int64(firstReservation)
	if b.reserved > 0 {
		next = 2 * b.reserved
		if b.length >= 0 {
			next = b.length
		}
	}

	if b.length >= 0 {
		next = min(next, b.length)
	}

	// A body of one byte more is over the limit.
	next = max(b.read+1, min(next, b.limit+1))
	cost := b.gate.limits.cost(next)

	if err := b.gate.acquire(b.connection, cost-b.cost); err != nil {
		return err
	}

	b.reserved, b.cost = next, cost
	b.connection.reserved.Store(cost)

	return nil
}

// reduce returns all but n bytes of the memory.
func (b *body) reduce(n int64) {
	if b.cost <= n {
		return
	}

	b.gate.releaseMemory(b.cost - n)
	b.cost = n
	b.connection.reserved.Store(n)
}

func (b *body) release() { b.reduce(0) }

// acquire takes n bytes from the budget. While it is used up, bodies that have stalled lose theirs.
func (g *Gate) acquire(c *connection, n int64) error {
	if g.memory == nil || n <= 0 || g.memory.TryAcquire(n) {
		g.metrics.addMemory(n)

		return nil
	}

	c.waiting.Store(true)

	defer func() {
		c.enter(readingBody)
		c.waiting.Store(false)
	}()

	for deadline := time.Now().Add(memoryTimeout); time.Now().Before(deadline); {
		g.closeStalled(reasonMemory, true)

		ctx, cancel := context.WithTimeout(context.Background(), minStall)
		err := g.memory.Acquire(ctx, n)

		cancel()

		if err == nil {
			g.metrics.addMemory(n)

			return nil
		}
	}

	return ErrNoMemory
}

func (g *Gate) releaseMemory(n int64) {
	if g.memory != nil {
		g.memory.Release(n)
	}

	g.metrics.addMemory(-n)
}
