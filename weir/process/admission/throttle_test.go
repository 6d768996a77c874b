package admission_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/skylarkweir/skylarkweir/weir/process/admission"
)

// entryLoad is a load of one kind at an entry that can place a number of jobs each second.
type entryLoad struct {
	throttle admission.Throttle
	random   *rand.Rand
	now      time.Duration
}

// play offers jobs at an even rate for a time, of which the entry starts as many as it can place each second, and returns how
// many were refused at once and how many started.
func (l *entryLoad) play(duration time.Duration, jobsPerSecond, placedPerSecond float64) (refused, started int) {
	step := time.Duration(float64(time.Second) / jobsPerSecond)
	placeable := 0.0

	for end := l.now + duration; l.now < end; l.now += step {
		placeable = min(placeable+placedPerSecond*step.Seconds(), 2)

		if l.throttle.Refuses("kind", l.now, l.random) {
			refused++

			continue
		}

		if placeable < 1 {
			l.throttle.RecordFailure("kind", l.now)

			continue
		}

		placeable--
		started++

		l.throttle.RecordStart("kind", l.now)
	}

	return refused, started
}

// Guards against an entry that lets in several times the jobs that it can place, against one that refuses jobs while it starts most
// of them, and against one that goes on refusing when the load has ended. The load is that of an entry with little processor
// time while traffic doubles.
func TestThrottleRefusesWhatWaitsInVain(t *testing.T) {
	for seed := range uint64(20) {
		is := is.New(t)
		l := &entryLoad{random: rand.New(rand.NewPCG(seed, seed))}

		refused, _ := l.play(5*time.Second, 150, 160)
		is.Equal(refused, 0)

		refused, _ = l.play(5*time.Second, 150, 120) // a fifth waits in vain
		is.Equal(refused, 0)

		refused, started := l.play(4*time.Second, 300, 60)
		is.True(refused > 400)  // of 1200 jobs, 240 of which can be placed
		is.True(started >= 200) // what can be placed still is

		l.play(time.Second, 50, 60)

		refused, _ = l.play(5*time.Second, 50, 60)
		is.Equal(refused, 0)
	}
}

// Guards against decisions on a few jobs, against a kind that pays for another, and against memory that grows with the names of kinds.
func TestThrottleNeedsEvidenceOfTheKind(t *testing.T) {
	is := is.New(t)

	var h admission.Throttle

	random := rand.New(rand.NewPCG(1, 1))

	for range 39 {
		is.True(!h.Refuses("kind", time.Second, random))
		h.RecordFailure("kind", time.Second)
	}

	for range 1000 {
		h.RecordFailure("kind", time.Second)
	}

	is.True(!h.Refuses("other", time.Second, random))

	for n := range 10_000 {
		h.RecordFailure(fmt.Sprint(n), time.Second)
	}

	is.True(h.Kinds() <= 256)
	h.RecordFailure("new", time.Minute) // the others are old
	is.Equal(h.Kinds(), 1)
}
