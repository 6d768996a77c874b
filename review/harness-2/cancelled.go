package main

import (
	"context"
	"fmt"
	"time"
)

const (
	// cancelBound is the time after the acknowledgement of a cancelling from which on no task of the job may start.
	cancelBound = 3 * time.Second
	// restartDelay is the time from the end of a process to its next start.
	restartDelay = 300 * time.Millisecond
	// copyDelay is the time from the acknowledgement of a cancelling to the late copy of the submission. Each process has run
	// for longer than the contact time of 3 s by then.
	copyDelay = 6 * time.Second
)

// outage kills all processes a second after a job was cancelled, and checks that a late copy of its submission starts nothing.
func outage(d *deployment, trouble bool) (bool, error) {
	return cancelled(d, func([]*process) error {
		time.Sleep(time.Second)

		if !trouble {
			return nil
		}

		return d.kill(d.processes, restartDelay)
	})
}

// crash kills the entry that has acknowledged the cancelling of a job right after it has done so, and checks that a late copy of
// the submission starts nothing at the other entry.
func crash(d *deployment, trouble bool) (bool, error) {
	return cancelled(d, func(entries []*process) error {
		if !trouble {
			return nil
		}

		return d.kill(entries[:1], restartDelay)
	})
}

// cancelledJob is a job that was cancelled, and the body of its submission.
type cancelledJob struct {
	id             string
	body           []byte
	acknowledgedAt time.Time
}

func cancelled(d *deployment, disturb func(entries []*process) error) (bool, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()

	entries, servers, err := d.begin(ctx, 2)
	if err != nil {
		return false, err
	}

	j, err := d.submitAndCancel()
	if err != nil {
		return false, err
	}

	if err := disturb(entries); err != nil {
		return false, err
	}

	time.Sleep(time.Until(j.acknowledgedAt.Add(copyDelay)))
	d.record.add("a copy of the submission of job %s arrives at the second entry, %.3f s after the acknowledgement of its cancelling",
		j.id, time.Since(j.acknowledgedAt).Seconds())
	d.record.add("the copy is answered %d", d.submit(1, j.id, j.body))

	held := true

	for _, s := range servers {
		for _, t := range s.startsSoFar() {
			if after := t.at.Sub(j.acknowledgedAt); jobOf(t.task) == j.id && after > cancelBound {
				held = false
				d.record.add("%s started %s %.3f s after the acknowledgement of its cancelling", s.id, t.task, after.Seconds())
			}
		}
	}

	return held, nil
}

// submitAndCancel submits a job to the first entry, cancels it there while it runs, and waits for both answers.
func (d *deployment) submitAndCancel() (cancelledJob, error) {
	j := cancelledJob{id: newID(), body: jobBody(2, 600*time.Millisecond, "")}

	c, err := d.open(0)
	if err != nil {
		return j, err
	}
	defer c.conn.Close()

	if err := c.send(j.id, j.body, len(j.body), 0); err != nil {
		return j, err
	}

	d.record.add("job %s is sent to the first entry", j.id)
	time.Sleep(200 * time.Millisecond)

	cancelStatus, cancelText := d.cancel(0, j.id)
	j.acknowledgedAt = time.Now()
	status, text, _, err := c.answer()

	d.record.add("the cancelling of job %s is acknowledged: %d %s", j.id, cancelStatus, cancelText)
	d.record.add("the submission of job %s is answered %d %s", j.id, status, text)

	if err != nil || cancelStatus != 200 || status != 200 {
		return j, fmt.Errorf("%w: the job was not cancelled as expected: %w", errUnable, err)
	}

	return j, nil
}
