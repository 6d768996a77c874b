// Package caller is a caller of skylarkweir that generates load and records every answer.
package caller

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// Generator submits at random times that do not depend on the answers. The time of a submission counts from when it
// was due, so that a slow system cannot hide by holding the generator up.
type Generator struct {
	load    *Load
	client  *Client
	observe func(*Record)
}

// NewGenerator returns a generator; observe, which may be nil, gets each record from several goroutines.
func NewGenerator(l *Load, observe func(*Record)) *Generator {
	return &Generator{load: l, client: NewClient(l), observe: observe}
}

// Run generates the load and waits until every submission has been answered or given up. When ctx ends, no more
// submissions arrive.
func (g *Generator) Run(ctx context.Context) *Report {
	defer g.client.Close()

	var running sync.WaitGroup

	report := NewReport()
	arrivals := rand.New(rand.NewPCG(g.load.Seed, 0))
	start := time.Now()
	due := start

	for number := uint64(1); ; number++ {
		due = due.Add(time.Duration(arrivals.ExpFloat64() / g.load.Rate * float64(time.Second)))
		if due.Sub(start) > g.load.Duration.Value() || !sleepUntil(ctx, due) {
			break
		}

		// Each submission has its own random source, so that it does not depend on the order of events.
		random := rand.New(rand.NewPCG(g.load.Seed, number))
		s := g.load.pickKind(random.Float64()).generate(random)
		dueAt := due

		running.Go(func() {
			// Submissions under way are finished after the end of ctx, bounded by their deadlines and attempts.
			r := g.client.Submit(context.WithoutCancel(ctx), s)
			r.arrived = dueAt
			report.Add(r)

			if g.observe != nil {
				g.observe(r)
			}
		})
	}

	generated := time.Since(start)

	running.Wait()
	report.setDurations(generated, time.Since(start))

	return report
}

func sleepUntil(ctx context.Context, at time.Time) bool {
	t := time.NewTimer(time.Until(at))
	defer t.Stop()

	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
