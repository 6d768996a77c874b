package home

import (
	"sync"
	"time"

	"github.com/skylarkweir/skylarkweir/weir/request/ticket"
)

// ticketsPerChunk is the number of consecutive tickets whose refusals are stored and removed together.
const ticketsPerChunk = 4096

// refusalSet stores one bit for each ticket whose submission was refused as not run. A delayed copy of the submission
// must not run after the caller has received the refusal. The zero value is an empty set.
type refusalSet struct {
	mu     sync.Mutex
	chunks map[uint64]*refusalChunk
	// lastTrim is the time at which expired chunks were last removed.
	lastTrim time.Time
}

// refusalChunk holds the refusals of consecutive sequence numbers.
type refusalChunk struct {
	bits [ticketsPerChunk / 64]uint64
	// latestExpiry is the latest expiry of the refused tickets in the chunk.
	latestExpiry time.Time
}

// add stores the refusal at least until the ticket expires.
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

// contains reports whether the ticket was refused.
func (s *refusalSet) contains(t ticket.Ticket) bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	c := s.chunks[t.Sequence()/ticketsPerChunk]
	i := t.Sequence() % ticketsPerChunk

	return c != nil && c.bits[i/64]&(1<<(i%64)) != 0
}

// removeExpired removes expired chunks, at most once a minute. Their tickets need no bit any more, as expired tickets
// are refused before the set is looked up.
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
