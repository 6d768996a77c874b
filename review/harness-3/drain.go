package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// grace is GraceS of the settings.
	grace = 6 * time.Second
	// firstUse is when the first of the open connections is used, after the signal, and useInterval the time between two.
	firstUse, useInterval = 2600 * time.Millisecond, 350 * time.Millisecond
	// bodyDelay is how long after its header a caller sends the body.
	bodyDelay = 200 * time.Millisecond
	// opened is when the connections are opened, after the signal: the platform takes an entry out of rotation after two
	// missed readiness checks, which it makes once a second.
	opened = 1500 * time.Millisecond
	// connectionCount is the number of these connections.
	connectionCount = 5
)

// pooledCaller is a caller that has opened a connection to the entry and uses it a few seconds later.
type pooledCaller struct {
	job        *jobRequest
	connection net.Conn
	sent, cut  time.Time
	status     int
}

// drainCut opens connections to an entry, sends it SIGTERM and uses the connections before its grace time ends.
func drainCut(d *deployment, disrupt bool) (verdict, string) {
	// Jobs before it teach the entry how long such a task runs.
	for range 5 {
		if status, _, err := d.newJob("short", "200ms", 2, 3100).post(d, 0); err != nil || status != http.StatusOK {
			return notRun, fmt.Sprintf("a job was not served in calm: %d %v", status, err)
		}
	}

	signalled := time.Now()

	if disrupt {
		d.entries[0].signal(syscall.SIGTERM)
	}

	time.Sleep(opened)

	var callers []*pooledCaller

	for range connectionCount {
		c, err := net.Dial("tcp", d.address(d.entryIP(0), d.ports.front))
		if err != nil {
			return notRun, err.Error()
		}
		defer c.Close()

		callers = append(callers, &pooledCaller{job: d.newJob("short", "200ms", 2, 3100), connection: c})
	}

	var all sync.WaitGroup

	for n, c := range callers {
		all.Go(func() {
			time.Sleep(time.Until(signalled.Add(firstUse + time.Duration(n)*useInterval)))
			c.run(d)
		})
	}

	all.Wait()
	time.Sleep(300 * time.Millisecond)

	lost := 0

	for _, c := range callers {
		if c.isLost(d, signalled) {
			lost++
		}
	}

	if lost > 0 {
		return broken, fmt.Sprintf("%d requests that had been passed on to a server were cut without an answer", lost)
	}

	return held, "no request that had been passed on was cut"
}

// run sends the request, its body a little later, and waits for the answer.
func (c *pooledCaller) run(d *deployment) {
	c.sent = time.Now()
	d.record.printf("caller: POST %s sent to entry 0 on a connection that was opened before", c.job.id)

	_, err := io.WriteString(c.connection, c.job.header(http.MethodPost, len(c.job.body)))

	time.Sleep(bodyDelay)

	if err == nil {
		_, err = c.connection.Write(c.job.body)
	}

	var resp *http.Response

	if err == nil {
		_ = c.connection.SetReadDeadline(time.Now().Add(callerTimeout))
		resp, err = http.ReadResponse(bufio.NewReader(c.connection), nil)
	}

	if err == nil {
		_, err = io.ReadAll(resp.Body)
	}

	if err != nil {
		c.cut = time.Now()
		d.record.printf("caller: POST %s: no answer after %d ms: %v", c.job.id, c.cut.Sub(c.sent).Milliseconds(), err)

		return
	}

	c.status = resp.StatusCode
	d.record.printf("caller: POST %s answered %d after %d ms", c.job.id, c.status, time.Since(c.sent).Milliseconds())
}

// isLost reports whether the request was passed on to a server and its connection ended without an answer, before the time
// budget of the caller and apart from the excuse for the last sixth of the grace time.
func (c *pooledCaller) isLost(d *deployment, signalled time.Time) bool {
	runs := d.runsOf(c.job.id)

	if c.status != 0 || len(runs) == 0 || c.cut.Sub(c.sent) >= callerTimeout {
		return false
	}

	late := c.cut.Sub(signalled)
	excused := late > grace*5/6 && c.sent.Sub(signalled) <= 3*time.Second
	d.record.printf("%s: sent %.3f s after the signal, started at server %d, cut %.3f s after the signal", c.job.id,
		c.sent.Sub(signalled).Seconds(), runs[0].Server, late.Seconds())

	return !excused && late <= grace+time.Second
}
