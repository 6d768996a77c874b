// Package ticket signs and verifies submission tickets.
package ticket

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"net/netip"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
	"github.com/skylarkweir/skylarkweir/weir/request/fault"
)

// macSize is the length of the truncated HMAC-SHA256 in bytes.
const macSize = 16

// textPrefix keeps the text form from starting with a hyphen, which command-line tools would parse as an option.
const textPrefix = "w"

// maxTextLength limits, in bytes, the work that a forged ticket can cause.
const maxTextLength = 512

// Ticket is the identity of a submission. It is immutable.
type Ticket struct {
	// home is the QUIC address of the only entry that may start tasks of the submission.
	home netip.AddrPort
	// incarnation is never zero for a parsed ticket.
	incarnation uint64
	// sequence is unique within the incarnation.
	sequence uint64
	member   string
	// position is the log position that the home had applied when it issued the ticket.
	position int64
	expiry   time.Time
}

// New returns an unsigned ticket; Key.Sign returns its text form.
func New(home netip.AddrPort, incarnation, sequence uint64, member string, position int64, expiry time.Time) Ticket {
	return Ticket{home, incarnation, sequence, member, position, expiry}
}

// Home returns the address of the home entry.
func (t Ticket) Home() netip.AddrPort { return t.home }

// Incarnation returns the incarnation of the home entry that issued the ticket.
func (t Ticket) Incarnation() uint64 { return t.incarnation }

// Sequence returns the number of the ticket, which is unique within the incarnation of its home.
func (t Ticket) Sequence() uint64 { return t.sequence }

// Member returns the member that the ticket was issued for.
func (t Ticket) Member() string { return t.member }

// Position returns the log position that decides which workers may run the submission.
func (t Ticket) Position() int64 { return t.position }

// Expiry returns the time after which the ticket is refused.
func (t Ticket) Expiry() time.Time { return t.expiry }

// Key signs and verifies tickets. All entries of a system use the same key.
type Key []byte

// Sign returns the text form of t.
func (k Key) Sign(t Ticket) string {
	m := &wire.Ticket{}
	m.SetHome(t.home.String())
	m.SetIncarnation(t.incarnation)
	m.SetSequence(t.sequence)
	m.SetMember(t.member)
	m.SetPosition(t.position)
	m.SetExpiryMs(t.expiry.UnixMilli())

	body, err := proto.Marshal(m)
	if err != nil {
		// Marshal fails only for strings that are not valid UTF-8, which the agreement does not allow in names.
		return ""
	}

	return textPrefix + base64.RawURLEncoding.EncodeToString(append(k.mac(body), body...))
}

// Parse verifies the signature of text and returns the ticket. The caller checks the expiry, since the response to an
// expired ticket differs from that to an invalid one.
func (k Key) Parse(text string) (Ticket, error) {
	if len(text) > maxTextLength {
		return Ticket{}, fault.New(
			fault.InvalidRequest, "ticket has %d characters, at most %d are allowed", len(text), maxTextLength)
	}

	encoded, found := strings.CutPrefix(text, textPrefix)

	raw, err := base64.RawURLEncoding.DecodeString(encoded)
	if !found || err != nil || len(raw) <= macSize {
		return Ticket{}, fault.New(fault.InvalidRequest, "ticket is malformed")
	}

	if !hmac.Equal(raw[:macSize], k.mac(raw[macSize:])) {
		// It may have been signed with an earlier key, so whether tasks of its submission were started is unknown.
		return Ticket{}, fault.WithRan(
			fault.New(fault.InvalidRequest, "ticket is not signed by this system"), fault.RanUnknown)
	}

	m := &wire.Ticket{}
	if err := proto.Unmarshal(raw[macSize:], m); err != nil {
		return Ticket{}, fault.Wrap(fault.InvalidRequest, err, "ticket body cannot be decoded")
	}

	home, err := netip.ParseAddrPort(m.GetHome())
	if err != nil {
		return Ticket{}, fault.Wrap(fault.InvalidRequest, err, "ticket has an invalid home address")
	}

	return New(
		home, m.GetIncarnation(), m.GetSequence(), m.GetMember(), m.GetPosition(), time.UnixMilli(m.GetExpiryMs())), nil
}

func (k Key) mac(body []byte) []byte {
	h := hmac.New(sha256.New, k)
	h.Write(body)

	return h.Sum(nil)[:macSize]
}
