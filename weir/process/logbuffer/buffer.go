// Package logbuffer passes log lines to an output that may be slow, without making those wait who write them.
package logbuffer

import (
	"io"
	"sync"
)

// maxRetainedBytes bounds the memory that is kept for the next lines after a burst.
const maxRetainedBytes = 64 << 10

// Buffer holds lines until the output has taken them. Lines that find it full are dropped and counted. It is safe for
// concurrent use.
type Buffer struct {
	out io.Writer
	// maxBytes bounds pending.
	maxBytes int
	dropped  func(lines int)
	// filled holds a value if pending or droppedLines may be non-zero; it is closed by Close.
	filled chan struct{}
	// finished is closed when the last line has been passed on.
	finished chan struct{}

	mu sync.Mutex
	// pending holds the lines that were not passed on yet. It has no spare capacity beyond maxRetainedBytes while it is
	// empty.
	pending      []byte
	droppedLines int
	closed       bool
}

// New returns a buffer of at most maxBytes before an output. dropped is called with the number of lines that were dropped
// since its last call, by the goroutine that writes to the output.
func New(out io.Writer, maxBytes int, dropped func(lines int)) *Buffer {
	b := &Buffer{
		out: out, maxBytes: maxBytes, dropped: dropped, filled: make(chan struct{}, 1), finished: make(chan struct{}),
	}

	go b.run()

	return b
}

// Write queues one line. It never blocks on the output and never fails.
func (b *Buffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()

	switch {
	case b.closed:
		return len(line), nil
	case len(b.pending)+len(line) > b.maxBytes:
		b.droppedLines++
	default:
		b.pending = append(b.pending, line...)
	}

	select {
	case b.filled <- struct{}{}:
	default:
	}

	return len(line), nil
}

// Close passes the queued lines on and ends the buffer. Lines that are written later are lost.
func (b *Buffer) Close() error {
	b.mu.Lock()

	if !b.closed {
		b.closed = true
		close(b.filled)
	}

	b.mu.Unlock()
	<-b.finished

	return nil
}

func (b *Buffer) run() {
	defer close(b.finished)

	var spare []byte

	for range b.filled {
		spare = b.flush(spare)
	}

	b.flush(spare)
}

// flush passes the pending lines on and returns memory for the flush after the next. spare becomes the memory for the
// next lines.
func (b *Buffer) flush(spare []byte) []byte {
	b.mu.Lock()
	lines, droppedLines := b.pending, b.droppedLines
	b.pending, b.droppedLines = spare[:0], 0
	b.mu.Unlock()

	if len(lines) > 0 {
		// There is no other place to report that the output of the log has failed.
		_, _ = b.out.Write(lines)
	}

	if droppedLines > 0 {
		b.dropped(droppedLines)
	}

	if cap(lines) > maxRetainedBytes {
		return nil
	}

	return lines[:0]
}
