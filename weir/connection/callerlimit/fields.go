package callerlimit

import (
	"bytes"
	"net/http"
	"sync"
)

// linesBesideFields are the request line and Host, which the HTTP server takes out of the fields.
const linesBesideFields = 2

// fieldCounter counts the fields of a header while it arrives. The HTTP server reads ahead, so bytes of a header may arrive with
// the body before it. A header has no empty line, so it has no more lines than arrived since the last empty line.
//
// A connection on which requests are sent ahead is counted by that rule alone, which counts lines of a body before a header, too.
type fieldCounter struct {
	mu sync.Mutex
	// lines is the number of lines since the last empty one. length is that of the unfinished line.
	lines, length int
	// ended is true from the end of a header until the next request begins, after the number of bytes since then.
	ended bool
	after int64
	// body is the length of the body, negative if it is not known.
	body int64
	// ahead is true when requests have been sent ahead.
	ahead bool
}

// add counts bytes that have arrived. It stops when a header is over the limit.
func (f *fieldCounter) add(p []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()

	for len(p) > 0 && !f.isOver() {
		line, rest, complete := bytes.Cut(p, []byte{'\n'})
		if f.ended {
			f.after += int64(len(p) - len(rest))
		}

		f.length += len(bytes.TrimSuffix(line, []byte{'\r'}))
		if complete {
			f.endLine()
		}

		p = rest
	}
}

// over reports whether a header that has not ended has too many fields.
func (f *fieldCounter) over() bool {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.isOver()
}

func (f *fieldCounter) isOver() bool { return !f.ended && f.lines > maxHeaderFields+linesBesideFields }

// endLine ends a line. Empty lines before a header are no end of it.
func (f *fieldCounter) endLine() {
	switch {
	case f.length > 0:
		f.lines++
	case f.lines > 0 || f.ended:
		f.lines = 0
		f.ended = true
	}

	f.length = 0
}

// begin is called when a header has been read; body is the length of the body, negative if it is not known.
func (f *fieldCounter) begin(body int64) {
	f.mu.Lock()
	defer f.mu.Unlock()

	f.ahead = f.ahead || !f.ended
	f.ended, f.body = true, body
}

// next is called when a request has been answered. A body whose length is not known ends with an empty line. The server reads
// one byte ahead while it waits for an answer.
func (f *fieldCounter) next() {
	f.mu.Lock()
	defer f.mu.Unlock()

	if f.body >= 0 && f.after > f.body+1 {
		f.ahead = true
	}

	if f.body >= 0 && !f.ahead {
		f.lines, f.length = 0, 0
	}

	f.ended, f.after = false, 0
}

// countFields returns the number of fields of a header.
func countFields(h http.Header) (n int) {
	for _, values := range h {
		n += len(values)
	}

	return n
}

// tooManyFields answers a header that was not read to its end.
const tooManyFields = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
