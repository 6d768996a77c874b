// Package caller submits to skylarkweir over HTTP, generates load and records every answer.
package caller

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// Generator submits at random times that do not depend on the answers. The response time of a submission counts from
// when it was due, so that a system that delays the generator does not appear faster than it is.
type Generator struct {
	load    *Load
	client  *Client
	observe func(*Record)
}

// NewGenerator returns a generator that calls observe with each record. The calls come from several goroutines; observe
// may be nil.
func NewGenerator(l *Load, observe func(*Record)) *Generator {
	return &Generator{load: l, client: NewClient(l), observe: observe}
}

// Run generates the load and waits until every submission has been answered or abandoned. After the end of ctx it
// generates no more submissions.
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

		// Each submission has its own random source, so that its content depends only on the seed and its number.
		random := rand.New(rand.NewPCG(g.load.Seed, number))
		s := g.load.pickKind(random.Float64()).generate(random)
		dueAt := due

		running.Go(func() {
			// Active submissions continue after the end of ctx. Their deadlines and number of attempts limit the time.
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
