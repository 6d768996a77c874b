package repeatable

import (
	"context"

	"github.com/skylarkweir/skylarkweir/weir/process/ejection"
	"github.com/skylarkweir/skylarkweir/weir/process/uptime"
)

// AnnouncementResult is what becomes of an announcement.
type AnnouncementResult uint8

// The results of an announcement.
const (
	// AnnouncementApplied means that the announcement is in force.
	AnnouncementApplied AnnouncementResult = iota
	// AnnouncementPending means that the announcement names another incarnation than the one in force. It takes effect once
	// a call shows that the one in force has ended.
	AnnouncementPending
	// AnnouncementOutdated means that a later announcement is in force, or that the incarnation has left.
	AnnouncementOutdated
	// AnnouncementImplausible means that the backend server cannot have sent the announcement yet, by its clock.
	AnnouncementImplausible
)

var announcementResultNames = [...]string{"applied", "pending", "outdated", "implausible"}

// String returns the name of the result in logs and metrics.
func (r AnnouncementResult) String() string { return announcementResultNames[r] }

// Accepted reports whether the announcement is in force or may come into force.
func (r AnnouncementResult) Accepted() bool {
	return r == AnnouncementApplied || r == AnnouncementPending
}

// Announce applies an announcement of the backend server. One that names another incarnation than the one in force takes
// effect only once a call shows that the one in force has ended, as another writer may have sent it.
func (w *Worker) Announce(ctx context.Context, a Announcement) AnnouncementResult {
	w.mu.Lock()
	defer w.mu.Unlock()

	r := w.announce(ctx, a)
	w.metrics.recordAnnouncement(r.String())

	return r
}

func (w *Worker) announce(ctx context.Context, a Announcement) AnnouncementResult {
	i := w.incarnation

	switch {
	case a.precedesDepartureOf(w.gone):
		return AnnouncementOutdated
	case i == nil:
		w.beginIncarnation(ctx, a)
		w.updateCapacity()

		return AnnouncementApplied
	case !i.announcement.isOfSameIncarnation(a):
		return w.announceSuccessor(i, a) //nolint:contextcheck // the incarnation outlives the call
	default:
		return w.updateAnnouncement(i, a)
	}
}

// updateAnnouncement replaces the announcement of the incarnation in force by a newer one. A drain takes effect even if a
// newer one does not tell of it, since a backend server that drains does not stop doing so.
func (w *Worker) updateAnnouncement(i *incarnation, a Announcement) AnnouncementResult {
	now, before := uptime.Now(), i.announcement

	switch {
	case !i.lease.ClockHasReached(a.clock, now):
		return AnnouncementImplausible
	case !i.lease.ClockHasReached(before.clock, now) || a.isNewerThan(before):
		i.announcement = a
	case a.draining && !before.draining:
		i.announcement.draining = true
	default:
		return AnnouncementOutdated
	}

	if a.draining != before.draining {
		w.log.Info().Str("event", "backend_state").Str("instance", a.instance).Bool("draining", a.draining).
			Int64("sequence", a.sequence).Msg("backend server changed its drain state")
		w.saveAnnouncement(i)
	}

	w.updateCapacity()

	return AnnouncementApplied
}

func (w *Worker) saveAnnouncement(i *incarnation) {
	i.isSaved = true

	if w.save != nil {
		w.save(i.announcement)
	}
}

// beginIncarnation begins an incarnation of the backend server. None is in force.
func (w *Worker) beginIncarnation(ctx context.Context, a Announcement) {
	w.incarnation = newIncarnation(ctx, w, a)
	w.stats = ejection.Statistics{}
	w.slowness = 0

	w.log.Info().Str("event", "backend_announced").Str("instance", a.instance).Str("service", a.service).
		Int64("born", a.startedAtMS).Int64("cpu", a.capacity.Millicores()).Strs("labels", a.labels).
		Msg("new incarnation of the backend server")

	go w.incarnation.run() //nolint:contextcheck // it outlives the call
}
