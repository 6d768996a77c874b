package command

import (
	"context"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/skylarkweir/skylarkweir/daemon/console"
	"github.com/skylarkweir/skylarkweir/standin/capacity"
	"github.com/skylarkweir/skylarkweir/standin/cluster"
)

// capacityCommand measures how CPU time and memory grow with the size of a system, for the capacity page.
type capacityCommand struct {
	global   *globalOptions
	Settle   time.Duration `long:"settle" default:"3s" description:"wait before each measurement"`
	Window   time.Duration `long:"window" default:"5s" description:"length of a measurement"`
	Workers  int           `long:"workers" default:"690" description:"number of workers where it is not the measured size"`
	Members  int           `long:"members" default:"190" description:"number of members where it is not the measured size"`
	Entries  int           `long:"entries" default:"1" description:"number of entries for entry-loss"`
	Tasks    int           `long:"tasks" default:"20" description:"number of tasks per job"`
	Input    int           `long:"input" default:"200" description:"size of a task's input in bytes"`
	LogLevel string        `long:"log-level" default:"info" description:"log level of the measured processes"`
	Points   []int         `long:"point" required:"true" description:"a size to measure at; may be given several times"`
	Args     struct {
		Measure string `positional-arg-name:"MEASURE"`
	} `positional-args:"true" required:"true"`
}

func newCapacity(g *globalOptions) console.Command {
	return console.NewCommand(
		"capacity", "Measure what an entry or a sidecar uses",
		"Starts one entry or one sidecar with fakes around it, reads its CPU time and memory from /proc at several sizes, "+
			"and fits a straight line to each. The measures are "+strings.Join(measureNames(), ", ")+".\n\n"+
			"Example, from the root of the repository:\n  go run ./standin capacity entry-workers --point 12 --point 48",
		&capacityCommand{global: g},
	)
}

func measureNames() []string { return slices.Sorted(maps.Keys(capacity.Measurements())) }

func (c *capacityCommand) Execute([]string) error {
	measure, found := capacity.Measurements()[c.Args.Measure]
	if !found {
		return console.NewUsageError(
			"unknown measure " + c.Args.Measure + "; the measures are " + strings.Join(measureNames(), ", "))
	}

	ctx, stop := signalContext()
	defer stop()

	return c.run(ctx, measure)
}

func (c *capacityCommand) run(ctx context.Context, measure capacity.Measurement) error {
	directory, err := os.MkdirTemp("", "skylarkweir-capacity-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(directory) }()

	programs, err := cluster.Build(ctx, directory)
	if err != nil {
		return err
	}

	b := &capacity.Benchmark{
		Programs: programs, Directory: directory, Out: c.global.out, SettleTime: c.Settle, Window: c.Window, Workers: c.Workers,
		Members: c.Members, TasksPerJob: c.Tasks, Entries: c.Entries, InputBytes: c.Input, LogLevel: c.LogLevel,
	}

	return measure(b, ctx, c.Points)
}
