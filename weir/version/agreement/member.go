package agreement

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"strconv"
)

// hundredths of a percent in the whole fleet.
const wholeFleet = 100 * 100

// Member is an organisation's team or customer that has a limit of slots.
type Member struct {
	name string
	// slots is zero if the limit is given in percent.
	slots int
	// hundredths is the limit in 1/100 of a percent of the fleet; zero if the limit is given in slots.
	hundredths int
	credential [sha256.Size]byte
}

// Name returns the unique name.
func (m Member) Name() string { return m.name }

// Limit returns the number of slots that the member may hold at once in a fleet of that many slots. A limit in percent
// is rounded down, so that it never exceeds what was agreed.
func (m Member) Limit(fleetSlots int) int {
	fleetSlots = max(fleetSlots, 0)
	if m.slots > 0 {
		return min(m.slots, fleetSlots)
	}

	return fleetSlots * m.hundredths / wholeFleet
}

// Unlimited tells whether the limit is the whole fleet, however large it is.
func (m Member) Unlimited() bool { return m.hundredths == wholeFleet }

func (m Member) body() memberBody {
	b := memberBody{Name: m.name, LimitSlots: m.slots, CredentialSHA256: hex.EncodeToString(m.credential[:])}
	if m.hundredths > 0 {
		b.LimitPercent = json.Number(strconv.FormatFloat(float64(m.hundredths)/100, 'f', -1, 64))
	}

	return b
}
