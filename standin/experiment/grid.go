// Package experiment runs the emulator over a grid of rules, loads and seeds and writes a report, so that two rules can be
// compared by looking at tables and plots.
package experiment

import (
	"context"
	"sync"

	"github.com/skylarkweir/skylarkweir/standin/emulator"
)

// Rule is a rule of the emulator and its name in the report.
type Rule struct {
	name string
	rule emulator.Rule
}

// NewRule returns a rule with a name.
func NewRule(name string, rule emulator.Rule) Rule { return Rule{name, rule} }

// Name returns the name.
func (r Rule) Name() string { return r.name }

// Load is a load of the emulator and its name in the report and in the names of files.
type Load struct {
	name string
	load emulator.Load
}

// NewLoad returns a load with a name.
func NewLoad(name string, load emulator.Load) Load { return Load{name, load} }

// Name returns the name.
func (l Load) Name() string { return l.name }

// Run is one simulation.
type Run struct {
	load   Load
	rule   Rule
	seed   uint64
	result emulator.Result
	// bounds are the same under all rules. They are computed for the run with the number boundsFrom.
	bounds     emulator.Bounds
	boundsFrom int
}

// Result returns the result of the simulation.
func (r Run) Result() emulator.Result { return r.result }

// Grid is a set of simulations: each rule under each load with each seed. The same seed draws the same jobs for all
// rules.
type Grid struct {
	loads []Load
	rules []Rule
	seeds []uint64
}

// NewGrid returns a grid.
func NewGrid(loads []Load, rules []Rule, seeds []uint64) Grid { return Grid{loads, rules, seeds} }

// Run simulates the grid with several simulations at once and returns them in the order of loads, rules and seeds. It
// returns the error of ctx if that ends before.
func (g Grid) Run(ctx context.Context, parallel int) ([]Run, error) {
	runs := g.runs()
	s := &simulator{runs: runs, next: make(chan int)}

	for range max(1, parallel) {
		s.workers.Add(1)

		go s.run()
	}

	if err := s.dispatch(ctx); err != nil {
		return nil, err
	}

	for n := range runs {
		runs[n].bounds = runs[runs[n].boundsFrom].bounds
	}

	return runs, nil
}

func (g Grid) runs() []Run {
	var runs []Run

	for _, l := range g.loads {
		first := len(runs)

		for _, r := range g.rules {
			for n, seed := range g.seeds {
				runs = append(runs, Run{load: l, rule: r, seed: seed, boundsFrom: first + n})
			}
		}
	}

	return runs
}

// simulator simulates the runs whose numbers arrive.
type simulator struct {
	// runs has a result for each number that a worker has finished. No two workers have the same number.
	runs    []Run
	next    chan int
	workers sync.WaitGroup
}

// dispatch passes the numbers of all runs to the workers and waits until they have finished.
func (s *simulator) dispatch(ctx context.Context) error {
	defer s.workers.Wait()
	defer close(s.next)

	for n := range s.runs {
		select {
		case s.next <- n:
		case <-ctx.Done():
			return ctx.Err()
		}
	}

	return nil
}

func (s *simulator) run() {
	defer s.workers.Done()

	for n := range s.next {
		r := &s.runs[n]
		r.result = emulator.Simulate(r.load.load, r.rule.rule, r.seed)

		if r.boundsFrom == n {
			r.bounds = emulator.UpperBounds(r.load.load, r.seed)
		}
	}
}
