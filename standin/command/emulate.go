package command

import (
	"github.com/skylarkweir/skylarkweir/daemon/console"
	"github.com/skylarkweir/skylarkweir/standin/emulator"
)

// emulateCommand compares rules in virtual time.
type emulateCommand struct {
	global *globalOptions

	Level float64 `long:"level" default:"1" description:"Traffic in proportion to the usual"`
	Long  float64 `long:"long" default:"2.6" description:"Factor of the long jobs in the middle third"`
	Quick float64 `long:"quick" default:"1.8" description:"Factor of the urgent jobs in the middle third"`
	Grown bool    `long:"grown" description:"Play the larger deployment"`
	Seeds int     `long:"seeds" default:"3" description:"Number of seeds, from 1 on"`
}

func newEmulate(g *globalOptions) console.Command {
	return console.NewCommand(
		"emulate", "Compare rules for the worst load in virtual time",
		"Plays repeatable jobs against the decisions of admission, placement and reservation, as the product makes them, "+
			"without a limit, and without priorities, and prints the shares of each kind, of its largest tenth, and what the "+
			"fleet could have done at all.\n\nExample:\n  standin emulate --long 3 --quick 1", &emulateCommand{global: g},
	)
}

// Execute runs the command.
func (e *emulateCommand) Execute([]string) error {
	seeds := make([]uint64, e.Seeds)
	for n := range seeds {
		seeds[n] = uint64(n) + 1
	}

	rules := []emulator.Rule{emulator.Product{}, emulator.Windowed{}, emulator.Unlimited{}, emulator.Unordered{}}

	load := emulator.SmallDeployment(e.Level, e.Long, e.Quick)
	if e.Grown {
		load = emulator.LargeDeployment(e.Level, e.Long, e.Quick)
	}

	return emulator.Compare(e.global.out, load, rules, seeds)
}
