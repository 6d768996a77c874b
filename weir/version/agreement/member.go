package agreement

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"strconv"
)

// hundredths of a percent in the whole fleet.
const wholeFleetBasisPoints = 100 * 100

// Member is an organisation's team or customer that has a limit of slots.
type Member struct {
	name string
	// slots is zero if the limit is given in percent.
	limitSlots int
	// hundredths is the limit in 1/100 of a percent of the fleet; zero if the limit is given in slots.
	limitBasisPoints int
	credential       [sha256.Size]byte
}

// Name returns the unique name.
func (m Member) Name() string { return m.name }

// Limit returns the number of slots that the member may hold at once in a fleet of that many slots. A limit in percent
// is rounded down, so that it never exceeds what was agreed.
func (m Member) Limit(fleetSlots int) int {
	fleetSlots = max(fleetSlots, 0)
	if m.limitSlots > 0 {
		return min(m.limitSlots, fleetSlots)
	}

	return fleetSlots * m.limitBasisPoints / wholeFleetBasisPoints
}

// Unlimited tells whether the limit is the whole fleet, however large it is.
func (m Member) Unlimited() bool { return m.limitBasisPoints == wholeFleetBasisPoints }

func (m Member) json() memberJSON {
	b := memberJSON{Name: m.name, LimitSlots: m.limitSlots, CredentialSHA256: hex.EncodeToString(m.credential[:])}
	if m.limitBasisPoints > 0 {
		b.LimitPercent = json.Number(strconv.FormatFloat(float64(m.limitBasisPoints)/100, 'f', -1, 64))
	}

	return b
}
