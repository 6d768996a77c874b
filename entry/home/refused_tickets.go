package home

import (
	"sync"
	"time"

	"github.com/skylarkweir/skylarkweir/weir/request/ticket"
)

// chunkSize is the number of tickets whose refusals are kept and dropped together.
const chunkSize = 4096

// spent remembers the tickets that were refused as not run, with one bit for each. A copy of the same submission that
// was delayed on its way must not run after its caller was told so. The zero value is empty.
type spent struct {
	mu     sync.Mutex
	chunks map[uint64]*chunk
	// trimmed is when expired chunks were last dropped.
	trimmed time.Time
}

// chunk holds the refusals of consecutive sequence numbers.
type chunk struct {
	bits [chunkSize / 64]uint64
	// expiry is the latest of the refused tickets.
	expiry time.Time
}

// add remembers the refusal until the ticket expires.
func (s *spent) add(t ticket.Ticket, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.trim(now)

	if s.chunks == nil {
		s.chunks = map[uint64]*chunk{}
	}

	c := s.chunks[t.Sequence()/chunkSize]
	if c == nil {
		c = &chunk{}
		s.chunks[t.Sequence()/chunkSize] = c
	}

	i := t.Sequence() % chunkSize
	c.bits[i/64] |= 1 << (i % 64)

	if t.Expiry().After(c.expiry) {
		c.expiry = t.Expiry()
	}
}

// has tells whether the ticket was refused.
func (s *spent) has(t ticket.Ticket) bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	c := s.chunks[t.Sequence()/chunkSize]
	i := t.Sequence() % chunkSize

	return c != nil && c.bits[i/64]&(1<<(i%64)) != 0
}

// trim drops expired chunks, at most once a minute. Their tickets are refused as expired before they are looked up.
func (s *spent) trim(now time.Time) {
	const interval = time.Minute

	if now.Sub(s.trimmed) < interval {
		return
	}

	s.trimmed = now

	for n, c := range s.chunks {
		if now.After(c.expiry) {
			delete(s.chunks, n)
		}
	}
}
