// Package succession decides which incarnation of its backend server a sidecar works with, and whose word changes that.
//
// An incarnation is one run of the process of a backend server. It announces itself, and anyone may send an announcement or a
// notice of departure. So these begin an incarnation where none is in force, update the one in force and stop it from being
// used, but they never end one that may run tasks: only an answer of the backend server does (of another instance, or with
// another start), or the end of the lease of its tasks, both of which the caller observes.
//
// All times are on the clock of package uptime, unless they are readings of the backend server's clock.
package succession

import (
	"slices"
	"time"
)

// State is what a sidecar believes of its backend server. The zero value knows none. It is not safe for concurrent use.
type State struct {
	// current is what was announced of the incarnation in force; it is meaningful if inForce is true.
	current view
	inForce bool
	// confirmed is true once the backend server has answered as the current incarnation.
	confirmed bool
	// departed is true once a notice said that the current incarnation leaves.
	departed bool
	// successor is an incarnation that was announced while another one is in force, at the time successorAt, which is zero if
	// there is none.
	successor   view
	successorAt time.Duration
	// gone has the last announcements of the incarnations that have left, the newest last, at most maxGone. It is replaced, not
	// changed, so that copies of the state are independent.
	gone []Announcement
}

// maxGone is the number of incarnations that are remembered to have left. Announcements that were delayed may come from
// several, and another writer may announce and end some.
const maxGone = 8

// Result is what becomes of an announcement.
type Result uint8

// The results of an announcement.
const (
	// Began means that no incarnation was in force, and that the announced one is now.
	Began Result = iota
	// Applied means that the announcement of the incarnation in force was replaced by this one.
	Applied
	// Pending means that the announcement names another incarnation than the one in force. It takes effect at the end of
	// that one. A call to the backend server tells which of the two it is.
	Pending
	// Outdated means that a later announcement is in force, or that the incarnation has left.
	Outdated
	// Implausible means that the backend server cannot have sent the announcement yet, by its clock.
	Implausible
)

var resultNames = [...]string{"began", "applied", "pending", "outdated", "implausible"}

// String returns the name of the result in logs and metrics.
func (r Result) String() string { return resultNames[r] }

// Accepted reports whether the announcement is in force or may come into force.
func (r Result) Accepted() bool { return r <= Pending }

// InForce reports whether what the announcement says is in force, so that a drain may be acknowledged.
func (r Result) InForce() bool { return r <= Applied }

// InForce reports whether an incarnation is in force.
func (s *State) InForce() bool { return s.inForce }

// Current returns the announcement of the incarnation in force, the zero value if there is none.
func (s *State) Current() Announcement {
	a := s.current.announcement()
	a.draining, a.departed = a.draining || s.departed, s.departed

	return a
}

// Confirmed reports whether the backend server has answered as the incarnation in force.
func (s *State) Confirmed() bool { return s.confirmed }

// Departed reports whether a notice said that the incarnation in force leaves.
func (s *State) Departed() bool { return s.departed }

// Restore begins the incarnation of an announcement that an earlier process has saved, unless one is in force or it has left.
// It reports whether it does.
func (s *State) Restore(a Announcement) bool {
	if s.inForce || s.hasLeft(a) {
		return false
	}

	// Any announcement that is received is newer.
	a.sequence, a.clock = 0, 0
	s.begin(newView(a))

	return true
}

// Announce handles an announcement that is received at the time now. hasReached tells whether the backend server's clock may
// have reached a time by its own answers; it is not called if no incarnation is in force.
func (s *State) Announce(a Announcement, now time.Duration, hasReached func(clock time.Duration) bool) Result {
	switch {
	case s.hasLeft(a):
		return Outdated
	case !s.inForce:
		s.begin(newView(a))

		return Began
	case !s.current.newest.IsOfSameIncarnation(a):
		return s.announceSuccessor(a, now)
	default:
		return s.update(a, hasReached)
	}
}

// hasLeft reports whether the announcement comes from an incarnation that has left, as one that was delayed on its way does.
func (s *State) hasLeft(a Announcement) bool {
	return slices.ContainsFunc(s.gone, a.precedesDepartureOf)
}

func (s *State) begin(v view) {
	*s = State{current: v, inForce: true, gone: s.gone}
}

// update adds an announcement of the incarnation in force.
func (s *State) update(a Announcement, hasReached func(clock time.Duration) bool) Result {
	if !s.confirmed {
		hasReached = nil
	}

	switch {
	case hasReached != nil && !hasReached(a.clock):
		return Implausible
	case s.current.add(a, hasReached):
		return Applied
	default:
		return Outdated
	}
}

func (s *State) announceSuccessor(a Announcement, now time.Duration) Result {
	isEarlier := a.startedAtMS < s.current.newest.startedAtMS
	if isEarlier && s.confirmed {
		return Outdated
	}

	if s.successorAt > 0 && s.successor.newest.IsOfSameIncarnation(a) {
		s.successor.add(a, nil)
	} else {
		s.successor = newView(a)
	}

	s.successorAt = now

	if isEarlier {
		return Outdated
	}

	return Pending
}

// Successor returns the incarnation that was announced after the one in force, and whether there is one.
func (s *State) Successor() (Announcement, bool) {
	return s.successor.announcement(), s.successorAt > 0
}

// Answer is what an answer of the backend server says of the incarnation in force.
type Answer struct {
	refuted              Announcement
	isRestarted, isFirst bool
	hasRefuted           bool
}

// IsRestarted reports whether a later process with the same id has answered, so that the incarnation in force has ended.
func (a Answer) IsRestarted() bool { return a.isRestarted }

// IsFirst reports whether the backend server has answered as the incarnation in force for the first time.
func (a Answer) IsFirst() bool { return a.isFirst }

// Refuted returns the successor that the answer refutes, and whether there is one.
func (a Answer) Refuted() (Announcement, bool) { return a.refuted, a.hasRefuted }

// RecordAnswer handles an answer to a call for the incarnation in force that was sent at the time sent, with the start of the
// process that has answered, zero if it is not known. The successor is refuted if it was announced before the call was
// sent.
func (s *State) RecordAnswer(startedAtMS int64, sent time.Duration) Answer {
	if born := s.current.newest.startedAtMS; startedAtMS != 0 && born != 0 && startedAtMS != born {
		return Answer{isRestarted: true}
	}

	a := Answer{isFirst: !s.confirmed}
	s.confirmed = true

	if s.successorAt > 0 && s.successorAt <= sent {
		a.refuted, a.hasRefuted = s.successor.announcement(), true
		s.successor, s.successorAt = view{}, 0
	}

	return a
}

// Depart records a notice that an incarnation leaves, with its start in Unix milliseconds, zero if it is not known. It reports
// whether that is the one in force; its tasks may go on until they have ended, or their lease has.
func (s *State) Depart(instance string, startedAtMS int64) bool {
	if !s.inForce || s.departed || !s.Current().isOfLeaving(instance, startedAtMS) {
		return false
	}

	s.gone = append(slices.Clone(s.gone[max(0, len(s.gone)+1-maxGone):]), s.Current())
	s.departed = true

	return true
}

// End ends the incarnation in force. It begins the one that was announced meanwhile, if there is one, and reports whether it
// does.
func (s *State) End() bool {
	next, hasNext := s.successor, s.successorAt > 0
	*s = State{gone: s.gone}

	if hasNext {
		s.begin(next)
	}

	return hasNext
}
