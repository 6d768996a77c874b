package warmup_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/skylarkweir/skylarkweir/weir/process/warmup"
)

// replay offers a load to a cold server for a time and returns when the starts were sent. Each step offers up to burst
// tasks.
func replay(r *warmup.Ramp, random *rand.Rand, duration time.Duration, burst int) []time.Duration {
	var sent []time.Duration

	for now := time.Duration(0); now < duration; now += time.Duration(1+random.IntN(40)) * time.Millisecond {
		for range min(random.IntN(burst+1), r.Starts(now)) {
			r.RecordStart(now)
			sent = append(sent, now)
		}
	}

	return sent
}

// mostWithin returns the highest number of starts in any window.
func mostWithin(sent []time.Duration, window time.Duration) int {
	most := 0

	for i, at := range sent {
		j, _ := slices.BinarySearch(sent, at+window)
		most = max(most, j-i)
	}

	return most
}

// Guards against more starts at a cold server than its rate and the bounds allow, in a window of any length and under any
// load, and against a ramp that leaves the rate unused under a full queue.
func TestStartsAreBounded(t *testing.T) {
	for seed := range uint64(200) {
		is := is.New(t)
		random := rand.New(rand.NewPCG(seed, 1))
		rate, slack := 1+100*random.Float64(), float64(random.IntN(8))

		var r warmup.Ramp
		r.SetBounds(warmup.NewBounds(1.5, slack), 0)
		r.Configure(0, rate, 0)
		r.Announce(time.Minute, 0)

		sent := replay(&r, random, 20*time.Second, 1000)

		for _, window := range []time.Duration{time.Millisecond, 100 * time.Millisecond, time.Second, 5 * time.Second} {
			is.True(float64(mostWithin(sent, window)) <= rate*window.Seconds()+max(1, slack)+1e-6)
		}

		// A bucket of one start is full before the next step at high rates.
		if slack >= 5 {
			is.True(float64(len(sent)) > 0.8*20*rate)
		}
	}
}

// Guards against a cold server that gets its full share of a queue at once, and against one that is limited when no cold
// time is left.
func TestShareGrowsOverTheColdTime(t *testing.T) {
	is := is.New(t)

	var r warmup.Ramp

	is.Equal(r.Share(0), 1.0)
	r.Announce(10*time.Second, 0)
	is.Equal(r.Share(0), 0.1)

	last := 0.0

	for s := range 10 {
		now := time.Duration(s) * time.Second
		r.Announce(10*time.Second-now, now) // as each announcement tells
		is.True(r.Share(now) > last)
		last = r.Share(now)
	}

	is.True(last > 0.9)
	is.Equal(r.Share(10*time.Second), 1.0)
	is.True(!r.IsCold(10 * time.Second))

	// It turns cold again, as before it is given back.
	r.Announce(4*time.Second, time.Minute)
	is.Equal(r.Share(time.Minute), 0.1)
	r.Announce(0, time.Minute+time.Second)
	is.Equal(r.Share(time.Minute+time.Second), 1.0)

	// A process that sees the server first in the middle of its cold time knows the whole of it by the configuration.
	var late warmup.Ramp
	late.Configure(20*time.Second, 0, 0)
	late.Announce(10*time.Second, 0)
	is.Equal(late.Share(0), 0.55)
}

// Guards against a limit at a server that is not cold, whatever is stated of its service, and against starts from before it
// turned cold that count.
func TestWarmServerIsNotLimited(t *testing.T) {
	is := is.New(t)

	var r warmup.Ramp
	r.Configure(time.Minute, 0.1, 0)
	r.Announce(0, 0)

	for range 100 {
		r.RecordStart(time.Second)
	}

	is.True(!r.IsCold(time.Second) && !r.LimitsStarts(time.Second))
	is.Equal(r.Share(time.Second), 1.0)

	r.Announce(time.Second, time.Second)
	is.Equal(r.Starts(time.Second), 5)
	is.True(!r.LimitsStarts(2 * time.Second))
}

// Guards against a server that flaps between cold and warm and gets a full burst each time, and against repeated calls that
// keep a server idle for long.
func TestBurstIsNotRenewed(t *testing.T) {
	is := is.New(t)

	var r warmup.Ramp
	r.Configure(0, 10, 0)

	total := 0

	for ms := range 1000 {
		now := time.Duration(ms) * time.Millisecond
		r.Announce(time.Duration(ms%2)*time.Second, now)

		for r.LimitsStarts(now) && r.Starts(now) > 0 {
			r.RecordStart(now)

			total++
		}
	}

	is.True(total <= 15)

	r.Announce(time.Minute, time.Second)

	for range 1000 {
		r.RecordStart(time.Second)
	}

	is.Equal(r.Starts(time.Second), 0)
	is.Equal(r.Starts(time.Second+time.Second), 5)
}

// Guards against a second burst after a restart of the process that sends the starts.
func TestRestartBringsNoFurtherBurst(t *testing.T) {
	is := is.New(t)

	var r warmup.Ramp
	r.UseUp(time.Second)
	r.Announce(time.Minute, time.Second)
	r.Configure(0, 10, 2*time.Second) // as the settings arrive later
	is.Equal(r.Starts(2*time.Second), 0)
	is.Equal(r.Starts(2*time.Second+300*time.Millisecond), 3)
}
