// Package demo runs a complete system as separate processes on loopback and checks submissions, resubmissions and the
// graceful shutdown of processes under load.
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
	// servicesDirectory holds the agreement files; the path is relative to the root of the repository.
	servicesDirectory = "standin/demo/services"
	// token is that of the member in the agreement file.
	token = "demo-token"

	entryCount  = 3
	workerCount = 3
	jobTasks    = 40
	// publicationTimeout is the time within which invariant I8 guarantees that a published version is in force.
	publicationTimeout = 9 * time.Second
	startTimeout       = 20 * time.Second
	// departureTimeout is longer than the entry's drain_delay and the longest deadline of the load together.
	departureTimeout = 40 * time.Second
)

// Demo runs the steps of the demo in order.
type Demo struct {
	out     io.Writer
	step    int
	cluster *cluster.Cluster
	client  *caller.Client
	records []*caller.Record
}

// Run runs the demo, with the root of the repository as the working directory, and returns an error if a step or a
// check fails. All processes have exited when it returns.
func Run(ctx context.Context, out io.Writer) error {
	if _, err := os.Stat(servicesDirectory); err != nil {
		return merry.Errorf("the demo must be run from the root of the repository: %w", err)
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
			d.cluster.WriteTails(out)
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
		{"compare with the backend servers' records", d.compareStarts},
		{"end an entry and a sidecar under load", d.runDepartures},
		{"ask other entries for answers of the entry that left", d.checkHandover},
	} {
		d.step++
		fmt.Fprintf(d.out, "%d. %s\n", d.step, s.title)

		if err := s.do(ctx); err != nil {
			fmt.Fprintf(d.out, "   FAILED: %v\n", err)

			return merry.Prependf(err, "step %d, %s", d.step, s.title)
		}
	}

	return nil
}

func (d *Demo) printDetail(format string, args ...any) {
	fmt.Fprintf(d.out, "   "+format+"\n", args...)
}

func (d *Demo) build(ctx context.Context, directory string) error {
	programs, err := cluster.Build(ctx, filepath.Join(directory, "programs"))
	if err != nil {
		return err
	}

	d.cluster, err = cluster.New(programs, directory)
	if err == nil {
		d.printDetail("in %s", directory)
	}

	return err
}

func (d *Demo) start(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()

	if err := d.cluster.StartLog(ctx); err != nil {
		return err
	}

	for i := range entryCount {
		domain := cluster.WithSetting("failure_domain", fmt.Sprintf("domain-%d", i+1))
		if _, err := d.cluster.StartEntry(ctx, fmt.Sprintf("entry-%d", i+1), domain); err != nil {
			return err
		}
	}

	for i := range workerCount {
		domain := cluster.WithSetting("failure_domain", fmt.Sprintf("domain-%d", i+1))
		if _, err := d.cluster.StartWorker(ctx, fmt.Sprintf("worker-%d", i+1), domain); err != nil {
			return err
		}
	}

	for _, p := range d.cluster.Processes() {
		d.printDetail("%-16s process %d", p.Name(), p.ID())
	}

	return nil
}

func (d *Demo) publish(ctx context.Context) error {
	out, code, err := d.cluster.Weirctl(ctx, "check", servicesDirectory)
	if err != nil || code != 0 {
		return merry.Errorf("weirctl check: exit code %d, %v: %s", code, err, out)
	}

	d.printDetail("weirctl check: %s", lastLine(out))

	out, err = d.cluster.Publish(ctx, servicesDirectory)
	if err != nil {
		return err
	}

	d.printDetail("weirctl publish: %s", lastLine(out))

	published := time.Now()

	ctx, cancel := context.WithTimeout(ctx, publicationTimeout)
	defer cancel()

	if err := d.cluster.WaitReady(ctx); err != nil {
		return merry.Prepend(err, "the version is not in force at all entries and sidecars")
	}

	d.printDetail("in force at all entries and sidecars %d ms later", time.Since(published).Milliseconds())
	d.printDetail("the first job waits for allowance_delay (5 s), after which workers use a larger allowance")

	return nil
}

func (d *Demo) submit(ctx context.Context) error {
	l, err := d.cluster.NewLoad(token, `"rate": 1, "mix": [{"kind": "stock-lookup"}]`)
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
		d.printDetail("%-12s all %2d tasks answered by %s in %d ms",
			s.Kind(), len(r.Outputs()), r.Entry(), r.ResponseTime().Milliseconds())
	}

	return nil
}

func (d *Demo) resubmit(ctx context.Context) error {
	for _, r := range d.records {
		if err := d.checkSameAnswer(ctx, r); err != nil {
			return err
		}
	}

	return nil
}

// checkSameAnswer sends a submission again through another entry and compares the answers.
func (d *Demo) checkSameAnswer(ctx context.Context, r *caller.Record) error {
	repeated := d.client.Resubmit(ctx, r)

	switch {
	case !repeated.Complete():
		return merry.Errorf("%s: %s, ran %s: %s", r.Submission().Kind(), repeated.Code(), repeated.Ran(), repeated.Error())
	case repeated.Entry() == r.Entry():
		return merry.Errorf("%s: no other entry was available for the resubmission", r.Submission().Kind())
	}

	for i, o := range repeated.Outputs() {
		if !bytes.Equal(o, r.Outputs()[i]) {
			return merry.Errorf("%s: output %d differs", r.Submission().Kind(), i)
		}
	}

	d.printDetail("%-12s same answer from %s", r.Submission().Kind(), repeated.Entry())

	return nil
}

func (d *Demo) compareStarts(ctx context.Context) error {
	starts, err := d.checkStartedOnce(ctx, d.records)
	if err != nil {
		return err
	}

	d.printDetail("%d starts of %d submissions, none twice", starts, len(d.records))

	return nil
}

// checkStartedOnce checks that the backend servers started each task of the records exactly once, and no other tasks.
// It returns the number of starts.
func (d *Demo) checkStartedOnce(ctx context.Context, records []*caller.Record) (int, error) {
	all, err := d.cluster.StartCounts(ctx)
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
		return 0, merry.Errorf("the backend servers started tasks of %d unknown submissions", len(all))
	}

	return starts, nil
}

func lastLine(text string) string {
	lines := bytes.Split(bytes.TrimSpace([]byte(text)), []byte("\n"))

	return string(lines[len(lines)-1])
}
