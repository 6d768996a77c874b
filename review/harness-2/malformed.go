package main

import (
	"context"
	"sync/atomic"
	"time"
)

const (
	// malformedID is a job id that is no UTF-8 once its escapes are decoded, ordinaryID one as the pages describe it.
	malformedID, ordinaryID = "%FF%FE", "00000000000000aa"
	// calmTime is how long clients submit jobs afterwards, calmInterval the time between two of them.
	calmTime, calmInterval = 45 * time.Second, 250 * time.Millisecond
	// callEntries is the number of entries of the cases that count what is served.
	callEntries = 2
)

// malformed sends one cancellation with a malformed id to each entry, and checks that the entries serve jobs after that.
// Without trouble the id is an ordinary one, of a job that does not exist.
func malformed(d *deployment, trouble bool) (bool, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()

	entries, _, err := d.begin(ctx, callEntries)
	if err != nil {
		return false, err
	}

	id := ordinaryID
	if trouble {
		id = malformedID
	}

	for n := range entries {
		status, text := d.cancel(n, id)
		d.record.add("the cancelling of job %s at entry %d is answered %d %s", id, n, status, text)
	}

	return d.servesJobs(), nil
}

// servesJobs submits jobs to all entries for a while, and reports whether one of them was served.
func (d *deployment) servesJobs() bool {
	var sent, served atomic.Int64

	for end := time.Now().Add(calmTime); time.Now().Before(end); time.Sleep(calmInterval) {
		go func() {
			id, body := newID(), jobBody(2, 100*time.Millisecond, "")
			first := d.submit(int(sent.Add(1))%callEntries, id, body)

			if first == 200 {
				served.Add(1)
			}

			d.record.add("job %s answered %d", id, first)
		}()
	}

	time.Sleep(2 * time.Second)
	d.record.add("of %d jobs %d were served", sent.Load(), served.Load())

	return served.Load() > 0
}
