package session

import (
	"sync"

	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
)

const (
	// maxQueuedFrames bounds the frames that wait for the writer.
	maxQueuedFrames = 4096
	// maxRetainedFrames bounds the capacity of a queue that is kept for the next frames.
	maxRetainedFrames = 64
)

// sendQueue holds the frames that wait for the writer of a session. An empty queue takes almost no memory, since a
// process may have hundreds of sessions.
type sendQueue struct {
	// filled holds a value if the queue may have frames.
	filled chan struct{}

	mu     sync.Mutex
	frames []*wire.Frame
	// spare is the slice that the writer took before last; it is empty.
	spare []*wire.Frame
}

func newSendQueue() sendQueue { return sendQueue{filled: make(chan struct{}, 1)} }

// add appends a frame. It returns false if the queue is full.
func (q *sendQueue) add(f *wire.Frame) bool {
	q.mu.Lock()
	defer q.mu.Unlock()

	if len(q.frames) >= maxQueuedFrames {
		return false
	}

	q.frames = append(q.frames, f)

	select {
	case q.filled <- struct{}{}:
	default:
	}

	return true
}

// takeAll removes and returns all frames. The slice is valid until the next call.
func (q *sendQueue) takeAll() []*wire.Frame {
	q.mu.Lock()
	defer q.mu.Unlock()

	taken := q.frames
	clear(q.spare[:cap(q.spare)])
	q.frames = q.spare[:0]
	q.spare = nil

	if cap(taken) <= maxRetainedFrames {
		q.spare = taken
	}

	return taken
}
