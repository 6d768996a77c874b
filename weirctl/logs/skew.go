package logs

import (
	"cmp"
	"slices"
	"time"
)

// maxPairGap limits how far apart the logged times of a session's start at the entry and at the sidecar may be. Lines
// that are further apart are not taken for the start of the same session.
const maxPairGap = 30 * time.Second

// ClockSkew is how far the clock of a process is ahead of the reference clock.
type ClockSkew struct {
	process string
	ahead   time.Duration
	// sessions is the number of sessions whose start was compared.
	sessions int
}

// Process returns the name of the process whose clock was compared.
func (s ClockSkew) Process() string { return s.process }

// Ahead returns how far the clock is ahead. The figure includes the transmission time of one message.
func (s ClockSkew) Ahead() time.Duration { return s.ahead }

// Sessions returns the number of sessions whose start was compared.
func (s ClockSkew) Sessions() int { return s.sessions }

// clockSkews compares clocks by the start of sessions: the entry logs the start when it sends its answer to the
// sidecar, and the sidecar logs it when it receives the answer. The reference is the entry that received the request;
// if the reference is another process, no skew is returned.
func (x *Index) clockSkews(reference string) []ClockSkew {
	connectTimes := map[string][]time.Time{}

	for _, l := range x.lines {
		if l.event == "sidecar_connected" && l.process == reference {
			sidecar := cmp.Or(l.textField("sidecar"), l.textField("worker"))
			connectTimes[sidecar] = append(connectTimes[sidecar], l.time)
		}
	}

	differences := map[string][]time.Duration{}

	for _, l := range x.lines {
		if l.event != "entry_connected" || l.textField("entry") != reference {
			continue
		}

		if d, found := nearestDifference(connectTimes[l.process], l.time); found {
			differences[l.process] = append(differences[l.process], d)
		}
	}

	skews := make([]ClockSkew, 0, len(differences))

	for process, ds := range differences {
		slices.Sort(ds)
		skews = append(skews, ClockSkew{process, ds[len(ds)/2], len(ds)})
	}

	slices.SortFunc(skews, func(a, b ClockSkew) int { return cmp.Compare(a.process, b.process) })

	return skews
}

// nearestDifference returns the difference between target and the nearest of the times, if it is within maxPairGap.
func nearestDifference(times []time.Time, target time.Time) (time.Duration, bool) {
	smallest := maxPairGap + 1

	for _, o := range times {
		if d := target.Sub(o); d.Abs() < smallest.Abs() {
			smallest = d
		}
	}

	return smallest, smallest <= maxPairGap
}
