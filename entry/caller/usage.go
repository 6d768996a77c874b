package caller

import (
	"sync"

	"github.com/skylarkweir/skylarkweir/weir/version/ledger"
)

// memberUsage counts the cores that the active repeatable jobs of each member request. The zero value is ready to use.
type memberUsage struct {
	mu    sync.Mutex
	cores map[string]int
	jobs  map[jobKey]*usedJob
}

// jobKey names a job by its member and the key that the caller chose.
type jobKey struct{ member, key string }

// usedJob is an active job, which counts once however often it was sent.
type usedJob struct{ cores, callers int }

// reserve adds a caller of a job unless the job would exceed the share. A member without active jobs may always have one,
// so that a job larger than the share is not refused forever. A job that is active already takes nothing more.
func (u *memberUsage) reserve(k jobKey, cores, share int) bool {
	u.mu.Lock()
	defer u.mu.Unlock()

	if j := u.jobs[k]; j != nil {
		j.callers++

		return true
	}

	if used := u.cores[k.member]; used > 0 && used+cores > share {
		return false
	}

	if u.cores == nil {
		u.cores, u.jobs = map[string]int{}, map[jobKey]*usedJob{}
	}

	u.cores[k.member] += cores
	u.jobs[k] = &usedJob{cores, 1}

	return true
}

// release removes a caller of a job, and the job with its last caller.
func (u *memberUsage) release(k jobKey) {
	u.mu.Lock()
	defer u.mu.Unlock()

	j := u.jobs[k]
	j.callers--

	if j.callers > 0 {
		return
	}

	delete(u.jobs, k)

	u.cores[k.member] -= j.cores
	if u.cores[k.member] == 0 {
		delete(u.cores, k.member)
	}
}

// memberShare returns how many cores the jobs of a member may request at this entry: the limit of the member, divided
// equally among all entries.
func memberShare(s *ledger.State, member string) int {
	fleet := 0
	for _, w := range s.Workers() {
		fleet += w.Slots()
	}

	m, found := s.Agreement().Member(member)
	if !found {
		return 0
	}

	if m.Unlimited() {
		// Queued jobs count too, so a member without a limit may request more cores than the fleet has.
		return unlimitedShareFactor * fleet
	}

	return max(1, m.Limit(fleet)/max(1, len(s.Entries())))
}

// unlimitedShareFactor is the multiple of the cores of the fleet that a member without a limit may request at an entry.
const unlimitedShareFactor = 4
