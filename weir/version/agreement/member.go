package agreement

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"strconv"
)

// A basis point is 1/100 of a percent.
const wholeFleetBasisPoints = 100 * 100

// Member is an organisation's team or customer that has a limit of slots.
type Member struct {
	name string
	// limitSlots is zero if the limit is given in percent.
	limitSlots int
	// limitBasisPoints is the limit in 1/100 of a percent of the fleet; zero if the limit is given in slots.
	limitBasisPoints int
	// credential is the SHA-256 of the member's token.
	credential [sha256.Size]byte
}

// Name returns the unique name.
func (m Member) Name() string { return m.name }

// Limit returns the number of slots that the member may hold at once in a fleet of fleetSlots slots. A limit in percent
// is rounded down, so that it never exceeds the agreed part.
func (m Member) Limit(fleetSlots int) int {
	fleetSlots = max(fleetSlots, 0)
	if m.limitSlots > 0 {
		return min(m.limitSlots, fleetSlots)
	}

	return fleetSlots * m.limitBasisPoints / wholeFleetBasisPoints
}

// Unlimited reports whether the limit is the whole fleet, however large it is.
func (m Member) Unlimited() bool { return m.limitBasisPoints == wholeFleetBasisPoints }

func (m Member) json() memberJSON {
	b := memberJSON{Name: m.name, LimitSlots: m.limitSlots, CredentialSHA256: hex.EncodeToString(m.credential[:])}
	if m.limitBasisPoints > 0 {
		b.LimitPercent = json.Number(strconv.FormatFloat(float64(m.limitBasisPoints)/100, 'f', -1, 64))
	}

	return b
}
