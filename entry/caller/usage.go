package caller

import (
	"sync"

	"github.com/skylarkweir/skylarkweir/weir/version/ledger"
)

// memberUsage counts the cores that the active repeatable jobs of each member request. The zero value is ready to use.
type memberUsage struct {
	mu    sync.Mutex
	cores map[string]int
}

// reserve adds a job unless it would exceed the share. A member without active jobs may always have one, so that a job
// larger than the share is not refused forever.
func (u *memberUsage) reserve(member string, cores, share int) bool {
	u.mu.Lock()
	defer u.mu.Unlock()

	if used := u.cores[member]; used > 0 && used+cores > share {
		return false
	}

	if u.cores == nil {
		u.cores = map[string]int{}
	}

	u.cores[member] += cores

	return true
}

func (u *memberUsage) release(member string, cores int) {
	u.mu.Lock()
	defer u.mu.Unlock()

	u.cores[member] -= cores
	if u.cores[member] == 0 {
		delete(u.cores, member)
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
