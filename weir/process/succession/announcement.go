package succession

import (
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/skylarkweir/skylarkweir/weir/process/warmup"
	"github.com/skylarkweir/skylarkweir/weir/request/job"
)

const (
	// maxInstanceBytes limits the id of an incarnation.
	maxInstanceBytes = 255
	// maxCapacity limits each part of a capacity, in millicores and in megabytes, so that sums of capacities of a whole
	// deployment don't overflow.
	maxCapacity = 1<<31 - 1
	// maxSequence limits the sequence number of an announcement. All later announcements would count as older than one
	// with the highest number there is.
	maxSequence = 1 << 40
	// maxClockSkew is how far in the future an incarnation may have started, by the clock of this process.
	maxClockSkew = 24 * time.Hour
)

// Announcement describes a backend server that announces itself to the sidecar.
type Announcement struct {
	instance, service, failureDomain string
	// startedAtMS is the start of the incarnation in Unix milliseconds, zero if it is not known; sequence increases
	// with each announcement of an incarnation.
	startedAtMS, sequence int64
	// clock is the backend server's clock when it sent the announcement, zero if it is not known.
	clock time.Duration
	// coldLeft is how much longer the backend server is slow after its start, as of its clock.
	coldLeft time.Duration
	capacity job.Size
	labels   []string
	draining bool
	// departed is true in the last announcement of a backend server that has left.
	departed bool
}

// Instance returns the id of the incarnation.
func (a Announcement) Instance() string { return a.instance }

// Service returns the name of the service that the backend server runs.
func (a Announcement) Service() string { return a.service }

// FailureDomain returns the failure domain in which the backend server runs.
func (a Announcement) FailureDomain() string { return a.failureDomain }

// StartedAtMS returns the start of the incarnation in Unix milliseconds, or zero if it is not known.
func (a Announcement) StartedAtMS() int64 { return a.startedAtMS }

// Capacity returns the processor time and memory that tasks may use.
func (a Announcement) Capacity() job.Size { return a.capacity }

// Labels returns the labels that tasks can require.
func (a Announcement) Labels() []string { return a.labels }

// Draining reports whether the backend server accepts no new tasks because it is about to leave.
func (a Announcement) Draining() bool { return a.draining }

// Departed reports whether the backend server has left, so that what was saved of it is out of date.
func (a Announcement) Departed() bool { return a.departed }

// Sequence returns the number of the announcement, which increases with each one of an incarnation.
func (a Announcement) Sequence() int64 { return a.sequence }

// precedesDepartureOf reports whether the announcement comes from the incarnation that has left with the announcement
// gone, as one that was delayed on its way does.
func (a Announcement) precedesDepartureOf(gone Announcement) bool {
	if a.instance != gone.instance || a.startedAtMS != gone.startedAtMS {
		return false
	}

	// Without the time of the start, a lower sequence number may be that of a new incarnation with the same id.
	return a.startedAtMS != 0 || a.sequence >= gone.sequence
}

// IsOfSameIncarnation reports whether both announcements come from the same incarnation. A start that is not known may be
// any.
func (a Announcement) IsOfSameIncarnation(b Announcement) bool {
	return a.instance == b.instance && (a.startedAtMS == b.startedAtMS || a.startedAtMS == 0 || b.startedAtMS == 0)
}

// isOfLeaving reports whether the announcement comes from the incarnation that says that it leaves. Without the time of its
// start, that may be an earlier one with the same id whose notice is late: one that leaves has announced that it drains.
func (a Announcement) isOfLeaving(instance string, startedAtMS int64) bool {
	switch {
	case a.instance != instance:
		return false
	case a.startedAtMS != 0 && startedAtMS != 0:
		return a.startedAtMS == startedAtMS
	default:
		return a.draining
	}
}

// NewAnnouncement returns an announcement of an incarnation of a backend server.
func NewAnnouncement(
	instance, service, failureDomain string, startedAtMS, sequence int64, capacity job.Size, labels []string,
	draining bool,
) Announcement {
	return Announcement{
		instance: instance, service: service, failureDomain: failureDomain, startedAtMS: startedAtMS, sequence: sequence,
		capacity: capacity, labels: labels, draining: draining,
	}
}

// WithClock returns the announcement with the reading of the backend server's clock when it sent it.
func (a Announcement) WithClock(clock time.Duration) Announcement {
	a.clock = clock

	return a
}

// WithColdLeft returns the announcement with how much longer the backend server is slow after its start.
func (a Announcement) WithColdLeft(left time.Duration) Announcement {
	a.coldLeft = left

	return a
}

// ColdLeft returns how much longer the backend server was slow after its start when it sent the announcement.
func (a Announcement) ColdLeft() time.Duration { return a.coldLeft }

// isNewerThan reports whether the announcement was sent later than another one of the same incarnation. The clock decides if
// both have it, as it can be compared with the backend server's own answers; a sequence number may come from another writer.
func (a Announcement) isNewerThan(b Announcement) bool {
	if a.clock != 0 && b.clock != 0 && a.clock != b.clock {
		return a.clock > b.clock
	}

	return a.sequence >= b.sequence
}

// Validate returns an error if the announcement describes no backend server that can be used: calls could not name it,
// sums with its capacity could overflow, or its true announcements would count as older ones.
func (a Announcement) Validate() error {
	switch {
	case !isInstance(a.instance):
		return merry.Errorf("instance: %.40q is not an id of 1 to %d visible characters", a.instance, maxInstanceBytes)
	case a.service == "":
		return merry.New("service: missing")
	case a.startedAtMS < 0 || a.startedAtMS > time.Now().Add(maxClockSkew).UnixMilli():
		return merry.Errorf("start: %d is not between 1970 and tomorrow in Unix milliseconds", a.startedAtMS)
	case a.sequence < 0 || a.sequence > maxSequence:
		return merry.Errorf("sequence: %d is not in 0..%d", a.sequence, maxSequence)
	case a.capacity.Millicores() == 0 || a.capacity.Millicores() > maxCapacity:
		return merry.Errorf("processor time: %d millicores are not in 1..%d", a.capacity.Millicores(), maxCapacity)
	case a.coldLeft < 0 || a.coldLeft > warmup.MaxColdTime:
		return merry.Errorf("cold time: %s is not in 0..%s", a.coldLeft, warmup.MaxColdTime)
	case a.capacity.MemoryMB() > maxCapacity:
		return merry.Errorf("memory: %d MB are not in 0..%d", a.capacity.MemoryMB(), maxCapacity)
	}

	return nil
}

// isInstance reports whether the text can be sent as the id of an incarnation in the header of a call.
func isInstance(text string) bool {
	for _, c := range []byte(text) {
		if c <= ' ' || c > '~' {
			return false
		}
	}

	return text != "" && len(text) <= maxInstanceBytes
}
