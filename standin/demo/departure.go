package demo

import (
	"context"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/skylarkweir/skylarkweir/standin/caller"
	"github.com/skylarkweir/skylarkweir/standin/cluster"
)

// departureLoad keeps the slots of 3 workers, 4 slots each, about half busy.
const departureLoad = `"rate": 30, "duration": "8s", "seed": 7, "mix": [
	{"kind": "blade-fit", "form": "job", "weight": 1, "tasks_least": 2, "tasks_most": 6, "run": "uniform 50ms 200ms"},
	{"kind": "stock-lookup", "form": "repeatable", "weight": 2, "run": "uniform 50ms 150ms"},
	{"kind": "stock-order", "weight": 2, "run": "uniform 50ms 300ms"},
]`

const (
	// delayBeforeDepartures lets the load build up. delayBetweenDepartures separates the two departures, and is short
	// enough that both happen under load.
	delayBeforeDepartures  = 2 * time.Second
	delayBetweenDepartures = time.Second
)

// recordCollector collects the records of a load.
type recordCollector struct {
	mutex   sync.Mutex
	records []*caller.Record
}

func (g *recordCollector) add(r *caller.Record) {
	g.mutex.Lock()
	defer g.mutex.Unlock()

	g.records = append(g.records, r)
}

func (d *Demo) runDepartures(ctx context.Context) error {
	l, err := d.cluster.NewLoad(token, departureLoad)
	if err != nil {
		return err
	}

	var collector recordCollector

	done := make(chan *caller.Report, 1)
	go func() { done <- caller.NewGenerator(l, collector.add).Run(ctx) }()

	departureErr := d.terminateUnderLoad(ctx)
	report := <-done

	if departureErr != nil {
		return departureErr
	}

	report.Print(d.out)

	if all := report.All(); all.Complete() != all.Submitted() || all.Wrong() > 0 {
		return merry.Errorf("%d of %d submissions were answered completely", all.Complete(), all.Submitted())
	}

	d.records = append(d.records, collector.records...)

	starts, err := d.checkStartedOnce(ctx, d.records)
	if err != nil {
		return err
	}

	d.printDetail("%d starts of %d submissions, none twice, none lost", starts, len(d.records))

	return nil
}

// terminateUnderLoad sends SIGTERM to an entry and to a sidecar while the load runs, and waits until both have exited.
func (d *Demo) terminateUnderLoad(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, departureTimeout)
	defer cancel()

	processes := []*cluster.Process{d.cluster.Entries()[0].Process(), d.cluster.Workers()[0].Sidecar()}

	if err := sleep(ctx, delayBeforeDepartures); err != nil {
		return err
	}

	for _, p := range processes {
		if err := p.Terminate(); err != nil {
			return err
		}

		d.printDetail("sent SIGTERM to %s", p.Name())

		if err := sleep(ctx, delayBetweenDepartures); err != nil {
			return err
		}
	}

	for _, p := range processes {
		if err := p.Wait(ctx); err != nil {
			return err
		}

		d.printDetail("%s has ended with exit code 0", p.Name())
	}

	return nil
}

// checkHandover requests answers of the entry that has left, which its successor holds now, and checks them.
func (d *Demo) checkHandover(ctx context.Context) error {
	const maxChecked = 3

	checked := 0

	for _, r := range d.records {
		if r.Entry() != d.cluster.Entries()[0].URL() || checked == maxChecked {
			continue
		}

		checked++

		if err := d.checkSameAnswer(ctx, r); err != nil {
			return err
		}
	}

	if checked == 0 {
		return merry.New("the entry that left had answered no submissions")
	}

	_, err := d.checkStartedOnce(ctx, d.records)

	return err
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
