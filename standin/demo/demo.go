// Package demo shows a whole system at work: separate processes on loopback, submissions, resubmissions and departures.
package demo

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/skylarkweir/skylarkweir/standin/caller"
	"github.com/skylarkweir/skylarkweir/standin/cluster"
	"github.com/skylarkweir/skylarkweir/standin/demo/services/blades"
	"github.com/skylarkweir/skylarkweir/standin/demo/services/stock"
)

const (
	// services is where the agreement files are, from the root of the repository.
	services = "standin/demo/services"
	// token belongs to the member in the agreement file.
	token = "demo-token"

	entryCount  = 3
	workerCount = 3
	jobTasks    = 40
	// versionTime is the promise of invariant I8.
	versionTime = 9 * time.Second
	startTime   = 20 * time.Second
	// leaveTime is above the entry's drain_delay and the longest deadline of the load.
	leaveTime = 40 * time.Second
)

// Demo runs the steps one after the other.
type Demo struct {
	out     io.Writer
	number  int
	cluster *cluster.Cluster
	client  *caller.Client
	records []*caller.Record
}

// Run runs the demo from the root of the repository and returns an error if anything was not as it should be. All
// processes have ended when it returns.
func Run(ctx context.Context, out io.Writer) error {
	if _, err := os.Stat(services); err != nil {
		return merry.Errorf("the demo runs from the root of the repository: %w", err)
	}

	directory, err := os.MkdirTemp("", "skylarkweir-demo-")
	if err != nil {
		return merry.Wrap(err)
	}

	defer func() { _ = os.RemoveAll(directory) }()

	d := &Demo{out: out}
	err = d.run(ctx, directory)

	if d.cluster != nil {
		if err != nil {
			fmt.Fprintln(out, "\nlast output of the processes:")
			d.cluster.Tails(out)
		}

		d.cluster.Close()
		fmt.Fprintf(out, "ended the %d processes that were started\n", len(d.cluster.Processes()))
	}

	return err
}

func (d *Demo) run(ctx context.Context, directory string) error {
	for _, s := range []struct {
		title string
		do    func(context.Context) error
	}{
		{"build the programs and make keys", func(ctx context.Context) error { return d.build(ctx, directory) }},
		{"start log, entries, backend servers and sidecars", d.start},
		{"check and publish the agreement", d.publish},
		{"submit a job and two requests", d.submit},
		{"submit the same again through other entries", d.resubmit},
		{"compare with the backend servers' records", d.compare},
		{"end an entry and a sidecar under load", d.leave},
		{"ask other entries for answers of the entry that left", d.handover},
	} {
		d.number++
		fmt.Fprintf(d.out, "%d. %s\n", d.number, s.title)

		if err := s.do(ctx); err != nil {
			fmt.Fprintf(d.out, "   FAILED: %v\n", err)

			return merry.Prependf(err, "step %d, %s", d.number, s.title)
		}
	}

	return nil
}

func (d *Demo) say(format string, args ...any) { fmt.Fprintf(d.out, "   "+format+"\n", args...) }

func (d *Demo) build(ctx context.Context, directory string) error {
	programs, err := cluster.Build(ctx, filepath.Join(directory, "programs"))
	if err != nil {
		return err
	}

	d.cluster, err = cluster.New(programs, directory)
	if err == nil {
		d.say("in %s", directory)
	}

	return err
}

func (d *Demo) start(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTime)
	defer cancel()

	if err := d.cluster.StartLog(ctx); err != nil {
		return err
	}

	for i := range entryCount {
		domain := cluster.With("failure_domain", fmt.Sprintf("domain-%d", i+1))
		if _, err := d.cluster.StartEntry(ctx, fmt.Sprintf("entry-%d", i+1), domain); err != nil {
			return err
		}
	}

	for i := range workerCount {
		domain := cluster.With("failure_domain", fmt.Sprintf("domain-%d", i+1))
		if _, err := d.cluster.StartWorker(ctx, fmt.Sprintf("worker-%d", i+1), domain); err != nil {
			return err
		}
	}

	for _, p := range d.cluster.Processes() {
		d.say("%-16s process %d", p.Name(), p.ID())
	}

	return nil
}

