package ticket_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/skylarkweir/skylarkweir/weir/request/fault"
	"github.com/skylarkweir/skylarkweir/weir/request/ticket"
)

// Guards against a ticket whose fields change when it is signed and parsed again, so that entries would treat one
// submission as two.
func TestRoundTrip(t *testing.T) {
	is := is.New(t)
	k := ticket.Key("secret")
	issued := ticket.New(netip.MustParseAddrPort("127.0.0.1:9000"), 7, 8, "bench", 42, time.UnixMilli(1_700_000_000_123))

	parsed, err := k.Parse(k.Sign(issued))
	is.NoErr(err)
	is.Equal(parsed, issued)
}

// Guards against tickets that start with a hyphen, which operators cannot pass to a command because it parses them as
// options.
func TestTextIsNotParsedAsOption(t *testing.T) {
	is := is.New(t)
	k := ticket.Key("secret")

	for i := range uint64(200) {
		is.True(k.Sign(ticket.New(netip.MustParseAddrPort("127.0.0.1:9000"), i, i, "bench", 42, time.UnixMilli(1)))[0] != '-')
	}
}

// Guards against forged tickets that are accepted: a change of any character or a different key must be detected.
func TestForgery(t *testing.T) {
	is := is.New(t)
	k := ticket.Key("secret")
	text := k.Sign(ticket.New(netip.MustParseAddrPort("127.0.0.1:9000"), 7, 8, "bench", 42, time.UnixMilli(1)))

	for i := range text {
		b := []byte(text)
		b[i] ^= 1

		_, err := k.Parse(string(b))
		is.Equal(fault.KindOf(err), fault.InvalidRequest) // changed character
	}

	_, err := ticket.Key("other").Parse(text)
	is.Equal(fault.KindOf(err), fault.InvalidRequest) // other key
	is.Equal(fault.RanOf(err), fault.RanUnknown)      // the ticket may have been signed with an earlier key
}
