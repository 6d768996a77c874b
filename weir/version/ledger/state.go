package ledger

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
	"github.com/skylarkweir/skylarkweir/weir/version/agreement"
	"github.com/skylarkweir/skylarkweir/weir/version/evacuation"
)

var (
	emptySharedState = &sharedState{}
	emptyAgreement   = &agreement.Agreement{}
)

// State is the state that results from the records of the log up to a position. It is immutable. The zero value has
// position 0 and no version.
//
// The records of the log must be applied without a gap. If records were dropped from the log before they were read, the
// shared state keeps its position and the state is incomplete until a snapshot or another process supplies a shared
// state that reaches the first record after the gap.
type State struct {
	// sharedState is nil in the zero value.
	sharedState *sharedState
	// logPosition is the next offset to read from the log. It is at most the position of the shared state unless there
	// is a gap.
	logPosition int64
	// gapEnd is the first offset after the gap. There is a gap while it is above the position of the shared state.
	gapEnd int64
	// pendingRecords holds the records from gapEnd to logPosition, to be applied once the gap is closed.
	pendingRecords []Record
	pendingBytes   int
	bindings       bindings
	// loading is true while a new process has not yet read the log to its end.
	loading        bool
	skippedRecords int64
	// snapshotTimeMS is the timestamp of the newest snapshot record read from the log; zero if none was read.
	snapshotTimeMS int64
	firstTimeMS    int64
}

func (s *State) shared() *sharedState {
	if s.sharedState == nil {
		return emptySharedState
	}

	return s.sharedState
}

// Position returns the next offset to apply: the state has applied all offsets below it.
func (s *State) Position() int64 { return s.shared().position }

// Version returns the version of the agreement in force, or zero if there is none.
func (s *State) Version() int64 { return s.shared().version }

// Ready reports whether an agreement is in force that is known to be the newest one below the position, so that
// submissions may be accepted. It is false while a new process reads the log and after a gap in the log.
func (s *State) Ready() bool { return s.Version() > 0 && s.Complete() }

// Complete reports whether no record below the position is missing and the log has been read to its end once, or
// another process has sent its state. Unlike Ready it does not require an agreement.
func (s *State) Complete() bool { return !s.loading && !s.hasGap() }

func (s *State) hasGap() bool { return s.gapEnd > s.Position() }

// sameConfig reports whether the agreement, the workers, the entries, the evacuations and the completeness are the same. Registries are
// copied before a change, so equal pointers mean equal content.
func (s *State) sameConfig(o *State) bool {
	a, b := s.shared(), o.shared()

	return a.version == b.version && a.workers == b.workers && a.entries == b.entries &&
		a.evacuations.Position() == b.evacuations.Position() && s.Complete() == o.Complete()
}

// Agreement returns the agreement in force; it is empty if there is none.
func (s *State) Agreement() *agreement.Agreement {
	if a := s.shared().agreement; a != nil {
		return a
	}

	return emptyAgreement
}

// Published returns the operator who published the version in force, and the log's timestamp of the publication.
func (s *State) Published() (operator string, at time.Time) {
	return s.shared().operator, time.UnixMilli(s.shared().publishedMS)
}

// PublicationOutcome reports whether the publication with the nonce came into force. The outcome is not known before
// the record was read, nor after maxPublicationOutcomes later publications.
func (s *State) PublicationOutcome(nonce []byte) (inForce, known bool) {
	for _, o := range s.shared().publicationOutcomes {
		if o.nonce == string(nonce) {
			known = true
			inForce = inForce || o.inForce
		}
	}

	return inForce, known
}

// Evacuations returns the evacuated failure domains, with the offset after the last record of an evacuation as the position.
// Other records don't change the position, so that each process passes a value on only after a change.
func (s *State) Evacuations() evacuation.Value { return s.shared().evacuations }

// Workers returns the registered workers in the order of their names.
func (s *State) Workers() []Worker {
	all := make([]Worker, 0, len(s.shared().workers.all()))

	for _, x := range s.shared().workers.all() {
		if x.leftOffset == notEnded {
			all = append(all, Worker{x})
		}
	}

	slices.SortFunc(all, func(a, b Worker) int { return strings.Compare(a.Name(), b.Name()) })

	return all
}

