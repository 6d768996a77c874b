package repeatable

import (
	"context"
	"time"

	"github.com/skylarkweir/skylarkweir/weir/process/ejection"
	"github.com/skylarkweir/skylarkweir/weir/process/runtimes"
	"github.com/skylarkweir/skylarkweir/weir/process/succession"
	"github.com/skylarkweir/skylarkweir/weir/process/uptime"
)

// Restore applies an announcement that an earlier sidecar has saved, unless the backend server has announced itself.
// The announcement may be out of date: it is discarded if another incarnation answers.
func (w *Worker) Restore(ctx context.Context, a succession.Announcement) {
	w.mu.Lock()
	defer w.mu.Unlock()

	if !w.server.Restore(a) {
		return
	}

	w.beginIncarnation(ctx)
	w.warmUp.ramp.UseUp(uptime.Now())
	w.incarnation.isSaved = true
	w.updateCapacity()
}

// Announce applies an announcement of the backend server. One that names another incarnation than the one in force takes
// effect only once a call shows that the one in force has ended, as another writer may have sent it.
func (w *Worker) Announce(ctx context.Context, a succession.Announcement) succession.Result {
	w.mu.Lock()
	defer w.mu.Unlock()

	now, i, before := uptime.Now(), w.incarnation, w.server
	r := w.server.Announce(a, now, func(clock time.Duration) bool { return i.lease.ClockHasReached(clock, now) })
	w.metrics.recordAnnouncement(r)

	switch r {
	case succession.Began:
		w.beginIncarnation(ctx)
	case succession.Applied:
		w.recordColdLeft(a, now)
		w.recordDrain(i, before.Current())
	case succession.Pending, succession.Outdated:
		w.verifySuccessor(i, before) //nolint:contextcheck // the incarnation outlives the call
	case succession.Implausible:
	}

	w.updateCapacity()

	return r
}

// recordDrain logs and saves a change of the drain state since an earlier announcement.
func (w *Worker) recordDrain(i *incarnation, before succession.Announcement) {
	a := w.server.Current()
	if a.Draining() == before.Draining() {
		return
	}

	w.log.Info().Str("event", "backend_state").Str("instance", a.Instance()).Bool("draining", a.Draining()).
		Int64("sequence", a.Sequence()).Msg("backend server changed its drain state")
	w.saveAnnouncement(i)
}

// verifySuccessor calls the backend server to learn whether it is the incarnation in force or the successor, if there is one.
func (w *Worker) verifySuccessor(i *incarnation, before succession.State) {
	a, ok := w.server.Successor()
	if !ok {
		return
	}

	if b, ok := before.Successor(); !ok || !b.IsOfSameIncarnation(a) {
		w.log.Info().Str("event", "successor_announced").Str("instance", a.Instance()).Int64("born", a.StartedAtMS()).
			Str("current", i.instance).Int64("current_born", w.server.Current().StartedAtMS()).Int("tasks", len(w.tasks)).
			Msg("another incarnation was announced; it takes effect if the backend server does not answer as the current one")
	}

	c := &renewalCall{i}
	go c.run()
}

func (w *Worker) saveAnnouncement(i *incarnation) {
	i.isSaved = true

	if w.save != nil {
		w.save(w.server.Current())
	}
}

// beginIncarnation begins to work with the incarnation of the backend server that has come into force.
func (w *Worker) beginIncarnation(ctx context.Context) {
	a := w.server.Current()
	w.incarnation = newIncarnation(ctx, w, a.Instance())
	w.stats = ejection.Statistics{}
	w.slowness = runtimes.Slowness{}
	w.warmUp.begin(a, uptime.Now())

	w.log.Info().Str("event", "backend_announced").Str("instance", a.Instance()).Str("service", a.Service()).
		Int64("born", a.StartedAtMS()).Int64("cpu", a.Capacity().Millicores()).Strs("labels", a.Labels()).
		Msg("new incarnation of the backend server")

	go w.incarnation.run() //nolint:contextcheck // it outlives the call
}

// recordListAnswer handles what a list of runs says of the incarnation in force; the call was sent at the time sent. It
// returns false if that has ended.
func (w *Worker) recordListAnswer(i *incarnation, startedAtMS int64, sent time.Duration) bool {
	answer := w.server.RecordAnswer(startedAtMS, sent)
	if answer.IsRestarted() {
		w.markCrashed(i)
		w.endIncarnation("the backend server was restarted with the same instance id", restarted)

		return false
	}

	if a, ok := answer.Refuted(); ok {
		w.log.Warn().Str("event", "successor_refuted").Str("instance", a.Instance()).Int64("born", a.StartedAtMS()).
			Str("service", a.Service()).Str("current", i.instance).
			Msg("announcement of another incarnation ignored, as the current one still answers; another writer may have sent it")
	}

	if answer.IsFirst() {
		w.loseHeldOfOthers(i)

		if !i.isSaved {
			w.saveAnnouncement(i)
		}
	}

	return true
}
