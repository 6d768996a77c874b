package ticket_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/skylarkweir/skylarkweir/weir/request/fault"
	"github.com/skylarkweir/skylarkweir/weir/request/ticket"
)

// Guards against a ticket that changes between entries, which would make the same submission look new.
func TestRoundTrip(t *testing.T) {
	is := is.New(t)
	k := ticket.Key("secret")
	issued := ticket.New(netip.MustParseAddrPort("127.0.0.1:9000"), 7, 8, "bench", 42, time.UnixMilli(1_700_000_000_123))

	parsed, err := k.Parse(k.Sign(issued))
	is.NoErr(err)
	is.Equal(parsed, issued)
}

// Guards against tickets that operators cannot pass to a command, since they begin like an option.
func TestTextIsNotParsedAsOption(t *testing.T) {
	is := is.New(t)
	k := ticket.Key("secret")

	for i := range uint64(200) {
		is.True(k.Sign(ticket.New(netip.MustParseAddrPort("127.0.0.1:9000"), i, i, "bench", 42, time.UnixMilli(1)))[0] != '-')
	}
}

// Guards against forged tickets: any changed byte and any other key must be refused.
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
	is.Equal(fault.RanOf(err), fault.RanUnknown)      // the key may have been replaced since
}
