package command

import (
	"fmt"
	"maps"
	"runtime"
	"slices"
	"strings"

	"github.com/skylarkweir/skylarkweir/daemon/console"
	"github.com/skylarkweir/skylarkweir/standin/emulator"
	"github.com/skylarkweir/skylarkweir/standin/experiment"
)

// experimentCommand writes a report that compares rules under several loads.
type experimentCommand struct {
	global *globalOptions

	Rules  []string `long:"rule" description:"A rule to compare; may be given several times; product and windowed by default"`
	Loads  []string `long:"load" description:"A load; may be given several times; small by default"`
	Level  float64  `long:"level" default:"1" description:"Traffic as a factor of the usual traffic"`
	Long   float64  `long:"long" default:"2.6" description:"Factor for long jobs in the middle third of the run"`
	Quick  float64  `long:"quick" default:"1.8" description:"Factor for urgent jobs in the middle third of the run"`
	Seeds  int      `long:"seeds" default:"3" description:"Number of random seeds, starting with 1"`
	Output string   `long:"output" required:"true" description:"Directory of the report"`
}

// experimentRules returns the rules that can be compared, by name.
func experimentRules() map[string]emulator.Rule {
	return map[string]emulator.Rule{
		"product": emulator.Product{}, "windowed": emulator.Windowed{}, "unlimited": emulator.Unlimited{},
		"unordered": emulator.Unordered{}, "unconfined": emulator.Unconfined{},
	}
}

// experimentLoads returns the loads by name, with their level and the factors of long and of urgent jobs.
func experimentLoads() map[string]func(level, long, quick float64) emulator.Load {
	return map[string]func(level, long, quick float64) emulator.Load{
		"small": emulator.SmallDeployment, "grown": emulator.LargeDeployment, "hundreds": emulator.HundredsOfServers,
	}
}

func newExperiment(g *globalOptions) console.Command {
	return console.NewCommand(
		"experiment", "Write a report that compares scheduling rules in virtual time",
		"Emulates each load under each rule with the same seeds and writes tables (Markdown, CSV) and plots (SVG) into a "+
			"directory: jobs on time, also as a share of an upper bound, response times, refusals by cause, and CPU used over "+
			"time. The rules are "+joinKeys(experimentRules())+", the loads "+joinKeys(experimentLoads())+
			".\n\nExample:\n  standin experiment --rule product --rule unordered --load small --output report",
		&experimentCommand{global: g},
	)
}

func joinKeys[V any](m map[string]V) string { return strings.Join(slices.Sorted(maps.Keys(m)), ", ") }

func (e *experimentCommand) Execute([]string) error {
	grid, err := e.grid()
	if err != nil {
		return err
	}

	ctx, stop := signalContext()
	defer stop()

	runs, err := grid.Run(ctx, runtime.GOMAXPROCS(0))
	if err != nil {
		return err
	}

	if err := experiment.WriteReport(e.Output, e.commandLine(), runs); err != nil {
		return err
	}

	fmt.Fprintf(e.global.out, "%d simulations, report in %s\n", len(runs), e.Output)

	return nil
}

func (e *experimentCommand) grid() (experiment.Grid, error) {
	if e.Seeds < 1 {
		return experiment.Grid{}, console.NewUsageError(fmt.Sprintf("--seeds is %d; it must be 1 or more", e.Seeds))
	}

	for _, o := range []struct {
		name  string
		value float64
	}{{"--level", e.Level}, {"--long", e.Long}, {"--quick", e.Quick}} {
		if o.value <= 0 {
			return experiment.Grid{}, console.NewUsageError(fmt.Sprintf("%s is %g; it must be above 0", o.name, o.value))
		}
	}

	rules, err := e.rules()
	if err != nil {
		return experiment.Grid{}, err
	}

	loads, err := e.loads()
	if err != nil {
		return experiment.Grid{}, err
	}

	seeds := make([]uint64, e.Seeds)
	for n := range seeds {
		seeds[n] = uint64(n) + 1
	}

	return experiment.NewGrid(loads, rules, seeds), nil
}

func (e *experimentCommand) rules() ([]experiment.Rule, error) {
	if len(e.Rules) == 0 {
		e.Rules = []string{"product", "windowed"}
	}

	rules := make([]experiment.Rule, 0, len(e.Rules))

	for _, name := range e.Rules {
		rule, found := experimentRules()[name]
		if !found {
			return nil, console.NewUsageError(
				fmt.Sprintf("unknown rule %q; the rules are %s", name, joinKeys(experimentRules())))
		}

		rules = append(rules, experiment.NewRule(name, rule))
	}

	return rules, nil
}

func (e *experimentCommand) loads() ([]experiment.Load, error) {
	if len(e.Loads) == 0 {
		e.Loads = []string{"small"}
	}

	loads := make([]experiment.Load, 0, len(e.Loads))

	for _, name := range e.Loads {
		load, found := experimentLoads()[name]
		if !found {
			return nil, console.NewUsageError(
				fmt.Sprintf("unknown load %q; the loads are %s", name, joinKeys(experimentLoads())))
		}

		loads = append(loads, experiment.NewLoad(name, load(e.Level, e.Long, e.Quick).WithChosenSessions()))
	}

	return loads, nil
}

// commandLine returns the command that writes the same report.
func (e *experimentCommand) commandLine() string {
	words := []string{"standin experiment"}

	for _, r := range e.Rules {
		words = append(words, "--rule "+r)
	}

	for _, l := range e.Loads {
		words = append(words, "--load "+l)
	}

	words = append(words, fmt.Sprintf("--level %g --long %g --quick %g --seeds %d --output %s",
		e.Level, e.Long, e.Quick, e.Seeds, e.Output))

	return strings.Join(words, " ")
}
