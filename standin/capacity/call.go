package capacity

import (
	"context"
	"fmt"
	"runtime"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/rs/zerolog"

	"github.com/skylarkweir/skylarkweir/sidecar/leasedbackend"
	"github.com/skylarkweir/skylarkweir/sidecar/repeatable"
	"github.com/skylarkweir/skylarkweir/weir/connection/quic"
	"github.com/skylarkweir/skylarkweir/weir/process/sessionset"
	"github.com/skylarkweir/skylarkweir/weir/process/succession"
	"github.com/skylarkweir/skylarkweir/weir/request/job"
)

const (
	// fixedLimit and fixedTries are the baseline rule: tries one after the other, with one time limit.
	fixedLimit = 200 * time.Millisecond
	fixedTries = 3
)

// Call measures what a start costs a sidecar at several percentages of answers that its backend server leaves out: with the
// rule of the sidecar, and with one that waits for a fixed time for each answer. All of it runs in the measuring process. The
// connections and allocations of the first rule are also those of stops, renewals and lists.
func (b *Benchmark) Call(ctx context.Context, points []int) error {
	for _, rule := range []struct {
		name    string
		measure func(ctx context.Context, s *lossyServer, r *callRecorder, t *table, percent int) error
	}{{"sidecar", b.measureSidecarCalls}, {"one limit of 200 ms", b.measureFixedCalls}} {
		fmt.Fprintf(b.Out, "rule: %s\n", rule.name)
		t := newTable(b.Out, "lost %", "calls", "tries", "ms", "ms p99", "unsettled %", "connections", "allocations", "KB")

		for _, percent := range points {
			s := newLossyServer(percent)

			err := rule.measure(ctx, s, newCallRecorder(leasedbackend.NewClient(s.http.URL)), t, percent)
			s.http.CloseClientConnections()
			s.http.Close()

			if err != nil {
				return err
			}
		}

		t.printFits()
	}

	return nil
}

// measureSidecarCalls measures the calls of a worker.
func (b *Benchmark) measureSidecarCalls(ctx context.Context, s *lossyServer, r *callRecorder, t *table, percent int) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()

	keys, err := quic.SharedKeys("calls")
	if err != nil {
		return err
	}

	e, node := &callEntry{}, &quic.Node{}
	for _, n := range []*quic.Node{&e.node, node} {
		if err := n.Listen("127.0.0.1:0", keys); err != nil {
			return err
		}
		defer func() { _ = n.Close() }()
	}

	w := repeatable.NewWorker("sidecar", r, repeatable.NewRouteDistributor(zerolog.Nop()), nil, zerolog.Nop())
	links := repeatable.NewLinks(node, w, sessionset.NewSidecar("sidecar", "domain"), 1, zerolog.Nop())
	links.Add(sessionset.NewEntry(e.node.Address().String(), "domain"))

	w.Announce(ctx, succession.NewAnnouncement(s.backend.Instance(), sessionService, "domain", s.backend.StartedAtMS(), 1,
		job.NewSize(workerCores*millicores, workerMemoryMB), nil, false))

	go w.Run(ctx)
	go links.Run(ctx)

	if err := e.accept(ctx); err != nil {
		return err
	}

	go e.run(ctx)

	return b.measureCalls(ctx, s, r, t, percent)
}

// measureFixedCalls measures the calls of the baseline rule.
func (b *Benchmark) measureFixedCalls(ctx context.Context, s *lossyServer, r *callRecorder, t *table, percent int) error {
	ctx, stop := context.WithCancel(ctx)

	var group sync.WaitGroup
	for n := range callConcurrency {
		group.Go(func() { callWithFixedLimit(ctx, s, r, n) })
	}

	defer group.Wait()
	defer stop()

	return b.measureCalls(ctx, s, r, t, percent)
}

// callWithFixedLimit starts tasks one after the other, each with the baseline rule.
func callWithFixedLimit(ctx context.Context, s *lossyServer, r *callRecorder, n int) {
	for i := 0; ctx.Err() == nil; i++ {
		run := repeatable.NewRun(repeatable.NewTask(fmt.Sprintf("job-%d-%d", n, i), 0), 1)

		for range fixedTries {
			leaseEnd := time.Since(time.UnixMilli(s.backend.StartedAtMS())) + 2*time.Second

			tryCtx, cancel := context.WithTimeout(ctx, fixedLimit)
			_, err := r.Start(tryCtx, run, callInput, repeatable.NewPermit(s.backend.Instance(), 1, leaseEnd))

			cancel()

			if err == nil {
				break
			}
		}
	}
}

// measureCalls measures the calls in the window and adds a row.
func (b *Benchmark) measureCalls(ctx context.Context, s *lossyServer, r *callRecorder, t *table, percent int) error {
	if err := sleep(ctx, b.SettleTime); err != nil {
		return err
	}

	var before, after runtime.MemStats

	connections := s.connections.Load()
	r.reset(0)
	runtime.ReadMemStats(&before)

	if err := sleep(ctx, b.Window); err != nil {
		return err
	}

	runtime.ReadMemStats(&after)

	connections = s.connections.Load() - connections
	// Starts that began just before the end of the window may be settled later.
	starts := r.reset(fixedLimit * fixedTries)
	calls := float64(len(starts))

	if calls == 0 {
		return merry.Errorf("no start in a window of %s", b.Window)
	}

	tries, mean, high, unsettled := callFigures(starts)

	const kilo = 1e3

	t.addRow(percent, calls, tries, mean, high, unsettled, float64(connections)/calls,
		float64(after.Mallocs-before.Mallocs)/calls, float64(after.TotalAlloc-before.TotalAlloc)/calls/kilo)

	return nil
}
