package emulator

import "time"

// Capacity is what was free for a job when it was refused.
type Capacity uint8

// The forms of free capacity.
const (
	// NoCapacity means that not all tasks of the job would have fitted.
	NoCapacity Capacity = iota
	// UnknownCapacity means that all tasks would have fitted, but not by the reports that the entry had.
	UnknownCapacity
	// KnownCapacity means that all tasks would have fitted, also by the reports that the entry had.
	KnownCapacity
)

var capacityNames = [...]string{"none", "unknown to the entry", "known to the entry"}

// String returns the name of the form.
func (c Capacity) String() string { return capacityNames[c] }

// capacityFor returns what is free for all tasks of a job. The headroom counts as free, although long tasks may not use it.
func (sm *simulation) capacityFor(j *activeJob) Capacity {
	free := make([]int64, len(sm.servers))
	known := make([]int64, len(sm.servers))
	e := sm.entries[j.entry]

	for n, s := range sm.servers {
		if s.accepting {
			free[n] = s.pool.Free().Millicores()
		}

		if e.connected[n] && !e.reports[n].closed {
			known[n] = e.reports[n].freeCPU - e.requestedCPU[n]
		}
	}

	switch {
	case !j.fits(free):
		return NoCapacity
	case !j.fits(known):
		return UnknownCapacity
	default:
		return KnownCapacity
	}
}

// fits reports whether all tasks of the job fit into the given millicores, each as a whole.
func (j *activeJob) fits(free []int64) bool {
	tasks := int64(0)
	for _, cpu := range free {
		tasks += max(0, cpu) / j.job.Size().Millicores()
	}

	return tasks >= int64(len(j.runTimes))
}

// UsageSample is the part of the fleet's CPU that tasks used at a time since the start.
type UsageSample struct {
	at   time.Duration
	part float64
}

// At returns the time since the start.
func (u UsageSample) At() time.Duration { return u.at }

// Part returns the used part of the CPU, between 0 and 1.
func (u UsageSample) Part() float64 { return u.part }

func (sm *simulation) sampleUsage() {
	var used, capacity int64

	for _, s := range sm.servers {
		capacity += s.capacity.Millicores()

		for _, cpu := range s.runningCPU {
			used += cpu
		}
	}

	sm.usage = append(sm.usage, UsageSample{sm.now, float64(used) / float64(capacity)})
}
