package caller

import (
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/skylarkweir/skylarkweir/weir/request/fault"
	"github.com/skylarkweir/skylarkweir/weir/request/ticket"
)

// TicketIssuer issues and verifies tickets.
type TicketIssuer struct {
	key         ticket.Key
	home        netip.AddrPort
	incarnation uint64
	// position returns the log position that the home has applied. With a higher position in a ticket, the home could
	// still place tasks on a worker that has left by that position. If the home were then lost, the sidecar of that
	// worker would not be asked what ran.
	position func() int64
	lifetime time.Duration
	sequence atomic.Uint64
}

// NewTicketIssuer returns an issuer for the entry that accepts QUIC connections at home and has applied the log up to
// position.
func NewTicketIssuer(
	key ticket.Key, home netip.AddrPort, incarnation uint64, position func() int64, lifetime time.Duration,
) *TicketIssuer {
	return &TicketIssuer{key: key, home: home, incarnation: incarnation, position: position, lifetime: lifetime}
}

// Incarnation returns the incarnation of this entry.
func (i *TicketIssuer) Incarnation() uint64 { return i.incarnation }

// Issue returns a new ticket and its text, the submission id. Its log position determines the workers that may run the
// submission.
func (i *TicketIssuer) Issue(member string) (string, ticket.Ticket) {
	expiry := time.UnixMilli(time.Now().Add(i.lifetime).UnixMilli())
	t := ticket.New(i.home, i.incarnation, i.sequence.Add(1), member, i.position(), expiry)

	return i.key.Sign(t), t
}

// Verify returns the ticket of a submission id after checking its signature, member and expiry.
func (i *TicketIssuer) Verify(id, member string) (ticket.Ticket, error) {
	t, err := i.key.Parse(id)
	if err != nil {
		return ticket.Ticket{}, err
	}

	if t.Member() != member {
		// That member may have used it.
		return ticket.Ticket{}, fault.WithRan(
			fault.New(fault.Forbidden, "the ticket belongs to another member"), fault.RanUnknown)
	}

	if !time.Now().Before(t.Expiry()) {
		return ticket.Ticket{}, fault.New(
			fault.TicketExpired, "the ticket expired at %s", t.Expiry().UTC().Format(time.RFC3339),
		)
	}

	return t, nil
}
