package command

import (
	"github.com/skylarkweir/skylarkweir/daemon/console"
	"github.com/skylarkweir/skylarkweir/standin/demo"
)

type demoCommand struct {
	global *globalOptions
}

func newDemo(g *globalOptions) console.Command {
	return console.NewCommand(
		"demo", "Demonstrate a complete system",
		"Builds the programs, starts a log, three entries and three workers as processes on loopback, submits a job and "+
			"requests, submits them again through other entries, and terminates an entry and a sidecar under load. The exit "+
			"code is 1 if a submission was lost, incomplete or run twice.\n\n"+
			"Example, from the root of the repository:\n  go run ./standin demo", &demoCommand{g},
	)
}

func (d *demoCommand) Execute([]string) error {
	ctx, cancel := signalContext()
	defer cancel()

	return demo.Run(ctx, d.global.out)
}
