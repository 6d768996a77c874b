package lease_test

import (
	"time"
)

// maxLate is how late a call without an answer is carried out at most.
const maxLate = 3 * time.Second

// callFate is what becomes of one try of a call.
type callFate struct {
	// carriedOutAfter is the time until the server handles the try, negative if it never does.
	carriedOutAfter time.Duration
	// answerAfter is the time from then until the answer arrives, negative if it never does.
	answerAfter time.Duration
	// undelivered is true if nothing listened.
	undelivered bool
	// rejection is the answer of a server that did nothing, or accepted.
	rejection rejection
}

// rejection is why a server rejects a start.
type rejection uint8

const (
	accepted rejection = iota
	outdated
	full
	unhealthy
	fenced
	leaseExpired
	invalid

	rejectionCount = iota
)

// undelivered is the fate of a try when nothing listens.
var undelivered = callFate{carriedOutAfter: never, answerAfter: never, undelivered: true}

// never is the time of what does not happen.
const never = -time.Millisecond

// drawTime draws a time of whole milliseconds.
func drawTime(draw drawer, name string, low, high time.Duration) time.Duration {
	return time.Duration(draw(name, int(low/step), int(high/step))) * step
}

// drawFate draws what becomes of a try. Of ten tries, sound are answered as usual.
func drawFate(draw drawer, call string, sound int) callFate {
	fate := callFate{carriedOutAfter: latency, answerAfter: latency}

	if draw(call+" fails", 1, 10) <= sound {
		return fate
	}

	switch draw(call+" fate", 0, 4) {
	case 0:
		fate.carriedOutAfter = drawTime(draw, call+" slow by", latency, callTimeout-latency)
	case 1: // carried out, and the answer comes late or too late
		fate.answerAfter = drawTime(draw, call+" answered late by", latency, 2*callTimeout)
	case 2:
		fate.answerAfter = never
	case 3:
		fate.carriedOutAfter, fate.answerAfter = drawTime(draw, call+" late by", latency, maxLate), never
	default:
		fate.carriedOutAfter, fate.answerAfter = never, never
	}

	return fate
}

// drawStartFate draws what becomes of a try of a start, which may also be rejected or not delivered.
func drawStartFate(draw drawer) callFate {
	const usual, sound, refused = 7, 4, 10

	switch n := draw("start", 1, 10); {
	case n <= usual:
		return drawFate(draw, "start", sound)
	case n == refused:
		return undelivered
	default:
		return callFate{
			carriedOutAfter: latency, answerAfter: latency,
			rejection: rejection(draw("rejection", int(outdated), rejectionCount-1)),
		}
	}
}
