package caller

import (
	"sync"

	"github.com/skylarkweir/skylarkweir/weir/version/ledger"
)

// memberUse counts the cores that the repeatable jobs of each member ask for. The zero value is empty.
type memberUsage struct {
	mu    sync.Mutex
	cores map[string]int
}

// take adds a job unless it goes beyond the share. A member without jobs may always have one, so that a job larger than
// the share is not refused for ever.
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

// share returns how many cores the jobs of a member may ask for at this entry: its limit, in equal parts for all entries.
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
		// Work that waits counts too, so a member without a limit may ask for more than there is.
		return unlimitedShareFactor * fleet
	}

	return max(1, m.Limit(fleet)/max(1, len(s.Entries())))
}

// queuedShare is how often the whole fleet a member without a limit may ask for at an entry.
const unlimitedShareFactor = 4
