package main

import (
	"fmt"
	"sync"
	"time"
)

// playSpread: jobs allow one of their tasks on a server. One server of eleven fails all that it starts.
func playSpread(d *deployment, disrupted bool) ([]string, error) {
	const (
		jobs     = 12
		interval = 500 * time.Millisecond
	)

	if disrupted {
		d.servers[0].setFailing(true)
		d.record.line("server 0  fails all that it starts from now on")
	}

	var (
		all        sync.WaitGroup
		violations []string
	)

	sent := make([]*job, jobs)

	for n := range sent {
		j := newJob("stock", 7, 200*time.Millisecond)
		j.maxPerServer = 1
		sent[n] = j

		all.Go(func() { j.submit(d, n%len(d.entries)) })
		time.Sleep(interval)
	}

	if disrupted {
		d.servers[0].setFailing(false)
		d.record.line("server 0  fails nothing any more")
	}

	all.Wait()

	for _, j := range sent {
		violations = append(violations, crowded(d.runsOf(j), j.maxPerServer)...)
	}

	return violations, nil
}

// crowded returns the starts that bring more tasks of a job than its limit onto one server.
func crowded(runs []run, limit int) []string {
	var found []string

	for _, a := range runs {
		n := 1

		for _, b := range runs {
			if b.server == a.server && b.task != a.task && b.startedAt < a.startedAt && end(b) > a.startedAt {
				n++
			}
		}

		if n > limit {
			found = append(found, fmt.Sprintf("start of %s at %d ms is number %d of its job's tasks that run on server %d, the limit is %d",
				a.task, a.startedAt.Milliseconds(), n, a.server.number, limit))
		}
	}

	return found
}
