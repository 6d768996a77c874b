package repeatable

import (
	"time"

	"github.com/skylarkweir/skylarkweir/weir/process/uptime"
)

// successor is an incarnation that was announced while another one is in force. Another writer may have sent the
// announcement, so it takes effect only once the one in force is known to have ended. The zero value is none.
type successor struct {
	announcement Announcement
	// announcedAt is the time of the newest announcement, on the clock of package uptime, zero if there is none.
	announcedAt time.Duration
}

func (s successor) exists() bool { return s.announcedAt > 0 }

// announceSuccessor records the announcement of an incarnation other than the one in force, and calls the backend server
// to learn which of the two it is.
func (w *Worker) announceSuccessor(i *incarnation, a Announcement) AnnouncementResult {
	isEarlier := a.startedAtMS < i.announcement.startedAtMS
	if isEarlier && i.isConfirmed() {
		return AnnouncementOutdated
	}

	isKnown := i.successor.exists() && i.successor.announcement.isOfSameIncarnation(a)
	i.successor = successor{a, uptime.Now()}

	if !isKnown {
		w.log.Info().Str("event", "successor_announced").Str("instance", a.instance).Int64("born", a.startedAtMS).
			Str("current", i.instance).Int64("current_born", i.announcement.startedAtMS).Int("tasks", len(w.tasks)).
			Msg("another incarnation was announced; it takes effect if the backend server does not answer as the current one")
	}

	c := &renewalCall{i}
	go c.run()

	if isEarlier {
		return AnnouncementOutdated
	}

	return AnnouncementPending
}

// refuteSuccessor drops the successor if the incarnation in force has answered a call that was sent after the announcement,
// at the time sent.
func (w *Worker) refuteSuccessor(i *incarnation, sent time.Duration) {
	if !i.successor.exists() || sent < i.successor.announcedAt {
		return
	}

	a := i.successor.announcement
	i.successor = successor{}

	w.log.Warn().Str("event", "successor_refuted").Str("instance", a.instance).Int64("born", a.startedAtMS).
		Str("service", a.service).Str("current", i.instance).
		Msg("announcement of another incarnation ignored, as the current one still answers; another writer may have sent it")
}
