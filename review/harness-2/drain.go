package main

import (
	"context"
	"time"
)

const (
	// drainBound is the time after the acknowledgement of a drain from which on no task may start.
	drainBound = 2 * time.Second
	// drainLoadTime is how long callers submit jobs.
	drainLoadTime = 7 * time.Second
)

// drain sends one heartbeat of another writer for a server that drains. The writer does not know of the drain, and a field is
// of another type. It checks that the server gets no task after the time of the drain.
func drain(d *deployment, trouble bool) (bool, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()

	_, servers, err := d.begin(ctx, 1)
	if err != nil {
		return false, err
	}

	load := make(chan struct{})

	go func() {
		defer close(load)

		for end := time.Now().Add(drainLoadTime); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
			id := newID()
			go func() { d.record.add("job %s answered %d", id, d.submit(0, id, jobBody(3, 100*time.Millisecond, ""))) }()
		}
	}()

	time.Sleep(time.Second)

	leaving := servers[0]
	acknowledged := leaving.drain()
	d.record.add("the drain of %s is acknowledged", leaving.id)

	// The heartbeat of the other writer comes between two of the server itself.
	time.Sleep(time.Until(acknowledged.Add(drainBound)))
	leaving.awaitBeat()
	time.Sleep(200 * time.Millisecond)

	if trouble {
		status := leaving.post(leaving.heartbeat("ready", `"none"`, leaving.labels))
		d.record.add("heartbeat of another writer that names %s, with the number of GPUs as a text: status %d", leaving.id, status)
	}

	<-load
	time.Sleep(500 * time.Millisecond)

	return d.checkDrain(leaving, acknowledged), nil
}

// checkDrain reports whether a server that drains has started no task after the time of the drain.
func (d *deployment) checkDrain(s *server, acknowledged time.Time) bool {
	held := true

	for _, t := range s.startsSoFar() {
		if after := t.at.Sub(acknowledged); after > drainBound {
			held = false
			d.record.add("%s started %s %.3f s after the acknowledgement of its drain", s.id, t.task, after.Seconds())
		}
	}

	return held
}
