package repeatable

import (
	"time"

	"github.com/skylarkweir/skylarkweir/weir/process/lease"
)

// handleSidecarLoss marks the tasks at a lost sidecar and returns their number. They are placed again once they can no
// longer run there.
func (a *activeJob) handleSidecarLoss(s *sidecar) int {
	delete(a.requested, s.number)
	delete(a.granted, s.number)

	lost := 0

	for i := range a.placements {
		if a.placements[i].sidecar == s.number {
			a.placements[i].sidecarLost = true
			lost++
		}
	}

	if lost > 0 {
		time.AfterFunc(lease.MaxRunAfterLoss, func() { a.freeLostTasks(s.number) })
	}

	return lost
}

// freeLostTasks places the tasks that were at a lost sidecar again.
func (a *activeJob) freeLostTasks(number uint64) {
	d := a.dispatcher

	d.mu.Lock()
	defer d.mu.Unlock()

	if a.phase == phaseEnded {
		return
	}

	freed := false

	for i := range a.placements {
		if p := &a.placements[i]; p.sidecarLost && p.sidecar == number {
			p.sidecarLost, p.sidecar = false, 0
			freed = true
		}
	}

	if freed {
		a.placeUnplaced()
	}
}
