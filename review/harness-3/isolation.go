package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// cancelBound is cancel_ms of the settings: later than this after the acknowledgement no task of a cancelled job starts.
	cancelBound = 3 * time.Second
	// isolated is the entry that is cut off.
	isolated = 1
	// cutTime is how long it is cut off from all other processes.
	cutTime = 5500 * time.Millisecond
	// cancelDelay is the time from the cut to the first cancellation: less than two readiness checks.
	cancelDelay = 1200 * time.Millisecond
)

// isolatedCancellation cuts one entry off. Jobs that run at another one are cancelled there meanwhile, and a late copy of each
// submission arrives at the third entry.
func isolatedCancellation(d *deployment, disrupt bool) (verdict, string) {
	const jobs = 5

	if disrupt {
		d.setCut(true)
		time.AfterFunc(cutTime, func() { d.setCut(false) })
	}

	began := time.Now()

	time.Sleep(cancelDelay - 400*time.Millisecond)

	var (
		all   []*jobRequest
		posts sync.WaitGroup
	)

	for range jobs {
		j := d.newJob("long", "900ms", 4, 2000)
		all = append(all, j)

		posts.Go(func() { _, _, _ = j.post(d, 0) })
	}

	time.Sleep(time.Until(began.Add(cancelDelay)))

	acknowledged := make([]time.Time, jobs)

	for n, j := range all {
		if len(d.runsOf(j.id)) == 0 {
			return notRun, "a job has not started before its cancelling"
		}

		status, _, err := j.cancel(d, isolated)
		if err != nil || status != http.StatusOK && status != http.StatusGone {
			return notRun, fmt.Sprintf("the cancelling of a job was not acknowledged: %d %v", status, err)
		}

		acknowledged[n] = time.Now()
	}

	d.record.printf("entry %d is ready: %t", isolated, d.isReady(isolated))
	posts.Wait()
	time.Sleep(time.Until(acknowledged[jobs-1].Add(cancelBound + 200*time.Millisecond)))

	for _, j := range all {
		posts.Go(func() { _, _, _ = j.post(d, 2) })
	}

	posts.Wait()

	return judgeCancelled(d, all, acknowledged)
}

// judgeCancelled counts the tasks of cancelled jobs that started later than cancelBound after the acknowledgement.
func judgeCancelled(d *deployment, all []*jobRequest, acknowledged []time.Time) (verdict, string) {
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

	return held, "no task of a cancelled job started late after the acknowledgement"
}
