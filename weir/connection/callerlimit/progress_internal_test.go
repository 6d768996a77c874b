package callerlimit

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a crowd that keeps its connections by stalling, and against the closing of a caller that waits for its job, waits
// for memory or makes progress.
func TestStalledLoseToOthers(t *testing.T) {
	is := is.New(t)

	const at = 10 * time.Second

	all := []activity{
		{phase: answering, progress: time.Second},                               // its job runs
		{phase: readingBody, progress: at - minStall/2},                         // makes progress
		{phase: readingBody, progress: 9 * time.Second, reserved: 1},            // stalls
		{phase: readingHeader, progress: 4 * time.Second},                       // stalls for longer
		{phase: readingBody, progress: time.Second, reserved: 1, waiting: true}, // waits for memory
		{phase: answering, progress: time.Second, writing: 5 * time.Second},     // does not read its answer
		{phase: idle, progress: 8 * time.Second},
		{phase: replying, progress: 7 * time.Second},
	}

	is.Equal(stalled(all, at, false), []int{3}) // an eighth at once, the one that has stalled for longest
	is.Equal(stalled(all, at, true), []int{2})  // only bodies have memory

	for range 2 {
		all = append(all, all...)
	}

	is.Equal(len(stalled(all, at, false)), 4)
	is.Equal(len(stalled(all[:2], at, false)), 0) // nobody stalls
}

// Guards against limits of time that a caller inside the documented limits meets: 3 s for headers and 15 s idle, jobs that
// take 1.5 s and more.
func TestOverdue(t *testing.T) {
	is := is.New(t)

	const documented, long = 15 * time.Second, time.Hour

	for name, c := range map[string]struct {
		activity activity
		at       time.Duration
		overdue  bool
	}{
		"body pauses":         {activity{phase: readingBody}, documented, false},
		"body stalls":         {activity{phase: readingBody}, documented + time.Second, true},
		"body never ends":     {activity{phase: readingBody, progress: long}, long, true},
		"waits for its job":   {activity{phase: answering}, long, false},
		"waits for memory":    {activity{phase: readingBody, waiting: true}, long, false},
		"idle":                {activity{phase: idle}, long, false}, // the HTTP server limits it
		"reads no answer":     {activity{phase: answering, writing: time.Second}, documented + 2*time.Second, true},
		"sends after refusal": {activity{phase: replying}, documented + time.Second, true},
	} {
		if got := c.activity.overdue(c.at); got != c.overdue {
			t.Errorf("%s: overdue %t after %s", name, got, c.at)
		}
	}

	is.True(!activity{phase: readingHeader}.overdue(3 * time.Second))
}

// Guards against shares of the smallest machine that hold fewer than hundreds of callers, or leave too little for the process.
func TestSmallestMachine(t *testing.T) {
	is := is.New(t)

	l := ForMachine(144<<20, 3075, 0.5)
	is.Equal(l.Connections(), 576)
	is.Equal(l.Memory(), int64(18<<20))
	is.True(newPool(l.Memory()*3/4, l.Connections()).cost(l.BodyBytes(), l.multipleOrDefault()) == 1<<20)

	is.True(!ForMachine(0, 0, 0.5).Active()) // without limits of the machine nothing is limited
	is.Equal(ForMachine(0, 100, 0.5).Connections(), 50)
	is.Equal(NewLimits(4096, 0).WithDescriptors(1024).Connections(), 512) // the usual limit of a login
	is.Equal(NewLimits(4096, 0).WithDescriptors(0).Connections(), 4096)
}
