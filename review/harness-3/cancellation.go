package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// cancelBound is cancel_ms of the settings: later than this after the acknowledgement no task of a cancelled job starts.
const cancelBound = 3 * time.Second

// lostCancellation cancels jobs at the entry that has them, kills that entry right after the last acknowledgement, and sends
// a late copy of each submission to another entry.
func lostCancellation(d *deployment, disrupt bool) (verdict, string) {
	const jobs = 5

	var (
		all   []*jobRequest
		posts sync.WaitGroup
	)

	for range jobs {
		j := d.newJob("long", "1200ms", 4, 2000)
		all = append(all, j)

		posts.Go(func() { _, _, _ = j.post(d, 0) })
	}

	time.Sleep(400 * time.Millisecond)

	for _, j := range all {
		if len(d.runsOf(j.id)) == 0 {
			return notRun, "a job has not started before its cancelling"
		}
	}

	acknowledged := make([]time.Time, jobs)

	for n, j := range all {
		status, _, err := j.cancel(d, 0)
		if err != nil || status != http.StatusOK && status != http.StatusGone {
			return notRun, fmt.Sprintf("the cancelling of a job was not acknowledged: %d %v", status, err)
		}

		acknowledged[n] = time.Now()
	}

	if disrupt {
		d.entries[0].signal(syscall.SIGKILL)
		d.entries[0].awaitEnd(time.Second)
		time.Sleep(200 * time.Millisecond)

		if err := d.entries[0].start(); err != nil {
			return notRun, err.Error()
		}
	}

	posts.Wait()
	time.Sleep(time.Until(acknowledged[jobs-1].Add(cancelBound + 500*time.Millisecond)))

	for _, j := range all {
		posts.Go(func() { _, _, _ = j.post(d, 1) })
	}

	posts.Wait()

	late := 0

	for n, j := range all {
		for _, r := range d.runsOf(j.id) {
			if after := r.From.Sub(acknowledged[n]); after > cancelBound {
				late++
				d.record.printf("%s started at server %d %.3f s after the cancelling was acknowledged", r.Task, r.Server, after.Seconds())
			}
		}
	}

	if late > 0 {
		return broken, fmt.Sprintf("%d tasks of cancelled jobs started later than %s after the acknowledgement", late, cancelBound)
	}

	return held, "no task of a cancelled job started after the acknowledgement"
}
