package callerlimit

import (
	"slices"
	"time"
)

const (
	// progressBytes is how many bytes count as progress. A caller that sends or reads a byte at a time makes none.
	progressBytes = 1 << 10
	// minStall is how long a connection has made no progress before it may be closed for others.
	minStall = 100 * time.Millisecond
	// closeShare is the fraction of the connections that may be closed at once for others.
	closeShare = 8
)

// phase is what a connection is doing.
type phase int32

const (
	// idle waits for the first byte of a request.
	idle phase = iota
	// readingHeader waits for the rest of a header.
	readingHeader
	// readingBody waits for more of a body that the handler reads.
	readingBody
	// answering waits for the answer, not for the caller.
	answering
	// replying sends the answer although the caller has not sent all of its body.
	replying
)

// activity is what is known about a connection at one time. Times are since any fixed moment.
type activity struct {
	phase phase
	// since is when the phase began, progress when the last progress was made.
	since, progress time.Duration
	// writing is when the write began that has not ended, zero if there is none.
	writing time.Duration
	// waiting is true while the connection waits for memory.
	waiting bool
	// reserved is the memory that its body has.
	reserved int64
}

// stall returns for how long the connection has waited for its caller, zero if it does not.
func (a activity) stall(now time.Duration) time.Duration {
	switch {
	case a.waiting:
		return 0
	case a.writing > 0:
		return now - a.writing
	case a.phase == answering:
		return 0
	default:
		return now - a.progress
	}
}

// overdue reports whether a connection is to be closed although there is room. The HTTP server limits headers and idle times.
func (a activity) overdue(now time.Duration) bool {
	switch {
	case a.writing > 0:
		return now-a.writing > defaultStallTimeout
	case a.waiting:
		return false
	case a.phase == readingBody:
		return now-a.progress > defaultStallTimeout || now-a.since > defaultBodyTimeout
	case a.phase == replying:
		return now-a.since > defaultStallTimeout
	default:
		return false
	}
}

// stalled returns the indexes of the connections to close for one that waits, those first that have stalled for longest. It
// returns none that made progress lately, and none that waits for its answer. If forMemory is set, it returns connections
// whose bodies have memory.
//
// It handles crowds that connect, or send bodies, and then stall or send a byte at a time.
func stalled(all []activity, now time.Duration, forMemory bool) []int {
	var candidates []int

	for n, a := range all {
		if a.stall(now) >= minStall && (!forMemory || a.reserved > 0) {
			candidates = append(candidates, n)
		}
	}

	slices.SortFunc(candidates, func(x, y int) int { return int(all[y].stall(now) - all[x].stall(now)) })

	return candidates[:min(len(candidates), max(1, len(all)/closeShare))]
}
