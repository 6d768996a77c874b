package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	// crowdCancellations is the number of cancellations that a client sends, crowdConnections that of its connections.
	crowdCancellations, crowdConnections = 4200, 4
)

// forgotten lets a client cancel thousands of jobs that do not exist, after a job was cancelled, and checks that a late copy of its
// submission starts nothing.
func forgotten(d *deployment, trouble bool) (bool, error) {
	return cancelled(d, func([]*process) error {
		if !trouble {
			return nil
		}

		return d.cancelMany(crowdCancellations)
	})
}

// cancelMany cancels jobs that do not exist at the first entry.
func (d *deployment) cancelMany(count int) error {
	began := time.Now()

	var (
		all  sync.WaitGroup
		mu   sync.Mutex
		gone int
	)

	for n := range crowdConnections {
		c, err := d.open(0)
		if err != nil {
			return err
		}
		defer c.conn.Close()

		all.Go(func() {
			for i := n; i < count; i += crowdConnections {
				if _, err := fmt.Fprintf(c.conn, "DELETE /quick/%016x HTTP/1.1\r\nHost: jobs.example\r\n\r\n", 1+i); err != nil {
					return
				}

				if status, _, _, _ := c.answer(); status == 410 {
					mu.Lock()
					gone++
					mu.Unlock()
				}
			}
		})
	}

	all.Wait()
	d.record.add("a client has sent %d cancellations of jobs that do not exist in %.1f s, %d were answered 410",
		count, time.Since(began).Seconds(), gone)

	return nil
}
