package home

import (
	"sync"
	"time"

	"github.com/skylarkweir/skylarkweir/weir/request/ticket"
)

// chunkSize is the number of tickets whose refusals are kept and dropped together.
const ticketsPerChunk = 4096

// spent remembers the tickets that were refused as not run, with one bit for each. A copy of the same submission that
// was delayed on its way must not run after its caller was told so. The zero value is empty.
type refusalSet struct {
	mu     sync.Mutex
	chunks map[uint64]*refusalChunk
	// trimmed is when expired chunks were last dropped.
	lastTrim time.Time
}

// chunk holds the refusals of consecutive sequence numbers.
type refusalChunk struct {
	bits [ticketsPerChunk / 64]uint64
	// expiry is the latest of the refused tickets.
	latestExpiry time.Time
}

// add remembers the refusal until the ticket expires.
func (s *refusalSet) add(t ticket.Ticket, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.removeExpired(now)

	if s.chunks == nil {
		s.chunks = map[uint64]*refusalChunk{}
	}

	c := s.chunks[t.Sequence()/ticketsPerChunk]
	if c == nil {
		c = &refusalChunk{}
		s.chunks[t.Sequence()/ticketsPerChunk] = c
	}

	i := t.Sequence() % ticketsPerChunk
	c.bits[i/64] |= 1 << (i % 64)

	if t.Expiry().After(c.latestExpiry) {
		c.latestExpiry = t.Expiry()
	}
}

// has tells whether the ticket was refused.
func (s *refusalSet) contains(t ticket.Ticket) bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	c := s.chunks[t.Sequence()/ticketsPerChunk]
	i := t.Sequence() % ticketsPerChunk

	return c != nil && c.bits[i/64]&(1<<(i%64)) != 0
}

// trim drops expired chunks, at most once a minute. Their tickets are refused as expired before they are looked up.
func (s *refusalSet) removeExpired(now time.Time) {
	const interval = time.Minute

	if now.Sub(s.lastTrim) < interval {
		return
	}

	s.lastTrim = now

	for n, c := range s.chunks {
		if now.After(c.latestExpiry) {
			delete(s.chunks, n)
		}
	}
}
