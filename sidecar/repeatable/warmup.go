package repeatable

import (
	"time"

	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
	"github.com/skylarkweir/skylarkweir/weir/process/runtimes"
	"github.com/skylarkweir/skylarkweir/weir/process/succession"
	"github.com/skylarkweir/skylarkweir/weir/process/uptime"
	"github.com/skylarkweir/skylarkweir/weir/process/warmup"
	"github.com/skylarkweir/skylarkweir/weir/request/job"
)

const (
	// coldCheckInterval replaces checkInterval while starts at a cold backend server are bounded. With the longer one, the
	// starts that add up between two checks would exceed the bucket at rates from 100 per second, and be lost.
	coldCheckInterval = 10 * time.Millisecond
	// defaultTaskCPU is the assumed size of a task, in millicores, before one has started.
	defaultTaskCPU = 1000
	// taskCPUWeight is the weight of the newest start in the moving average warmUp.taskCPU.
	taskCPUWeight = 0.05
)

// warmUp is the ramp of the backend server. Its zero value is that of one that is not cold.
type warmUp struct {
	ramp warmup.Ramp
	// isCold is true from the event that the backend server is cold to the one that it isn't any more.
	isCold bool
	// settings has the highest version of what the operator states of cold backend servers, nil if none was received, and
	// service the service for which the ramp is configured.
	settings *wire.ServiceSettings
	service  string
	// taskCPU is the moving average of the size of the tasks that start, in millicores, zero before the first.
	taskCPU float64
}

// begin begins with another incarnation.
func (u *warmUp) begin(a succession.Announcement, now time.Duration) {
	u.service = a.Service()
	u.configure(now)
	// The cold time of the incarnation before doesn't count.
	u.ramp.Announce(0, now)
	u.ramp.Announce(a.ColdLeft(), now)
}

// configure passes the settings of the service to the ramp. Without any it limits nothing but the share.
func (u *warmUp) configure(now time.Duration) {
	for _, s := range u.settings.GetServices() {
		if s.GetName() == u.service {
			u.ramp.Configure(time.Duration(s.GetColdMs())*time.Millisecond, float64(s.GetStartsPer_1000S())/1000, now)

			return
		}
	}

	u.ramp.Configure(0, 0, now)
}

// reportedVersion returns the version of the settings if they name a service. An entry need not replace others.
func (u *warmUp) reportedVersion() uint64 {
	if len(u.settings.GetServices()) == 0 {
		return 0
	}

	return u.settings.GetVersion()
}

func (u *warmUp) recordStart(size job.Size, now time.Duration) {
	u.ramp.RecordStart(now)

	cpu := float64(size.Millicores())
	if u.taskCPU == 0 {
		u.taskCPU = cpu
	}

	u.taskCPU += taskCPUWeight * (cpu - u.taskCPU)
}

// SetColdBounds sets how far starts at a cold backend server may exceed its stated rate.
func (w *Worker) SetColdBounds(b warmup.Bounds) {
	w.mu.Lock()
	defer w.mu.Unlock()

	w.warmUp.ramp.SetBounds(b, uptime.Now())
}

// receiveServiceSettings adopts what the operator states of cold backend servers, if its version is higher than that in
// force.
func (w *Worker) receiveServiceSettings(s *entrySession, m *wire.ServiceSettings) {
	w.mu.Lock()
	defer w.mu.Unlock()

	u := &w.warmUp
	if u.settings.GetVersion() >= m.GetVersion() {
		return
	}

	now := uptime.Now()
	u.settings = m
	u.configure(now)

	w.log.Info().Str("event", "service_settings_adopted").Uint64("version", m.GetVersion()).Str("entry", s.entry).
		Int("services", len(m.GetServices())).Float64("starts_per_second", u.ramp.Rate()).
		Msg("new settings for cold backend servers in force")
	w.schedule(now)
}

// recordColdLeft passes the cold time of an announcement to the ramp, if that is the newest one.
func (w *Worker) recordColdLeft(a succession.Announcement, now time.Duration) {
	if c := w.server.Current(); c.Sequence() == a.Sequence() && c.ColdLeft() == a.ColdLeft() {
		w.warmUp.ramp.Announce(a.ColdLeft(), now)
	}
}

