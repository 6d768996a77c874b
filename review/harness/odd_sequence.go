package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// drainTime is the time after the acknowledgement of a drain from which no task may start there (DrainMs).
const drainTime = 2 * time.Second

// playOddSequence: a sidecar receives one announcement of another writer under its server's id, with fields missing and a
// high sequence number. Later the server says that it leaves.
func playOddSequence(d *deployment, disrupted bool) ([]string, error) {
	s := d.servers[0]

	if disrupted {
		odd := newMessage("announcement")
		m := map[string]any{"born": s.bornMS(), "Seq": 1_000_000}

		for _, field := range []string{"Service", "State", "Capacity"} {
			m[field] = odd[field]
		}

		status := sendAnnouncement(context.Background(), s.control, s.id, m)
		d.record.line("announcement of another writer with the id of server 0, without address, zone, labels and version: answer %d", status)
	}

	time.Sleep(4 * time.Second)
	s.setDraining()

	if status := s.announce(context.Background()); status != http.StatusOK {
		return nil, fmt.Errorf("the announcement that server 0 leaves was answered with status %d", status)
	}

	acknowledged := d.record.elapsed()
	d.record.line("server 0  its announcement that it is draining was acknowledged")

	var all sync.WaitGroup

	for n := 0; d.record.elapsed() < acknowledged+2*drainTime; n++ {
		all.Go(func() { newJob("stock", 8, 200*time.Millisecond).submit(d, n%len(d.entries)) })
		time.Sleep(200 * time.Millisecond)
	}

	all.Wait()

	var violations []string

	for _, r := range s.runs() {
		if late := r.startedAt - acknowledged; late > drainTime {
			violations = append(violations, fmt.Sprintf(
				"start of %s on server 0, %d ms after it was acknowledged that it is draining", r.task, late.Milliseconds()))
		}
	}

	return violations, nil
}
