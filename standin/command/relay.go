package command

import (
	"github.com/jessevdk/go-flags"

	"github.com/skylarkweir/skylarkweir/daemon/console"
	"github.com/skylarkweir/skylarkweir/standin/relay"
)

// relayCommand forwards traffic to one target and injects faults.
type relayCommand struct {
	global  *globalOptions
	Network string `long:"network" choice:"tcp" choice:"udp" default:"udp" description:"Protocol to forward"`
	Listen  string `long:"listen" default:"127.0.0.1:0" value-name:"ADDRESS" description:"Listen address for clients"`
	Target  string `long:"target" required:"yes" value-name:"ADDRESS" description:"Address to forward to"`
	Admin   string `long:"admin" default:"127.0.0.1:0" value-name:"ADDRESS" description:"Listen address of the HTTP admin endpoint"`
}

var _ flags.Commander = (*relayCommand)(nil)

func newRelay(g *globalOptions) console.Command {
	return console.NewCommand(
		"relay", "Forward TCP or UDP and inject faults",
		"Forwards traffic to a target. PUT /v1/faults at the admin address delays, blocks, drops or duplicates it.\n\n"+
			"Examples:\n  standin relay --network udp --target 127.0.0.1:7200\n"+
			"  curl -X PUT -d '{\"cut_up\": true}' http://ADMIN/v1/faults\n"+
			"  curl -X PUT -d '{\"drop_answers\": 1}' http://ADMIN/v1/faults", &relayCommand{global: g},
	)
}

func (r *relayCommand) Execute([]string) error {
	ctx, cancel := signalContext()
	defer cancel()

	l, err := listen(ctx, r.Admin)
	if err != nil {
		return err
	}

	f := &relay.Relay{}
	if err := f.Open(ctx, r.Network, r.Listen, r.Target); err != nil {
		return err
	}
	defer func() { _ = f.Close() }()

	r.global.printAddresses(map[string]string{"listen": f.Address(), "admin": l.Addr().String()})

	return serveHTTP(ctx, l, f.Handler())
}
