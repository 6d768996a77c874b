package repeatable

import (
	"time"

	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
	"github.com/skylarkweir/skylarkweir/weir/process/jobmemory"
	"github.com/skylarkweir/skylarkweir/weir/process/uptime"
	"github.com/skylarkweir/skylarkweir/weir/request/job"
)

// cancelFanOut is the number of sidecars to which an entry passes on a cancellation that another entry has received. That one
// has told all its sidecars, and they all their entries; few entries share no sidecar with it.
const cancelFanOut = 2

// cancellations are the cancelled jobs that an entry knows of. A copy of the submission of such a job may arrive seconds
// later, at any entry, and must not run. The zero value is ready to use.
type cancellations struct {
	known jobmemory.Cancelled
	// toAll and toSome are to be sent with the next tick: those that were received from callers to all sidecars, the others
	// to some.
	toAll, toSome []jobmemory.Cancellation
}

// LimitMemory limits what the entry remembers of jobs that have ended and of cancelled ones. It is called before the first
// job is submitted.
func (d *Dispatcher) LimitMemory(ended, cancelled jobmemory.Limit) {
	d.mu.Lock()
	defer d.mu.Unlock()

	d.ended.SetLimit(ended)
	d.cancelled.known.SetLimit(cancelled)
}

// Cancel ends a job by its id on behalf of its caller, here and at the other entries, and keeps copies of its submission from
// running. It reports whether the job was active at this entry.
func (d *Dispatcher) Cancel(id string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()

	now := uptime.Now()
	c := jobmemory.NewCancellation(id, 0)

	if d.cancelled.known.Record(c, now) {
		d.cancelled.toAll = append(d.cancelled.toAll, c)
	}

	a := d.activeJobsByID[id]
	if a == nil {
		return false
	}

	a.end(job.Cancelled{}, "cancelled")

	return true
}

// recordCancellations records cancellations that another entry has received.
func (d *Dispatcher) recordCancellations(m *wire.Cancellations, now time.Duration) {
	for _, c := range jobmemory.DecodeCancellations(m) {
		if !d.cancelled.known.Record(c, now) {
			continue
		}

		d.cancelled.toSome = append(d.cancelled.toSome, c)

		if a := d.activeJobsByID[c.ID()]; a != nil {
			a.end(job.Cancelled{}, "cancelled at another entry")
		}
	}
}

// sendCancellations passes on the cancellations since the last tick.
func (d *Dispatcher) sendCancellations() {
	toAll, toSome := jobmemory.CancellationFrames(d.cancelled.toAll), jobmemory.CancellationFrames(d.cancelled.toSome)
	d.cancelled.toAll, d.cancelled.toSome = nil, nil

	if len(toAll)+len(toSome) == 0 {
		return
	}

	n := 0

	// The order of a map's keys is random.
	for _, s := range d.sidecars {
		for _, f := range toAll {
			s.send(f)
		}

		if n < cancelFanOut {
			for _, f := range toSome {
				s.send(f)
			}
		}

		n++
	}
}

// sendKnownCancellations tells a sidecar that has attached of all cancelled jobs, as the session before may have lost some.
func (d *Dispatcher) sendKnownCancellations(s *sidecar) {
	d.mu.Lock()
	defer d.mu.Unlock()

	for _, f := range jobmemory.CancellationFrames(d.cancelled.known.All(uptime.Now())) {
		s.send(f)
	}
}

// CancelledJobs returns the number of cancelled jobs that the entry knows of.
func (d *Dispatcher) CancelledJobs() int {
	d.mu.Lock()
	defer d.mu.Unlock()

	return d.cancelled.known.Len()
}

// remembered returns the outcome for a copy of the submission of a job that has ended or was cancelled, if it is known.
func (d *Dispatcher) remembered(j job.Job, now time.Duration) (job.Outcome, bool) {
	o, ok := d.ended.Outcome(j.ID(), now)
	if !ok && d.cancelled.known.Contains(j.ID(), now) {
		o, ok = job.Cancelled{}, true
	}

	if ok {
		d.log.Info().Str("event", "job_known").Str("job", j.ID()).Str("kind", j.Policy().Kind()).Type("outcome", o).
			Msg("submission of a job that has ended or was cancelled is answered with its outcome, and runs nothing")
	}

	return o, ok
}
