package ledger

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
)

// notEnded is the leftOffset of a registration that has not ended.
const notEnded = -1

// process has the common methods of the messages that describe workers and entries.
type process interface {
	proto.Message
	GetName() string
	GetIncarnation() uint64
}

// registration is the time from the joining of an incarnation to its end. It is immutable.
type registration[T process] struct {
	process T
	// joinedOffset is the offset of the first record of the incarnation.
	joinedOffset int64
	// leftOffset is the offset of the record that ended the registration, or notEnded.
	leftOffset int64
	leftTimeMS int64
	// successor is the entry that took over the submissions, if the process is an entry that was succeeded.
	successor *wire.Entry
}

// registeredAt reports whether the incarnation was registered at the position: the record at joinedOffset is below the
// position, and the one at leftOffset is not.
func (r *registration[T]) registeredAt(position int64) bool {
	return r.joinedOffset < position && (r.leftOffset == notEnded || r.leftOffset >= position)
}

// registry holds the registrations of all workers or of all entries. It is not changed after it was published.
type registry[T process] struct {
	// registrations are in the order of the log, which is the same for every reader.
	registrations []*registration[T]
	// currentByName holds the registration of each name that has not ended.
	currentByName map[string]*registration[T]
}

func (r *registry[T]) clone() *registry[T] {
	if r == nil {
		return &registry[T]{currentByName: map[string]*registration[T]{}}
	}

	c := &registry[T]{
		registrations: slices.Clone(r.registrations),
		currentByName: make(map[string]*registration[T], len(r.currentByName)+1),
	}
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

// join registers an incarnation and ends the registration of an older one of the same name. It does nothing if the
// incarnation is or was registered.
func (r *registry[T]) join(p T, offset, timeMS int64) {
	if r.find(p.GetName(), p.GetIncarnation()) >= 0 {
		return
	}

	if old := r.currentByName[p.GetName()]; old != nil {
		r.leave(p.GetName(), old.process.GetIncarnation(), offset, timeMS, nil)
	}

	s := &registration[T]{process: p, joinedOffset: offset, leftOffset: notEnded}
	r.registrations = append(r.registrations, s)
	r.currentByName[p.GetName()] = s
}

// leave ends the registration of an incarnation. It does nothing if the incarnation is unknown or has ended.
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

// hasExpired reports whether a registration ended before the time.
func (r *registry[T]) hasExpired(beforeMS int64) bool {
	return slices.ContainsFunc(r.all(), func(s *registration[T]) bool {
		return s.leftOffset != notEnded && s.leftTimeMS < beforeMS
	})
}

// removeExpired removes the registrations that ended before the time and returns the largest offset at which one of
// them ended.
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
