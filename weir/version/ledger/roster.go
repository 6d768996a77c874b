package ledger

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
)

// present is the left offset of a span that has not ended.
const present = -1

// identity is what workers and entries have in common.
type identity interface {
	proto.Message
	GetName() string
	GetIncarnation() uint64
}

// span is the stay of one incarnation. It is immutable.
type span[T identity] struct {
	who T
	// joined is the offset of the first record of the incarnation.
	joined int64
	// left is the offset of the record that ended it, or present.
	left   int64
	leftMS int64
	// successor is set for entries that handed over.
	successor *wire.Entry
}

// holds tells whether the incarnation was registered at the position: joined is applied, left is not.
func (s *span[T]) holds(position int64) bool {
	return s.joined < position && (s.left == present || s.left >= position)
}

// roster holds the spans of all workers or of all entries. It is changed only before it is published.
type roster[T identity] struct {
	// spans are in the order in which they were created, which every reader shares.
	spans []*span[T]
	// live holds the span of each name that has not ended.
	live map[string]*span[T]
}

func (r *roster[T]) clone() *roster[T] {
	if r == nil {
		return &roster[T]{live: map[string]*span[T]{}}
	}

	c := &roster[T]{spans: slices.Clone(r.spans), live: make(map[string]*span[T], len(r.live)+1)}
	for n, s := range r.live {
		c.live[n] = s
	}

	return c
}

func (r *roster[T]) all() []*span[T] {
	if r == nil {
		return nil
	}

	return r.spans
}

func (r *roster[T]) current(name string) *span[T] {
	if r == nil {
		return nil
	}

	return r.live[name]
}

// find returns the index of the incarnation, or -1.
func (r *roster[T]) find(name string, incarnation uint64) int {
	if r == nil {
		return -1
	}

	return slices.IndexFunc(r.spans, func(s *span[T]) bool {
		return s.who.GetIncarnation() == incarnation && s.who.GetName() == name
	})
}

// join registers an incarnation, and ends an older one of the same name. Only the first record of an incarnation counts.
func (r *roster[T]) join(who T, offset, timeMS int64) {
	if r.find(who.GetName(), who.GetIncarnation()) >= 0 {
		return
	}

	if old := r.live[who.GetName()]; old != nil {
		r.leave(who.GetName(), old.who.GetIncarnation(), offset, timeMS, nil)
	}

	s := &span[T]{who: who, joined: offset, left: present}
	r.spans = append(r.spans, s)
	r.live[who.GetName()] = s
}

// leave ends an incarnation; it does nothing if the incarnation is unknown or has ended.
func (r *roster[T]) leave(name string, incarnation uint64, offset, timeMS int64, successor *wire.Entry) {
	i := r.find(name, incarnation)
	if i < 0 || r.spans[i].left != present {
		return
	}

	s := *r.spans[i]
	s.left, s.leftMS, s.successor = offset, timeMS, successor
	r.spans[i] = &s
	delete(r.live, name)
}

// expired tells whether a span ended before the time.
func (r *roster[T]) expired(beforeMS int64) bool {
	return slices.ContainsFunc(r.all(), func(s *span[T]) bool { return s.left != present && s.leftMS < beforeMS })
}

// expire drops spans that ended before the time and returns the largest offset at which one of them ended.
func (r *roster[T]) expire(beforeMS int64) int64 {
	last := int64(present)
	r.spans = slices.DeleteFunc(r.spans, func(s *span[T]) bool {
		if s.left == present || s.leftMS >= beforeMS {
			return false
		}

		last = max(last, s.left)

		return true
	})

	return last
}
