package callerlimit

import (
	"errors"
	"io"
	"net/http"
)

// firstReservation is the part of a body, in bytes, for which memory is reserved at first; the rest follows when it has arrived.
const firstReservation = 4 << 10

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
		c.fields.begin(r.ContentLength)

		if countFields(r.Header) > maxHeaderFields {
			g.refuse(reasonHeader)
			c.enter(replying)
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusRequestHeaderFieldsTooLarge)

			return
		}

		if r.Body == nil || r.Body == http.NoBody {
			next.ServeHTTP(w, r)

			return
		}

		b := &body{
			gate: g, connection: c, header: w.Header(), request: r, source: r.Body, length: r.ContentLength, limit: g.limits.BodyBytes(),
			small: reservation{pool: g.small}, large: reservation{pool: g.large},
		}
		v := &writer{ResponseWriter: w, body: b}

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
	// request is the request of the HTTP server, which keeps the trailer.
	request *http.Request
	source  io.ReadCloser
	// length is the announced length, negative if it is not known. limit is the largest length.
	length, limit int64
	// read counts the bytes that were read, reserved those for which memory is reserved.
	read, reserved int64
	// small and large are the memory for the first part of the body and for the rest.
	small, large reservation
	complete     bool
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
		b.request.Trailer = nil
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
	next, part := int64(firstReservation), &b.small
	if b.reserved > 0 {
		next, part = 2*b.reserved, &b.large
		if b.length >= 0 {
			next = b.length
		}
	}

	if b.length >= 0 {
		next = min(next, b.length)
	}

	// A body of one byte more is over the limit.
	next = max(b.read+1, min(next, b.limit+1))

	if err := part.raise(b, next-b.before(part)); err != nil {
		return err
	}

	b.reserved = next
	b.connection.reserved.Store(b.small.cost + b.large.cost)

	return nil
}

// before returns how many bytes of the body precede those for which memory is reserved in a part.
func (b *body) before(part *reservation) int64 {
	if part == &b.large {
		return min(b.reserved, firstReservation)
	}

	return 0
}

// reservation is the memory that a body has of a pool.
type reservation struct {
	pool *pool
	cost int64
}

// raise raises the reservation to that for n bytes of the body.
func (r *reservation) raise(b *body, n int64) error {
	more := r.pool.cost(n, b.gate.limits.multipleOrDefault()) - r.cost
	if more <= 0 {
		return nil
	}

	err := r.pool.acquire(more, b.connection, func() { b.gate.closeStalled(reasonMemory, true) })
	if err == nil {
		r.cost += more
		b.gate.metrics.addMemory(more)
	}

	return err
}

// lower returns all but n bytes of the memory.
func (r *reservation) lower(b *body, n int64) {
	if r.cost <= n {
		return
	}

	r.pool.release(r.cost - n)
	b.gate.metrics.addMemory(n - r.cost)
	r.cost = n
}

// reduce returns all but n bytes of the memory.
func (b *body) reduce(n int64) {
	b.large.lower(b, max(0, n-b.small.cost))
	b.small.lower(b, min(n, b.small.cost))
	b.connection.reserved.Store(b.small.cost + b.large.cost)
}

func (b *body) release() { b.reduce(0) }
