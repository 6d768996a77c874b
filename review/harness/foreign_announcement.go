package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"
)

// playForeignAnnouncement: while the tasks of a job run, the sidecar beside one of them receives one announcement of another
// writer, with an id of its own and a service that no configuration names.
func playForeignAnnouncement(d *deployment, disrupted bool) ([]string, error) {
	var violations []string

	for round := range rounds {
		j := newJob("grain", 4, 900*time.Millisecond)
		s := d.submitLater(j, round%len(d.entries))

		r, err := awaitStarts(d, j)
		if err != nil {
			return nil, err
		}

		time.Sleep(200 * time.Millisecond)

		if disrupted {
			m := newMessage("announcement")
			m["Service"], m["Addr"], m["Seq"], m["born"] = "laundry", "127.0.0.1:9", 1, time.Now().Add(-time.Second).UnixMilli()
			status := sendAnnouncement(context.Background(), r.server.control, fmt.Sprintf("i-%08x", rand.Uint32()), m)
			d.record.line("announcement of another writer (service laundry) to the sidecar of server %d: answer %d", r.server.number, status)
		}

		<-s.answer
		violations = append(violations, overlaps(d.runsOf(j))...)

		// The server's next announcement puts it into use again.
		time.Sleep(heartbeatInterval + 500*time.Millisecond)
	}

	return violations, nil
}
