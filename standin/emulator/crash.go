package emulator

import (
	"cmp"
	"slices"
	"time"

	"github.com/skylarkweir/skylarkweir/weir/process/quarantine"
	"github.com/skylarkweir/skylarkweir/weir/process/reservation"
)

const (
	// crashDelay is the time from the start of a deadly task to the crash of its backend server.
	crashDelay = 10 * time.Millisecond
	// restartDelay is how long a crashed backend server is away.
	restartDelay = 3200 * time.Millisecond
	// lossDelay is the time from a crash until its tasks are reported as lost: until their lease has ended.
	lossDelay = 680 * time.Millisecond
	// closeDelay is the time from a crash until the sidecar accepts no more tasks.
	closeDelay = 2 * time.Millisecond
	// crashReportDelay is the time in which a closed backend server is reported as crashed.
	crashReportDelay = 50 * time.Millisecond
	// advanceInterval is how often entries pass the time to the tracker of crashes.
	advanceInterval = 100 * time.Millisecond
	// maxCrashes is the number of crashes under a task after which its job fails.
	maxCrashes = 2
)

// advanceTrackers passes the time to the trackers of the entries.
func (sm *simulation) advanceTrackers() {
	for _, e := range sm.entries {
		sm.chooseZone(e)

		usable := false
		for _, s := range sm.servers {
			usable = usable || (s.accepting && e.zone[s.name])
		}

		e.quarantine.Advance(sm.now, func(string) bool { return usable })
	}

	if sm.now < sm.load.duration {
		sm.scheduleAfter(advanceInterval, sm.advanceTrackers)
	}
}

// chooseZone chooses the zone of the backend servers that an entry knows, as a dispatcher does. Crashed ones are expected
// back.
func (sm *simulation) chooseZone(e *entry) {
	all := make([]string, 0, len(sm.servers))
	open := make([]string, 0, len(sm.servers))

	for n, s := range sm.servers {
		all = append(all, s.name)

		if r := e.reports[n]; !r.closed || sm.now-r.closedSince < crashReportDelay {
			open = append(open, s.name)
		}
	}

	e.zone = quarantine.Zone(all)

	inZone := func(name string) bool { return e.zone[name] }
	if e.quarantine.ReplacesZone(service) && !slices.ContainsFunc(open, inZone) {
		e.zone = quarantine.Zone(open)
	}
}

// access returns how a job may use a backend server, as far as its entry knows.
func (sm *simulation) access(j *activeJob, n int) quarantine.Access {
	policy, e := j.job.Policy(), sm.entries[j.entry]

	return e.quarantine.Access(policy.Service(), policy.Kind(), e.zone[sm.servers[n].name])
}

// crash ends the process of a backend server, unless it has crashed since its life with the given number.
func (sm *simulation) crash(n, life int) {
	s := sm.servers[n]
	if s.life != life {
		return
	}

	s.life++
	s.pool.SetCapacity(s.capacity.Minus(s.capacity), 0)

	sm.scheduleAfter(closeDelay, func() { sm.closeServer(n) })
	sm.scheduleAfter(lossDelay, func() { sm.reportLosses(n) })
	sm.scheduleAfter(restartDelay, func() { sm.restart(n) })
}

// closeServer tells the entries that a backend server accepts no tasks and has dropped all requests.
func (sm *simulation) closeServer(n int) {
	s := sm.servers[n]
	s.accepting, s.closedSince = false, sm.now
	s.pool.Clear()
	sm.sendReport(n)

	exposures := sm.exposures(s)

	sm.scheduleAfter(sm.load.messageDelay, func() {
		if _, unconfined := sm.rule.(Unconfined); !unconfined {
			for _, e := range sm.entries {
				sm.chooseZone(e)
				e.quarantine.RecordCrash(service, exposures, e.zone[s.name], sm.now)
				sm.chooseZone(e)
			}
		}

		for _, j := range sm.jobs {
			if j.requestedFrom[n] {
				delete(j.requestedFrom, n)
				// The next requests count anew what the job still needs.
				j.outstanding = 0
			}
		}
	})
}

// exposures returns how the kinds that ran at a backend server were exposed to its crash.
func (sm *simulation) exposures(s *server) []quarantine.Exposure {
	newest := map[string]*task{}

	for t := range s.running {
		kind := t.activeJob.job.Policy().Kind()

		if n := newest[kind]; n == nil || compareNewest(t, n) < 0 {
			newest[kind] = t
		}
	}

	exposures := make([]quarantine.Exposure, 0, len(newest))

	for _, k := range sm.load.kinds {
		if t := newest[k.name]; t != nil {
			exposures = append(exposures, quarantine.NewExposure(
				k.name, sm.now-t.startedAt, s.startRates.Rate(k.name, sm.now),
			))
		}
	}

	return exposures
}

// compareNewest orders tasks by their start, the newest first, and those that started together by their crashes.
func compareNewest(a, b *task) int {
	return cmp.Or(cmp.Compare(b.startedAt, a.startedAt), cmp.Compare(b.crashes, a.crashes),
		cmp.Compare(a.activeJob.number, b.activeJob.number))
}

// reportLosses reports the tasks that a crashed backend server ran as lost. Their jobs place them again.
func (sm *simulation) reportLosses(n int) {
	s := sm.servers[n]
	lost := s.launchedTasks
	s.launchedTasks = nil

	sm.endSuspect(s)

	for t := range s.running {
		t.crashes++
		lost = append(lost, t)
	}

	slices.SortStableFunc(lost, func(a, b *task) int {
		return cmp.Or(cmp.Compare(a.activeJob.number, b.activeJob.number), cmp.Compare(a.runTime, b.runTime))
	})
	clear(s.running)

	s.pool, s.runningCPU = reservation.Pool{}, [reservation.PriorityCount]int64{}

	sm.scheduleAfter(sm.load.messageDelay, func() {
		for _, t := range lost {
			j := t.activeJob
			j.pending = append(j.pending, t)
			j.failed = j.failed || t.crashes >= maxCrashes

			if !j.isOver(sm.now) {
				sm.requestReservations(j)
			}
		}
	})
}

// endSuspect gives up the job that started last before a crash if its kind may use the zone only.
func (sm *simulation) endSuspect(s *server) {
	var newest *task

	for t := range s.running {
		if newest == nil || compareNewest(t, newest) < 0 {
			newest = t
		}
	}

	if newest == nil {
		return
	}

	j := newest.activeJob
	if sm.entries[j.entry].quarantine.Level(j.job.Policy().Kind()) >= quarantine.Probed {
		j.failed = true
	}
}

func (sm *simulation) restart(n int) {
	s := sm.servers[n]
	s.accepting, s.startRates = true, quarantine.StartRates{}
	s.startRates.Begin(sm.now)
	s.pool.SetCapacity(s.capacity, reservation.Headroom(s.capacity.Millicores()))
	sm.sendReport(n)
	sm.processQueue(n)
}
