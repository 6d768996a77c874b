package caller

import (
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/skylarkweir/skylarkweir/weir/request/fault"
	"github.com/skylarkweir/skylarkweir/weir/request/ticket"
)

// Mint issues and checks tickets.
type TicketIssuer struct {
	key         ticket.Key
	home        netip.AddrPort
	incarnation uint64
	// position returns the log position that the home applies. A ticket of a higher position could be given to a worker
	// that has left by then but that the home still uses, and a lost home's sidecars would be asked without it.
	position func() int64
	lifetime time.Duration
	sequence atomic.Uint64
}

// NewMint returns a mint for the entry that accepts QUIC connections at home and applies the log up to position.
func NewTicketIssuer(key ticket.Key, home netip.AddrPort, incarnation uint64, position func() int64, lifetime time.Duration) *TicketIssuer {
	return &TicketIssuer{key: key, home: home, incarnation: incarnation, position: position, lifetime: lifetime}
}

// Incarnation returns the incarnation of this entry.
func (m *TicketIssuer) Incarnation() uint64 { return m.incarnation }

// Issue returns a new ticket. Its position decides the workers that may run it.
func (m *TicketIssuer) Issue(member string) (string, ticket.Ticket) {
	expiry := time.UnixMilli(time.Now().Add(m.lifetime).UnixMilli())
	t := ticket.New(m.home, m.incarnation, m.sequence.Add(1), member, m.position(), expiry)

	return m.key.Sign(t), t
}

// Verify returns the ticket of a submission id after checks of its signature, member and expiry.
func (m *TicketIssuer) Verify(id, member string) (ticket.Ticket, error) {
	t, err := m.key.Parse(id)
	if err != nil {
		return ticket.Ticket{}, err
	}

	if t.Member() != member {
		return ticket.Ticket{}, fault.New(fault.Forbidden, "the ticket belongs to another member")
	}

	if !time.Now().Before(t.Expiry()) {
		return ticket.Ticket{}, fault.New(fault.TicketExpired, "the ticket expired at %s", t.Expiry().UTC().Format(time.RFC3339))
	}

	return t, nil
}
