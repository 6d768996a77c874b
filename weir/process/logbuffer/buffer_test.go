package logbuffer_test

import (
	"bytes"
	"fmt"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/skylarkweir/skylarkweir/weir/process/logbuffer"
)

// waitTimeout limits each wait of a test.
const waitTimeout = 10 * time.Second

// lineCounter is an output that counts lines.
type lineCounter struct{ lines atomic.Int64 }

func (c *lineCounter) Write(p []byte) (int, error) {
	c.lines.Add(int64(bytes.Count(p, []byte{'\n'})))

	return len(p), nil
}

// blockedOutput is an output that takes nothing until it is released.
type blockedOutput struct {
	release chan struct{}

	mu   sync.Mutex
	text bytes.Buffer
}

func (o *blockedOutput) Write(p []byte) (int, error) {
	<-o.release

	o.mu.Lock()
	defer o.mu.Unlock()

	return o.text.Write(p)
}

func noDrops(int) {}

// Guards against a line that stays in the buffer until the next one is written.
func TestEachLineArrivesWithoutAnother(t *testing.T) {
	out := &lineCounter{}
	b := logbuffer.New(out, 1<<20, noDrops)

	defer b.Close()

	for n := range int64(300_000) {
		_, _ = b.Write([]byte("line\n"))

		for deadline := time.Now().Add(waitTimeout); out.lines.Load() <= n; runtime.Gosched() {
			if time.Now().After(deadline) {
				t.Fatalf("line %d did not arrive within %s", n, waitTimeout)
			}
		}
	}
}

// Guards against a writer that waits for the output, and against lines that are lost without being counted.
func TestFullBufferDropsAndCounts(t *testing.T) {
	is := is.New(t)
	out := &blockedOutput{release: make(chan struct{})}

	var dropped atomic.Int64

	b := logbuffer.New(out, 100, func(lines int) { dropped.Add(int64(lines)) })

	const lines = 1000
	for n := range lines {
		_, err := b.Write(fmt.Appendf(nil, "%04d\n", n))
		is.NoErr(err)
	}

	close(out.release)
	is.NoErr(b.Close())

	kept := strings.Count(out.text.String(), "\n")
	is.True(kept >= 100/len("0000\n"))
	is.Equal(kept+int(dropped.Load()), lines)
}

// Guards against the last lines of a program that are lost at its end.
func TestCloseWritesWhatIsQueued(t *testing.T) {
	is := is.New(t)
	out := &lineCounter{}
	b := logbuffer.New(out, 1<<20, noDrops)

	for range 1000 {
		_, _ = b.Write([]byte("line\n"))
	}

	is.NoErr(b.Close())
	is.Equal(out.lines.Load(), int64(1000))

	_, err := b.Write([]byte("late\n"))
	is.NoErr(err)
	is.NoErr(b.Close())
}