// WorkersAt returns the workers that were registered at the position: the offset of their registration is below it, and
// the offset of their departure, if any, is not. It returns false if the position is above the state's own, or so old
// that departed workers have been removed since.
func (s *State) WorkersAt(position int64) ([]Worker, bool) {
	f := s.shared()
	if position > f.position || position < f.workersKnownFrom {
		return nil, false
	}

	var all []Worker

	for _, x := range f.workers.all() {
		if x.registeredAt(position) {
			all = append(all, Worker{x})
		}
	}

	return all, true
}

// Registered reports whether the worker's incarnation is registered, and returns the offset of its first record if so.
func (s *State) Registered(name string, incarnation uint64) (offset int64, registered bool) {
	w := s.shared().workers.current(name)
	if w == nil || w.process.GetIncarnation() != incarnation {
		return 0, false
	}

	return w.joinedOffset, true
}

// Departed reports whether the worker's incarnation was registered and has left or was declared lost.
func (s *State) Departed(name string, incarnation uint64) bool {
	i := s.shared().workers.find(name, incarnation)

	return i >= 0 && s.shared().workers.registrations[i].leftOffset != notEnded
}

// Entries returns the registered entries in the order of their names.
func (s *State) Entries() []Entry {
	var all []Entry

	for _, x := range s.shared().entries.all() {
		if x.leftOffset == notEnded {
			all = append(all, Entry{x.process})
		}
	}

	slices.SortFunc(all, func(a, b Entry) int { return strings.Compare(a.Name(), b.Name()) })

	return all
}

// Successor returns the entry that took over the submissions of an incarnation that left. If that entry left as well,
// its own successor is returned, and so on.
func (s *State) Successor(incarnation uint64) (Entry, bool) {
	successor := Entry{}
	registrations := s.shared().entries.all()

	// A chain is no longer than the list, so the bound also terminates a chain that contains a cycle.
	for range registrations {
		i := slices.IndexFunc(registrations, func(x *registration[*wire.Entry]) bool {
			return x.process.GetIncarnation() == incarnation
		})
		if i < 0 || registrations[i].leftOffset == notEnded || registrations[i].successor == nil {
			break
		}

		successor = Entry{registrations[i].successor}
		incarnation = successor.Incarnation()
	}

	return successor, successor.wire != nil
}

// Binding returns the ticket that the member's idempotency key is bound to.
func (s *State) Binding(member, key string) (ticketText string, bound bool) {
	return s.bindings.find(bindingKey{member, key})
}

// BindingsCompleteSince returns the log time since which every binding is known; the zero time means that no binding is
// missing. It returns false if the log has not been read yet.
func (s *State) BindingsCompleteSince() (time.Time, bool) {
	switch {
	case s.loading || s.logPosition == 0 || s.bindings.completeSinceMS == math.MaxInt64:
		return time.Time{}, false
	case s.bindings.completeSinceMS == 0:
		return time.Time{}, true
	default:
		return time.UnixMilli(s.bindings.completeSinceMS), true
	}
}

// LogPosition returns the next offset to read from the log. It is below Position if other processes sent later records.
// Bindings are known up to it.
func (s *State) LogPosition() int64 { return s.logPosition }

// LogTime returns the latest timestamp read from the log.
func (s *State) LogTime() time.Time { return time.UnixMilli(s.bindings.latestTimeMS) }

// SnapshotTime returns the timestamp of the newest snapshot record read from the log, or that of the first record read
// if there was no snapshot. It returns false if no record was read.
func (s *State) SnapshotTime() (time.Time, bool) {
	if s.snapshotTimeMS > 0 {
		return time.UnixMilli(s.snapshotTimeMS), true
	}

	return time.UnixMilli(s.firstTimeMS), s.firstTimeMS > 0
}

// SkippedRecords returns the number of records that were ignored because they could not be decoded or were invalid
// where they occurred.
func (s *State) SkippedRecords() int64 { return s.skippedRecords }

// BindingCount returns the number of bindings held, including expired ones that have not been removed yet.
func (s *State) BindingCount() int { return s.bindings.count() }
