package emulator

import (
	"github.com/skylarkweir/skylarkweir/weir/process/jobplacement"
	"github.com/skylarkweir/skylarkweir/weir/process/quarantine"
	"github.com/skylarkweir/skylarkweir/weir/process/reservation"
	"github.com/skylarkweir/skylarkweir/weir/request/job"
)

// requestReservations requests reservations for the tasks that have not been launched.
func (sm *simulation) requestReservations(j *activeJob) {
	e := sm.entries[j.entry]

	var servers []jobplacement.Server

	for n, r := range e.reports {
		access := sm.access(j, n)
		if !e.connected[n] || r.closed || j.requestedFrom[n] || access == quarantine.Forbidden {
			continue
		}

		s := sm.servers[n]
		candidate := jobplacement.NewServer(
			uint64(n), job.NewSize(max(0, r.freeCPU-e.requestedCPU[n]), 1<<20),
			r.queuedAhead(sm.priority(j)), s.capacity.Millicores(), s.slowness, nil,
		).WithSlowdown(e.slowdown(j, r))

		if access == quarantine.LastResort {
			candidate = candidate.AsLastResort()
		}

		servers = append(servers, candidate)
	}

	runTime := j.job.Estimate()
	plan := jobplacement.Choose(
		jobplacement.NewDemand(len(j.pending), j.job.Size(), job.Constraints{}, runTime), servers, sm.random,
	)
	share := plan.NeededShare(len(j.pending), j.outstanding)

	for _, rq := range plan.Requests() {
		n := int(rq.ID())
		j.requestedFrom[n] = true
		j.outstanding += rq.Tasks()
		e.requestedCPU[n] += int64(share * float64(j.job.Size().Millicores()*int64(rq.Tasks())))

		sm.scheduleAfter(sm.load.messageDelay, func() {
			sm.servers[n].pool.Add(reservation.NewRequest(reservation.NewKey(1, j.number), rq.Tasks(), j.job.Size(),
				sm.priority(j), j.arrivedAt, j.arrivedAt+jobTimeout, runTime, share))
			sm.processQueue(n)
		})
	}

	sm.scheduleAfter(requestInterval, func() {
		if len(j.pending) > 0 && !j.isOver(sm.now) {
			sm.requestReservations(j)
		}
	})
}

// processQueue starts the tasks that were launched at a backend server and grants reservations there.
func (sm *simulation) processQueue(n int) {
	s := sm.servers[n]

	for len(s.launchedTasks) > 0 && s.pool.Begin(s.launchedTasks[0].activeJob.job.Size()) {
		sm.startTask(n, s.launchedTasks[0])
		s.launchedTasks = s.launchedTasks[1:]
	}

	for _, g := range s.pool.Allocate(sm.now) {
		j, free := sm.jobs[g.Key().Job()], s.pool.Free().Millicores()

		sm.scheduleAfter(sm.load.messageDelay, func() {
			e := sm.entries[j.entry]
			e.reports[n].freeCPU = free
			e.requestedCPU[n] = max(0, e.requestedCPU[n]-j.job.Size().Millicores()*int64(g.Tasks()))
			sm.launchGranted(j, n, g.Tasks())
		})
	}
}

// launchGranted launches tasks of a job in granted reservations.
func (sm *simulation) launchGranted(j *activeJob, n, reservations int) {
	j.outstanding = max(0, j.outstanding-reservations)

	if j.isOver(sm.now) || len(j.pending) == 0 {
		sm.releaseReservations(j)

		return
	}

	if sm.access(j, n) == quarantine.Forbidden {
		sm.releaseAt(j, n)

		return
	}

	j.started = true
	reservations = min(reservations, len(j.pending))
	tasks := j.pending[:reservations]
	j.pending = j.pending[reservations:]

	sm.scheduleAfter(sm.load.messageDelay, func() {
		s := sm.servers[n]
		_, launched := s.pool.Launch(reservation.NewKey(1, j.number), reservations)
		s.launchedTasks = append(s.launchedTasks, tasks[:launched]...)

		if launched < len(tasks) { // the reservation has expired
			j.pending = append(j.pending, tasks[launched:]...)
		}

		sm.processQueue(n)
	})

	if len(j.pending) == 0 {
		sm.releaseReservations(j)
	}
}

func (sm *simulation) releaseReservations(j *activeJob) {
	for n := range sm.servers {
		if !j.requestedFrom[n] {
			continue
		}

		sm.releaseAt(j, n)
	}
}

func (sm *simulation) releaseAt(j *activeJob, n int) {
	sm.scheduleAfter(sm.load.messageDelay, func() {
		// Messages keep their order, so an earlier launch has been handled.
		sm.servers[n].pool.Release(reservation.NewKey(1, j.number))
		sm.processQueue(n)
	})
}
