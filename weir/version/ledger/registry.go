package ledger

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
)

// present is the left offset of a span that has not ended.
const notEnded = -1

// identity is what workers and entries have in common.
type process interface {
	proto.Message
	GetName() string
	GetIncarnation() uint64
}

// span is the stay of one incarnation. It is immutable.
type registration[T process] struct {
	process T
	// joined is the offset of the first record of the incarnation.
	joinedOffset int64
	// left is the offset of the record that ended it, or present.
	leftOffset int64
	leftTimeMS int64
	// successor is set for entries that handed over.
	successor *wire.Entry
}

// holds tells whether the incarnation was registered at the position: joined is applied, left is not.
func (s *registration[T]) registeredAt(position int64) bool {
	return s.joinedOffset < position && (s.leftOffset == notEnded || s.leftOffset >= position)
}

// roster holds the spans of all workers or of all entries. It is changed only before it is published.
type registry[T process] struct {
	// spans are in the order in which they were created, which every reader shares.
	registrations []*registration[T]
	// live holds the span of each name that has not ended.
	currentByName map[string]*registration[T]
}

func (r *registry[T]) clone() *registry[T] {
	if r == nil {
		return &registry[T]{currentByName: map[string]*registration[T]{}}
	}

	c := &registry[T]{registrations: slices.Clone(r.registrations), currentByName: make(map[string]*registration[T], len(r.currentByName)+1)}
	for n, s := range r.currentByName {
		c.currentByName[n] = s
	}

	return c
}

func (r *registry[T]) all() []*registration[T] {
	if r == nil {
		return nil
	}

	return r.registrations
}

func (r *registry[T]) current(name string) *registration[T] {
	if r == nil {
		return nil
	}

	return r.currentByName[name]
}

// find returns the index of the incarnation, or -1.
func (r *registry[T]) find(name string, incarnation uint64) int {
	if r == nil {
		return -1
	}

	return slices.IndexFunc(r.registrations, func(s *registration[T]) bool {
		return s.process.GetIncarnation() == incarnation && s.process.GetName() == name
	})
}

// join registers an incarnation, and ends an older one of the same name. Only the first record of an incarnation counts.
func (r *registry[T]) join(who T, offset, timeMS int64) {
	if r.find(who.GetName(), who.GetIncarnation()) >= 0 {
		return
	}

	if old := r.currentByName[who.GetName()]; old != nil {
		r.leave(who.GetName(), old.process.GetIncarnation(), offset, timeMS, nil)
	}

	s := &registration[T]{process: who, joinedOffset: offset, leftOffset: notEnded}
	r.registrations = append(r.registrations, s)
	r.currentByName[who.GetName()] = s
}

// leave ends an incarnation; it does nothing if the incarnation is unknown or has ended.
func (r *registry[T]) leave(name string, incarnation uint64, offset, timeMS int64, successor *wire.Entry) {
	i := r.find(name, incarnation)
	if i < 0 || r.registrations[i].leftOffset != notEnded {
		return
	}

	s := *r.registrations[i]
	s.leftOffset, s.leftTimeMS, s.successor = offset, timeMS, successor
	r.registrations[i] = &s
	delete(r.currentByName, name)
}

// expired tells whether a span ended before the time.
func (r *registry[T]) hasExpired(beforeMS int64) bool {
	return slices.ContainsFunc(r.all(), func(s *registration[T]) bool { return s.leftOffset != notEnded && s.leftTimeMS < beforeMS })
}

// expire drops spans that ended before the time and returns the largest offset at which one of them ended.
func (r *registry[T]) removeExpired(beforeMS int64) int64 {
	last := int64(notEnded)
	r.registrations = slices.DeleteFunc(r.registrations, func(s *registration[T]) bool {
		if s.leftOffset == notEnded || s.leftTimeMS >= beforeMS {
			return false
		}

		last = max(last, s.leftOffset)

		return true
	})

	return last
}
