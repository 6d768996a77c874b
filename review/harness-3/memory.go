package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// crowdTime is how long crowds of jobs arrive, crowdInterval the time from one crowd to the next.
	crowdTime, crowdInterval = 60 * time.Second, 4 * time.Second
	// crowdJobs is the number of jobs of a crowd, crowdTasks the number of tasks of each job.
	crowdJobs, crowdTasks = 150, 1000
	// faultEnds is how often a process has to end on a machine, faultMachines on how many machines.
	faultEnds, faultMachines = 3, 2
	// restartDelay is the time until the platform starts a process again.
	restartDelay = 300 * time.Millisecond
)

// smallTasks submits crowds of jobs with many small tasks. The stand-in of the platform kills a process that exceeds the
// memory of its machine, and starts it again. Without the disruption the same jobs have one task each.
func smallTasks(d *deployment, disrupt bool) (verdict, string) {
	guards := make([]*memoryGuard, 0, entryCount+sidecarCount)

	for _, p := range d.entries {
		guards = append(guards, &memoryGuard{process: p, limit: entryMemory})
	}

	for _, p := range d.sidecars {
		guards = append(guards, &memoryGuard{process: p, limit: sidecarMemory})
	}

	d.quiet.Store(true)

	var watch, callers sync.WaitGroup

	done := make(chan struct{})
	for _, g := range guards {
		watch.Go(func() { g.run(done) })
	}

	tasks := 1
	if disrupt {
		tasks = crowdTasks
	}

	var (
		mu     sync.Mutex
		served int
	)

	for end := time.Now().Add(crowdTime); time.Now().Before(end); time.Sleep(crowdInterval) {
		for n := range crowdJobs {
			callers.Go(func() {
				status, _, err := d.newJob("short", "900ms", tasks, 1).post(d, n%entryCount)

				mu.Lock()
				defer mu.Unlock()

				if err == nil && status == http.StatusOK {
					served++
				}
			})
		}
	}

	callers.Wait()
	close(done)
	watch.Wait()

	machines := 0

	for _, g := range guards {
		d.record.printf("%s: highest memory %d MB of %d MB, ended %d times", g.process.name(), g.highest, g.limit, g.ends)

		if g.ends >= faultEnds {
			machines++
		}
	}

	if machines >= faultMachines {
		return broken, fmt.Sprintf("on %d machines processes exceeded the memory of the machine %d times or more; %d jobs served", machines, faultEnds, served)
	}

	return held, fmt.Sprintf("on %d machines processes exceeded the memory of the machine %d times or more; %d jobs served", machines, faultEnds, served)
}

// memoryGuard is the platform's limit of the memory of a process.
type memoryGuard struct {
	process *process
	// limit and highest are in MB.
	limit, highest, ends int
}

func (g *memoryGuard) run(done chan struct{}) {
	t := time.NewTicker(20 * time.Millisecond)
	defer t.Stop()

	for {
		select {
		case <-t.C:
		case <-done:
			return
		}

		n := g.process.residentMB()
		g.highest = max(g.highest, n)

		if n <= g.limit {
			continue
		}

		g.ends++
		g.process.deployment.record.printf("%s takes %d MB, more than the %d MB of its machine", g.process.name(), n, g.limit)
		g.process.signal(syscall.SIGKILL)
		g.process.awaitEnd(5 * time.Second)
		time.Sleep(restartDelay)
		must(g.process.start())
	}
}
