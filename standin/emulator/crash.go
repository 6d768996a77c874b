package emulator

import (
	"cmp"
	"slices"
	"time"

	"github.com/skylarkweir/skylarkweir/weir/process/reservation"
)

const (
	// crashDelay is the time from the start of a deadly task to the crash of its backend server.
	crashDelay = 10 * time.Millisecond
	// restartDelay is how long a crashed backend server is away.
	restartDelay = 3200 * time.Millisecond
	// lossDelay is the time from a crash until its tasks are reported as lost: until their lease has ended.
	lossDelay = 1050 * time.Millisecond
	// closeDelay is the time from a crash until the sidecar accepts no more tasks.
	closeDelay = lossDelay
)

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
	s.accepting = false
	s.pool.Clear()
	sm.sendReport(n)

	sm.scheduleAfter(sm.load.messageDelay, func() {
		for _, j := range sm.jobs {
			if j.requestedFrom[n] {
				delete(j.requestedFrom, n)
				// The next requests count anew what the job still needs.
				j.outstanding = 0
			}
		}
	})
}

// reportLosses reports the tasks that a crashed backend server ran as lost. Their jobs place them again.
func (sm *simulation) reportLosses(n int) {
	s := sm.servers[n]
	lost := s.launchedTasks
	s.launchedTasks = nil

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

			if !j.isOver(sm.now) {
				sm.requestReservations(j)
			}
		}
	})
}

func (sm *simulation) restart(n int) {
	s := sm.servers[n]
	s.accepting = true
	s.pool.SetCapacity(s.capacity, reservation.Headroom(s.capacity.Millicores()))
	sm.sendReport(n)
	sm.processQueue(n)
}
