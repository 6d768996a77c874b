// Package warmup decides how fast work returns to a backend server that is cold, so slow for a time after its start.
//
// The load pattern that it handles is a server that appears idle beside a full queue: as the emptiest one, it would get a
// burst of tasks that it runs slowly, and wide jobs would wait for them. With a stated rate, starts are bounded by a
// token bucket. Without one, the usable share of the capacity grows with the cold time that has passed. The package does no
// input or output; the caller passes the time in, on any clock that doesn't go back.
package warmup

import "time"

const (
	// MaxColdTime limits a cold time. A longer one is an error of who states it.
	MaxColdTime = time.Hour
	// minShare is the usable share at the start of the cold time. A server warms up by its work.
	minShare = 0.1
	// defaultOver and defaultSlack are the bounds of a deployment that states none.
	defaultOver  = 1.5
	defaultSlack = 5
)

// Bounds are how far the starts at a cold server may exceed its stated rate: over the rate by a factor, and by a number of
// starts beyond that. The zero value is that of a deployment that states none.
type Bounds struct {
	over, slack float64
	stated      bool
}

// NewBounds returns bounds with a factor above 0 and a number of starts from 0. Another value is replaced by the default,
// 1.5 and 5.
func NewBounds(over, slack float64) Bounds {
	if !(over > 0) {
		over = defaultOver
	}

	if !(slack >= 0) {
		slack = defaultSlack
	}

	return Bounds{over, slack, true}
}

func (b Bounds) orDefault() Bounds {
	if !b.stated {
		return NewBounds(defaultOver, defaultSlack)
	}

	return b
}

// Ramp is the ramp of one server. The zero value is that of a server that is not cold. It is not safe for concurrent use.
type Ramp struct {
	bounds Bounds
	// coldTime is how long a server is cold after its start, and rate its starts per second meanwhile; zero if not stated.
	coldTime time.Duration
	rate     float64
	// coldUntil is when the cold time ends, by the newest announcement. span is the longest cold time announced since the
	// server turned cold.
	coldUntil, span time.Duration
	// used is the number of starts that the bucket lacks at usedAt; a start adds one, and the rate takes them away.
	used   float64
	usedAt time.Duration
}

// SetBounds sets the bounds from now on.
func (r *Ramp) SetBounds(b Bounds, now time.Duration) {
	r.settle(now)
	r.bounds = b
}

// Configure sets how long a server is cold after its start, and how many starts per second it takes meanwhile, from now on.
// Each is zero if it is not stated.
func (r *Ramp) Configure(coldTime time.Duration, rate float64, now time.Duration) {
	r.settle(now)
	r.coldTime, r.rate = coldTime, rate
}

// Announce records how much longer the server is cold, zero if it is not. It may turn cold again at any time.
func (r *Ramp) Announce(left, now time.Duration) {
	left = min(max(0, left), MaxColdTime)

	if !r.IsCold(now) {
		r.span = 0
	}

	r.span = max(r.span, left)
	r.coldUntil = now + left
}

// IsCold reports whether the server is cold.
func (r *Ramp) IsCold(now time.Duration) bool { return now < r.coldUntil }

// Left returns how much longer the server is cold, zero if it is not.
func (r *Ramp) Left(now time.Duration) time.Duration { return max(0, r.coldUntil-now) }

// LimitsStarts reports whether the server is cold and its starts are bounded, so that its share is not.
func (r *Ramp) LimitsStarts(now time.Duration) bool { return r.IsCold(now) && r.rate > 0 }

// Starts returns how many starts may be sent now while starts are bounded. In any time t, they are at most the rate times t,
// and the slack beyond. The factor of the bounds is left to repeated calls, and lowers the rate if it is below one.
func (r *Ramp) Starts(now time.Duration) int {
	r.settle(now)

	return int(max(0, r.burst()-r.used))
}

// RecordStart records a start that was sent, also one that is sent again. Starts beyond the bound delay later ones by at most
// the time of one full bucket, so that calls that a server does not answer don't keep it idle for long.
func (r *Ramp) RecordStart(now time.Duration) {
	if !r.LimitsStarts(now) {
		return
	}

	r.settle(now)
	r.used = min(r.used+1, 2*r.burst())
}

// UseUp records that an unknown number of starts may just have been sent, as by a process before this one.
func (r *Ramp) UseUp(now time.Duration) {
	r.settle(now)
	r.used = max(r.used, r.burst())
}

// Rate returns the stated starts per second, zero if there are none.
func (r *Ramp) Rate() float64 { return r.rate }

// burst returns how many starts may be sent at once. Without one there would never be any.
func (r *Ramp) burst() float64 { return max(1, r.bounds.orDefault().slack) }

// settle advances the bucket to now.
func (r *Ramp) settle(now time.Duration) {
	if elapsed := now - r.usedAt; elapsed > 0 {
		r.used = max(0, r.used-elapsed.Seconds()*r.rate*min(1, r.bounds.orDefault().over))
		r.usedAt = now
	}
}

// Share returns the usable share of the capacity, from minShare to 1. It grows evenly over the cold time after a start, or
// over the one that was announced if no other is stated. It is 1 while starts are bounded.
func (r *Ramp) Share(now time.Duration) float64 {
	if !r.IsCold(now) || r.rate > 0 {
		return 1
	}

	span := r.coldTime
	if span == 0 {
		span = r.span
	}

	passed := 1 - min(1, float64(r.Left(now))/float64(span))

	return minShare + (1-minShare)*passed
}
