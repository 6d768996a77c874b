package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// trafficTime is how long callers submit jobs, as long as a day of the site. trafficInterval is the time between two jobs.
	trafficTime, trafficInterval = 34 * time.Second, 200 * time.Millisecond
	// settleTime is ContactMs of the settings: from then on each entry that was started is in touch.
	settleTime = 3 * time.Second
)

// unreadableIdentifier sends each entry one cancellation whose id is a byte that is no text, before the first job. Then it
// submits ordinary jobs to all entries in turn.
func unreadableIdentifier(d *deployment, disrupt bool) (verdict, string) {
	time.Sleep(settleTime)

	if disrupt {
		for n := range d.entries {
			status, err := d.sendLine(n, "DELETE /short/%ff HTTP/1.1")
			if err != nil {
				return notRun, err.Error()
			}

			d.record.printf("caller: DELETE of the id %%ff at entry %d answered %d", n, status)
		}
	}

	var (
		all          sync.WaitGroup
		mu           sync.Mutex
		served, sent int
	)

	for end := time.Now().Add(trafficTime); time.Now().Before(end); time.Sleep(trafficInterval) {
		j, entry := d.newJob("short", "100ms", 2, 3100), sent%entryCount
		sent++

		all.Go(func() {
			status, _, err := j.post(d, entry)

			mu.Lock()
			defer mu.Unlock()

			if err == nil && status == http.StatusOK {
				served++
			}
		})
	}

	all.Wait()

	for n, p := range d.entries {
		d.record.printf("entry %d: ready %t, %d MB", n, d.isReady(n), p.residentMB())
	}

	if served == 0 {
		return broken, fmt.Sprintf("none of %d ordinary jobs was served in %s", sent, trafficTime)
	}

	return held, fmt.Sprintf("%d of %d ordinary jobs were served in %s", served, sent, trafficTime)
}

// sendLine sends a request without a body, with this request line, and returns the status of the answer.
func (d *deployment) sendLine(entry int, line string) (int, error) {
	c, err := net.DialTimeout("tcp", d.address(d.entryIP(entry), d.ports.front), time.Second)
	if err != nil {
		return 0, err
	}
	defer c.Close()

	_ = c.SetDeadline(time.Now().Add(callerTimeout))

	if _, err := fmt.Fprintf(c, "%s\r\nHost: jobs.example\r\nConnection: close\r\n\r\n", line); err != nil {
		return 0, err
	}

	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err
	}

	return resp.StatusCode, resp.Body.Close()
}
