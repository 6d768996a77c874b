package command

import (
	"time"

	"github.com/skylarkweir/skylarkweir/daemon/console"
	"github.com/skylarkweir/skylarkweir/standin/emulator"
	"github.com/skylarkweir/skylarkweir/standin/experiment"
)

// emulateCommand compares admission and placement rules in virtual time.
type emulateCommand struct {
	global *globalOptions

	Level    float64       `long:"level" default:"1" description:"Traffic as a factor of the usual traffic"`
	Long     float64       `long:"long" default:"2.6" description:"Factor for long jobs in the middle third of the run"`
	Quick    float64       `long:"quick" default:"1.8" description:"Factor for urgent jobs in the middle third of the run"`
	Grown    bool          `long:"grown" description:"Emulate the larger deployment"`
	Pair     bool          `long:"pair" description:"Plant a pair of kinds that slow each other down, and report response times before and after it is found"`
	Duration time.Duration `long:"duration" default:"90s" description:"Emulated time with --pair"`
	Output   string        `long:"output" value-name:"DIRECTORY" description:"Directory of the report and the plot of --pair"`
	Seeds    int           `long:"seeds" default:"3" description:"Number of random seeds, starting with 1"`
}

func newEmulate(g *globalOptions) console.Command {
	return console.NewCommand(
		"emulate", "Compare scheduling rules under overload in virtual time",
		"Emulates repeatable jobs under the product's rules of admission, placement and reservation, and variants that "+
			"expect capacity to become free as fast as tasks started in the last second, set no limit, or ignore priorities. "+
			"Prints the results of each kind and its largest tenth, and an upper bound for them. With --pair, one kind runs twice as long beside another one, "+
			"and the product's rules are compared without and with the separation of such kinds.\n\n"+
			"Examples:\n  standin emulate --long 3 --quick 1\n  standin emulate --pair --output report",
		&emulateCommand{global: g},
	)
}

func (e *emulateCommand) Execute([]string) error {
	seeds := make([]uint64, e.Seeds)
	for n := range seeds {
		seeds[n] = uint64(n) + 1
	}

	if e.Pair {
		return experiment.WritePairReport(e.global.out, e.Output, e.Duration, seeds)
	}

	rules := []emulator.Rule{emulator.Product{}, emulator.Windowed{}, emulator.Unlimited{}, emulator.Unordered{}}

	load := emulator.SmallDeployment(e.Level, e.Long, e.Quick)
	if e.Grown {
		load = emulator.LargeDeployment(e.Level, e.Long, e.Quick)
	}

	return emulator.Compare(e.global.out, load, rules, seeds)
}
