package main

import (
	"fmt"
	"net/http"
	"time"
)

// cancelTime is the time after the acknowledgement of a cancellation from which no task of the job may start (cancel_ms).
const cancelTime = 3 * time.Second

// playLateCopy: a client cancels a job, and a copy of its submission arrives seconds after the answers. The first copy comes
// to the entry that has acknowledged the cancellation, the second one to another entry.
func playLateCopy(d *deployment, disrupted bool) ([]string, error) {
	var violations []string

	for round := range 2 {
		j := newJob("grain", 4, 900*time.Millisecond)
		s := d.submitLater(j, 0)

		if _, err := awaitStarts(d, j); err != nil {
			return nil, err
		}

		time.Sleep(200 * time.Millisecond)

		if a := j.cancel(d, 0); a.status != http.StatusOK {
			return nil, fmt.Errorf("the cancellation of job %s was answered with %s", j.id, a)
		}

		acknowledged := d.record.elapsed()
		<-s.answer

		time.Sleep(cancelTime + time.Second)

		if disrupted {
			d.record.line("the copy of the submission of job %s arrives", j.id)
			j.submit(d, round%len(d.entries))
		}

		for _, r := range d.runsOf(j) {
			if late := r.startedAt - acknowledged; late > cancelTime {
				violations = append(violations, fmt.Sprintf("start of %s on server %d, %d ms after the cancellation of its job was acknowledged",
					r.task, r.server.number, late.Milliseconds()))
			}
		}
	}

	return violations, nil
}
