package fleet

import "github.com/skylarkweir/skylarkweir/weir/connection/wire"

// Report is a sidecar's load report. It is immutable; the zero value reports an idle worker.
type Report struct {
	sequence        uint64
	held, queued    int
	failurePermille int
	suspect         bool
	leaving         bool
	probe           bool
	// full holds the kinds whose run queue takes no more tasks; it is nil if there are none.
	full map[string]bool
	// queuedByKind holds the queued slots of the kinds that queue something.
	queuedByKind map[string]int
}

func newReport(l *wire.Load) *Report {
	r := &Report{
		sequence: l.GetSequence(), held: int(l.GetHeldSlots()), queued: int(l.GetQueuedSlots()),
		failurePermille: int(l.GetFailurePermille()), suspect: l.GetSuspect(), leaving: l.GetLeaving(), probe: l.GetProbe(),
	}

	for _, k := range l.GetKinds() {
		if n := int(k.GetQueuedSlots()); n > 0 {
			if r.queuedByKind == nil {
				r.queuedByKind = map[string]int{}
			}

			r.queuedByKind[k.GetKind()] = n
		}

		if k.GetRoom() {
			continue
		}

		if r.full == nil {
			r.full = map[string]bool{}
		}

		r.full[k.GetKind()] = true
	}

	return r
}

// Sequence returns the number of the report; a higher one is fresher.
func (r *Report) Sequence() uint64 { return r.sequence }

// Busy returns the slots held and queued.
func (r *Report) Busy() int { return r.held + r.queued }

// Held returns the slots held by running tasks.
func (r *Report) Held() int { return r.held }

// Queued returns the queued slots of the kind.
func (r *Report) Queued(kind string) int { return r.queuedByKind[kind] }

// Suspect tells whether the backend server fails too often.
func (r *Report) Suspect() bool { return r.suspect }

// FailurePermille returns the share of failures among the latest results in 1/1000.
func (r *Report) FailurePermille() int { return r.failurePermille }

// Probe tells whether the sidecar accepts a single probe while suspect.
func (r *Report) Probe() bool { return r.probe }

// Leaving tells whether the sidecar is leaving.
func (r *Report) Leaving() bool { return r.leaving }

// Room tells whether the run queue of the kind takes more tasks.
func (r *Report) Room(kind string) bool { return !r.full[kind] }
