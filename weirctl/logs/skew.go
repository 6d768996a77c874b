package logs

import (
	"cmp"
	"slices"
	"time"
)

// pairWindow bounds how far apart the two lines of the begin of a session may be and still be taken for a pair.
const maxPairGap = 30 * time.Second

// Skew is how far the clock of a process is ahead.
type ClockSkew struct {
	process string
	ahead   time.Duration
	// pairs is the number of sessions whose begin was compared.
	sessions int
}

// Process returns the process.
func (s ClockSkew) Process() string { return s.process }

// Ahead returns how far its clock is ahead, with the time of a message.
func (s ClockSkew) Ahead() time.Duration { return s.ahead }

// Pairs returns the number of sessions whose begin was compared.
func (s ClockSkew) Sessions() int { return s.sessions }

// skews compares clocks by the begin of sessions: a sidecar logs it when it has the entry's answer, which the entry sends
// when it logs it. The entry that took the request is the reference; with another process there is none.
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

// nearest returns the difference to the nearest of the times.
func nearestDifference(times []time.Time, target time.Time) (time.Duration, bool) {
	smallest := maxPairGap + 1

	for _, o := range times {
		if d := target.Sub(o); d.Abs() < smallest.Abs() {
			smallest = d
		}
	}

	return smallest, smallest <= maxPairGap
}
