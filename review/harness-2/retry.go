package main

import (
	"context"
	"time"
)

const (
	// muteTime is how long a server leaves starts unanswered.
	muteTime = 2600 * time.Millisecond
	// patientTimeout is how long the caller waits for its job, patientRun how long its task runs.
	patientTimeout, patientRun = 8 * time.Second, 4 * time.Second
)

// retry lets a server that begins to drain leave starts unanswered for a while, and checks that none is sent again after the time
// of the drain.
func retry(d *deployment, trouble bool) (bool, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()

	_, servers, err := d.begin(ctx, 1)
	if err != nil {
		return false, err
	}

	leaving := servers[2]

	if trouble {
		leaving.mute(time.Now().Add(muteTime))
		d.record.add("%s leaves starts unanswered from now on, for %s", leaving.id, muteTime)
	}

	answered := make(chan struct{})

	go func() {
		defer close(answered)

		c, err := d.open(0)
		if err != nil {
			return
		}
		defer c.conn.Close()

		id, body := newID(), jobBody(1, patientRun, `, "Requires": "b"`)
		d.record.add("job %s is sent", id)
		_ = c.sendWithin(patientTimeout, id, body, len(body), 0)
		status, text, _, err := c.answer()
		d.record.add("job %s answered %d %s %v", id, status, text, err)
	}()

	time.Sleep(200 * time.Millisecond)

	acknowledged := leaving.drain()
	d.record.add("the drain of %s is acknowledged", leaving.id)

	<-answered

	return d.checkDrain(leaving, acknowledged), nil
}
