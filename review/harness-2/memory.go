package main

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// crowdTime is how long the client submits jobs, crowdInterval the time between two of them.
	crowdTime, crowdInterval = 60 * time.Second, 40 * time.Millisecond
	// crowdTasks is the number of tasks of each job, crowdRun how long each runs.
	crowdTasks, crowdRun = 1000, time.Second
	// maxEnds is the number of ends of processes on a machine from which on it counts, maxMachines the number of such machines
	// that breaks the rule.
	maxEnds, maxMachines = 3, 2
)

// watcher stands in for the platform, which kills a process that exceeds the memory of its machine and starts it again.
type watcher struct {
	deployment *deployment

	mu   sync.Mutex
	ends map[string]int
}

// memory submits jobs whose tasks need no processor time and no memory, and checks that no process exceeds the memory of its
// machine. Without trouble, the same number of jobs has three tasks of an ordinary size each.
func memory(d *deployment, trouble bool) (bool, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()

	_, servers, err := d.begin(ctx, 1)
	if err != nil {
		return false, err
	}

	for _, s := range servers {
		s.isQuiet = true
	}

	body := jobBody(3, 20*time.Millisecond, "")

	if trouble {
		ms := strconv.FormatInt(crowdRun.Milliseconds(), 10)
		body = []byte(fill(sizelessJobText, map[string]string{"INPUT": ms, "TASKS": strconv.Itoa(crowdTasks), "RUN": ms}))

		for _, s := range servers {
			s.tasksHaveNoSize = true
		}
	}

	d.record.add("a client submits a job of %d bytes each %s", len(body), crowdInterval)

	w := &watcher{deployment: d, ends: map[string]int{}}

	watchCtx, stopWatching := context.WithCancel(ctx)

	var watching sync.WaitGroup
	for _, p := range d.processes {
		watching.Go(func() { w.watch(watchCtx, p) })
	}

	var answers sync.Map

	for end := time.Now().Add(crowdTime); time.Now().Before(end) && !w.isBroken(); time.Sleep(crowdInterval) {
		go func() {
			n, _ := answers.LoadOrStore(d.submit(0, newID(), body), new(counter))
			n.(*counter).add()
		}()
	}

	time.Sleep(2 * time.Second)
	stopWatching()
	watching.Wait()

	answers.Range(func(status, n any) bool {
		d.record.add("%d jobs were answered %d", n.(*counter).value(), status)

		return true
	})

	return !w.isBroken(), nil
}

// watch kills the process when it exceeds the memory of its machine, and starts it again.
func (w *watcher) watch(ctx context.Context, p *process) {
	t := time.NewTicker(20 * time.Millisecond)
	defer t.Stop()

	highest := 0

	for {
		select {
		case <-t.C:
		case <-ctx.Done():
			w.deployment.record.add("%s has used %d MB at most since its start, of %d MB", p.name, highest>>10, p.memoryMB)

			return
		}

		used := residentKB(p.command.Process.Pid)
		highest = max(highest, used)

		if used <= p.memoryMB<<10 {
			continue
		}

		w.deployment.record.add("%s uses %d MB, more than the %d MB of its machine, and is killed", p.name, used>>10, p.memoryMB)

		if err := w.deployment.kill([]*process{p}, restartDelay); err != nil {
			return
		}

		w.mu.Lock()
		w.ends[p.name]++
		w.mu.Unlock()

		highest = 0
	}
}

// isBroken reports whether processes have ended often enough on enough machines.
func (w *watcher) isBroken() bool {
	w.mu.Lock()
	defer w.mu.Unlock()

	machines := 0

	for _, n := range w.ends {
		if n >= maxEnds {
			machines++
		}
	}

	return machines >= maxMachines
}

// residentKB returns the resident memory of a process, zero if it can't be read.
func residentKB(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}

	fields := strings.Fields(string(text))
	if len(fields) < 2 {
		return 0
	}

	pages, _ := strconv.Atoi(fields[1])

	return pages * os.Getpagesize() >> 10
}

// counter counts answers.
type counter struct {
	mu sync.Mutex
	n  int
}

func (c *counter) add() {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.n++
}

func (c *counter) value() int {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.n
}
