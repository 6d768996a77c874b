package main

import (
	"context"
	"fmt"
	"syscall"
	"time"
)

const (
	// lossClients is the number of clients with an open connection.
	lossClients = 4
	// lossRun is how long the tasks run.
	lossRun = 500 * time.Millisecond
	// lossBegin is the time from SIGTERM to the beginning of the first request, bodyGap the time between the two parts of a body.
	lossBegin, bodyGap = 3500 * time.Millisecond, 150 * time.Millisecond
)

// lateRequest is a request that a client sends while the entry shuts down.
type lateRequest struct {
	id                 string
	status             int
	sentAt, answeredAt time.Duration
	err                error
}

// loss stops an entry by SIGTERM while clients hold open connections, and checks that each request that it has read whole and
// passed on is answered. The clients send each body in two parts.
func loss(d *deployment, trouble bool) (bool, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()

	entries, servers, err := d.begin(ctx, 2)
	if err != nil {
		return false, err
	}

	channels, err := d.openAll()
	if err != nil {
		return false, err
	}

	signalled := time.Now()

	if trouble {
		d.record.add("SIGTERM to %s", entries[0].name)
		entries[0].signal(syscall.SIGTERM)
	}

	results := make(chan lateRequest)

	for n, c := range channels {
		go func() {
			time.Sleep(time.Until(signalled.Add(lossBegin + time.Duration(n)*20*time.Millisecond)))
			results <- c.sendLate(signalled)
		}()
	}

	var all []lateRequest
	for range channels {
		all = append(all, <-results)
	}

	started := map[string]bool{}

	for _, s := range servers {
		for _, t := range s.startsSoFar() {
			started[jobOf(t.task)] = true
		}
	}

	held := true

	for _, r := range all {
		d.record.add("job %s: sent whole %.3f s after SIGTERM, passed on to a server: %t, answer %d, error %v, at %.3f s",
			r.id, r.sentAt.Seconds(), started[r.id], r.status, r.err, r.answeredAt.Seconds())

		if r.err != nil && started[r.id] {
			held = false
			d.record.add("job %s was read whole and passed on, and its connection ended without an answer", r.id)
		}
	}

	return held, nil
}

// openAll opens the connections of the clients, each with a job that completes.
func (d *deployment) openAll() ([]*channel, error) {
	all := make([]*channel, lossClients)

	for n := range all {
		c, err := d.open(0)
		if err != nil {
			return nil, err
		}

		all[n] = c

		id, body := newID(), jobBody(2, 50*time.Millisecond, "")
		if err := c.send(id, body, len(body), 0); err != nil {
			return nil, err
		}

		status, text, _, err := c.answer()
		d.record.add("client %d: job %s answered %d %s", n, id, status, text)

		if err != nil || status != 200 {
			return nil, fmt.Errorf("%w: the first job of client %d did not complete: %w", errUnable, n, err)
		}
	}

	return all, nil
}

// sendLate sends a job in two parts and waits for the answer.
func (c *channel) sendLate(signalled time.Time) lateRequest {
	r := lateRequest{id: newID()}
	body := jobBody(2, lossRun, "")

	r.err = c.send(r.id, body, len(body)/2, bodyGap)
	r.sentAt = time.Since(signalled)

	if r.err == nil {
		r.status, _, _, r.err = c.answer()
	}

	r.answeredAt = time.Since(signalled)

	return r
}