// applyWarmUp limits new reservations by the ramp, and logs when the backend server turns cold or is no longer cold.
func (w *Worker) applyWarmUp(now time.Duration) {
	u := &w.warmUp
	cold := w.incarnation != nil && u.ramp.IsCold(now)

	switch {
	case !cold && !u.isCold:
		return
	case !cold:
		w.endWarmUp()

		return
	case u.ramp.LimitsStarts(now):
		w.pool.LimitStarts(u.ramp.Starts(now) - w.waitingStarts())
	default:
		withheld := 1 - u.ramp.Share(now)
		capacity := w.pool.Capacity()
		w.pool.Withhold(job.NewSize(
			int64(withheld*float64(capacity.Millicores())), int64(withheld*float64(capacity.MemoryMB()))))
	}

	if !u.isCold {
		w.beginWarmUp(now)
	}
}

// beginWarmUp handles that the backend server has turned cold. What has not started, and is more than it may have now, may
// start at once elsewhere.
func (w *Worker) beginWarmUp(now time.Duration) {
	u := &w.warmUp
	u.isCold = true

	w.log.Info().Str("event", "backend_cold").Str("instance", w.incarnation.instance).Dur("cold_left", u.ramp.Left(now)).
		Float64("starts_per_second", u.ramp.Rate()).Float64("share", u.ramp.Share(now)).Int("tasks", len(w.tasks)).
		Msg("backend server is cold; work returns to it gradually")

	if w.incarnation.isSaved {
		w.saveAnnouncement(w.incarnation)
	}

	if w.waitingStarts() > 0 || w.pool.ExceedsLimits() {
		w.pool.ReleaseReserved()
		w.rejectLaunched()
	}
}

func (w *Worker) endWarmUp() {
	w.warmUp.isCold = false
	w.pool.LiftLimits()
	// The run times of the cold time tell nothing of those to come.
	w.slowness = runtimes.Slowness{}

	w.log.Info().Str("event", "backend_warm").Int("tasks", len(w.tasks)).
		Msg("backend server is no longer cold; its whole capacity is used")
}

// waitingStarts returns the number of launched tasks that wait for their start.
func (w *Worker) waitingStarts() int {
	n := 0

	for _, t := range w.launched {
		if w.tasks[t.run.task] == t {
			n++
		}
	}

	return n
}

// allowsStart reports whether the ramp allows one more start.
func (u *warmUp) allowsStart() bool {
	if !u.isCold {
		return true
	}

	now := uptime.Now()

	return !u.ramp.LimitsStarts(now) || u.ramp.Starts(now) > 0
}

// free returns the capacity that entries may request. While starts are bounded it is that of as many tasks of the usual
// size.
func (w *Worker) free() job.Size {
	free := w.pool.Free()

	left, isLimited := w.pool.StartsLeft()
	if !isLimited {
		return free
	}

	cpu := w.warmUp.taskCPU
	if cpu == 0 {
		cpu = defaultTaskCPU
	}

	return job.NewSize(min(free.Millicores(), int64(float64(left)*cpu)), free.MemoryMB())
}

// usablePermille returns the part of the capacity that a cold backend server takes, in 1/1000, or zero if it is not cold:
// what is in use, and what may be requested.
func (w *Worker) usablePermille() uint32 {
	capacity := w.pool.Capacity().Millicores()
	if !w.warmUp.isCold || capacity == 0 {
		return 0
	}

	inUse := capacity - w.pool.Capacity().Minus(w.pool.Allocated()).Millicores()

	return uint32(max(1, min(1000, 1000*(inUse+w.free().Millicores())/capacity)))
}

// nextCheck returns the time until the next check of a worker with work.
func (w *Worker) nextCheck(now time.Duration) time.Duration {
	if w.warmUp.ramp.LimitsStarts(now) && (w.pool.HasRequests() || len(w.launched) > 0) {
		return coldCheckInterval
	}

	return checkInterval
}
