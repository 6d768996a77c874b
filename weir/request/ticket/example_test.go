package ticket_test

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/skylarkweir/skylarkweir/weir/request/fault"
	"github.com/skylarkweir/skylarkweir/weir/request/ticket"
)

func ExampleKey() {
	key := ticket.Key("a secret of at least 16 bytes")
	home := netip.MustParseAddrPort("10.10.1.11:7102")

	text := key.Sign(ticket.New(home, 7, 1, "shop", 42, time.Unix(1000, 0)))

	t, err := key.Parse(text)
	fmt.Println(t.Home(), t.Member(), t.Position(), err)

	_, err = ticket.Key("another secret of 16 bytes").Parse(text)
	fmt.Println(fault.KindOf(err), err)
	// Output:
	// 10.10.1.11:7102 shop 42 <nil>
	// invalid_request ticket is not signed by this system
}
