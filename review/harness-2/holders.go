package main

import (
	"context"
	"strconv"
	"time"
)

const (
	// holdersPerEntry is the number of connections that a crowd holds open at each entry. An entry of 284 MB takes 1136.
	holdersPerEntry = 1200
	// holderRun is how long the task of each runs, holderTimeout how long each waits.
	holderRun, holderTimeout = 300 * time.Second, 1<<31 - 1
)

// holders lets a crowd of callers wait for long jobs, one on each connection, and checks that the entries serve the jobs of
// others. Without trouble nobody holds connections.
func holders(d *deployment, trouble bool) (bool, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()

	entries, servers, err := d.begin(ctx, callEntries)
	if err != nil {
		return false, err
	}

	for _, s := range servers {
		s.tasksHaveNoSize, s.isQuiet = true, true
	}

	if trouble {
		ms := strconv.FormatInt(holderRun.Milliseconds(), 10)
		body := []byte(fill(sizelessJobText, map[string]string{"INPUT": ms, "TASKS": "1", "RUN": ms}))

		for n := range entries {
			for range holdersPerEntry {
				c, err := d.open(n)
				if err != nil {
					return false, err
				}

				defer c.conn.Close()

				if err := c.sendWithin(holderTimeout*time.Millisecond, newID(), body, len(body), 0); err != nil {
					return false, err
				}
			}
		}

		d.record.add("a crowd waits for a job on each of %d connections to each entry", holdersPerEntry)
	}

	return d.servesJobs(), nil
}