func (d *Demo) publish(ctx context.Context) error {
	out, code, err := d.cluster.Weirctl(ctx, "check", services)
	if err != nil || code != 0 {
		return merry.Errorf("weirctl check: exit code %d, %v: %s", code, err, out)
	}

	d.say("weirctl check: %s", lastLine(out))

	out, err = d.cluster.Publish(ctx, services)
	if err != nil {
		return err
	}

	d.say("weirctl publish: %s", lastLine(out))

	published := time.Now()

	ctx, cancel := context.WithTimeout(ctx, versionTime)
	defer cancel()

	if err := d.cluster.WaitReady(ctx); err != nil {
		return merry.Prepend(err, "the version is not in force everywhere")
	}

	d.say("in force at all entries and sidecars %d ms later", time.Since(published).Milliseconds())
	d.say("the first job waits for the workers' allowance_delay of 5 s, which follows a larger allowance")

	return nil
}

func (d *Demo) submit(ctx context.Context) error {
	l, err := d.cluster.Load(token, `"rate": 1, "mix": [{"kind": "stock-lookup"}]`)
	if err != nil {
		return err
	}

	d.client = caller.NewClient(l)

	for _, s := range []caller.Submission{blades.Check(jobTasks), stock.Lookup(1), stock.Order(2)} {
		r := d.client.Submit(ctx, s)
		if !r.Complete() {
			return merry.Errorf("%s: %s, ran %s: %s", s.Kind(), r.Code(), r.Ran(), r.Error())
		}

		d.records = append(d.records, r)
		d.say("%-12s %2d tasks answered whole by %s in %d ms", s.Kind(), len(r.Outputs()), r.Entry(), r.Response().Milliseconds())
	}

	return nil
}

func (d *Demo) resubmit(ctx context.Context) error {
	for _, r := range d.records {
		if err := d.same(ctx, r); err != nil {
			return err
		}
	}

	return nil
}

// same sends a submission again through another entry and compares the answers.
func (d *Demo) same(ctx context.Context, r *caller.Record) error {
	again := d.client.Resubmit(ctx, r)

	switch {
	case !again.Complete():
		return merry.Errorf("%s: %s, ran %s: %s", r.Submission().Kind(), again.Code(), again.Ran(), again.Error())
	case again.Entry() == r.Entry():
		return merry.Errorf("%s: there was no other entry", r.Submission().Kind())
	}

	for i, o := range again.Outputs() {
		if !bytes.Equal(o, r.Outputs()[i]) {
			return merry.Errorf("%s: output %d differs", r.Submission().Kind(), i)
		}
	}

	d.say("%-12s same answer from %s", r.Submission().Kind(), again.Entry())

	return nil
}

func (d *Demo) compare(ctx context.Context) error {
	starts, err := d.startedOnce(ctx, d.records)
	if err != nil {
		return err
	}

	d.say("%d starts of %d submissions, none twice", starts, len(d.records))

	return nil
}

// startedOnce checks that the backend servers started each task of the records once and nothing else.
func (d *Demo) startedOnce(ctx context.Context, records []*caller.Record) (int, error) {
	all, err := d.cluster.Starts(ctx)
	if err != nil {
		return 0, err
	}

	starts := 0

	for _, r := range records {
		for i := range r.Submission().Inputs() {
			if n := all[r.Ticket()][i]; n != 1 {
				return 0, merry.Errorf("task %d of %s was started %d times", i, r.Submission().Kind(), n)
			}

			starts++
		}

		delete(all, r.Ticket())
	}

	if len(all) > 0 {
		return 0, merry.Errorf("%d submissions were started that nobody made", len(all))
	}

	return starts, nil
}

func lastLine(text string) string {
	lines := bytes.Split(bytes.TrimSpace([]byte(text)), []byte("\n"))

	return string(lines[len(lines)-1])
}
