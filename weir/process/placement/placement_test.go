package placement_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
	"github.com/skylarkweir/skylarkweir/weir/process/fleet"
	"github.com/skylarkweir/skylarkweir/weir/process/placement"
)

var startTime = time.Unix(1000, 0)

// newFleet returns a fleet of n workers with 8 slots each, registered at the offsets 0 to n-1, in n/2 failure domains.
func newFleet(n int) (*fleet.Fleet, []*fleet.Worker) {
	f := &fleet.Fleet{}
	offsets := map[string]int64{}

	for i := range n {
		d := wire.Worker_builder{
			Name: fmt.Sprintf("w%d", i), Incarnation: 1, Slots: 8, MemoryMb: 64,
			FailureDomain: fmt.Sprint(i / 2), Services: []string{"grain"},
		}.Build()
		f.Connect(d, startTime)

		offsets[d.GetName()] = int64(i)
	}

	f.UpdateRegistrations(func(name string, _ uint64) (int64, bool) { return offsets[name], true })

	return f, f.View().Workers()
}

func reportLoad(f *fleet.Fleet, w *fleet.Worker, change func(l *wire.Load)) {
	l := wire.Load_builder{Sequence: w.Report().Sequence() + 1}.Build()
	change(l)
	f.Report(w, l, startTime)
}

func newRandom() *rand.Rand { return rand.New(rand.NewPCG(20261204, 1)) }

var policies = []placement.Policy{placement.Random{}, placement.TwoChoices{}, placement.JoinIdleQueue{}}

// Guards against a policy that chooses an ineligible worker, whatever the random order in which workers are examined.
func TestOnlyEligibleWorkersAreChosen(t *testing.T) {
	task := placement.NewTask(kindName, "grain", 2, 32, 50)

	for name, change := range map[string]func(f *fleet.Fleet, w *fleet.Worker, t *placement.Task){
		"silent": func(f *fleet.Fleet, w *fleet.Worker, _ *placement.Task) {
			f.RecordContact(w, startTime.Add(-2*time.Second))
		},
		"leaving": func(f *fleet.Fleet, w *fleet.Worker, _ *placement.Task) { f.MarkLeaving(w) },
		"leaving by its report": func(f *fleet.Fleet, w *fleet.Worker, _ *placement.Task) {
			reportLoad(f, w, func(l *wire.Load) { l.SetLeaving(true) })
		},
		"suspect": func(f *fleet.Fleet, w *fleet.Worker, _ *placement.Task) {
			reportLoad(f, w, func(l *wire.Load) { l.SetSuspect(true) })
		},
		"refused": func(_ *fleet.Fleet, w *fleet.Worker, _ *placement.Task) { w.RecordRejection(kindName) },
		"without allowance": func(_ *fleet.Fleet, w *fleet.Worker, t *placement.Task) {
			*t = t.WithAllowance(func(name string) bool { return name != w.Name() })
		},
		"avoided": func(_ *fleet.Fleet, w *fleet.Worker, t *placement.Task) { *t = t.Avoiding(w) },
		"full": func(f *fleet.Fleet, w *fleet.Worker, _ *placement.Task) {
			reportLoad(f, w, func(l *wire.Load) {
				k := wire.KindLoad_builder{Kind: kindName, QueuedSlots: 4}.Build()
				l.SetHeldSlots(8)
				l.SetKinds([]*wire.KindLoad{k})
			})
		},
		"registered after the ticket": func(_ *fleet.Fleet, w *fleet.Worker, t *placement.Task) {
			*t = placement.NewTask(kindName, "grain", 2, 32, 3)
			_ = w // w3 is registered at the offset 3, which is not below the position 3
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f, all := newFleet(4)
			x := task
			change(f, all[3], &x)

			for _, p := range policies {
				r := newRandom()
				for range 100 {
					c := placement.Choose(p, x, all, startTime, r)
					is.True(c.Worker() != nil)
					is.True(c.Worker() != all[3])
				}
			}
		})
	}

	is := is.New(t)
	_, all := newFleet(4)

	for _, x := range []placement.Task{
		placement.NewTask(kindName, "mix", 2, 32, 50),
		placement.NewTask(kindName, "grain", 9, 32, 50),
		placement.NewTask(kindName, "grain", 2, 65, 50),
	} {
		c := placement.Choose(nil, x, all, startTime, newRandom())
		is.True(c.Worker() == nil)
		is.Equal(c.Reason(), placement.ReasonNoCandidate)
	}
}

// Guards against a choice that ignores the load, that puts a task into a run queue while another worker has free slots,
// and that ignores the spread of a job when loads are equal.
func TestTwoChoices(t *testing.T) {
	is := is.New(t)
	task := placement.NewTask(kindName, "grain", 1, 1, 50)

	f, all := newFleet(2)
	reportLoad(f, all[0], func(l *wire.Load) { l.SetHeldSlots(3) })
	is.Equal(placement.Choose(nil, task, all, startTime, newRandom()).Worker(), all[1])

	for range 4 {
		all[1].RecordStart(1)
	}

	// Tasks that were started since the last report count as load.
	is.Equal(placement.Choose(nil, task, all, startTime, newRandom()).Worker(), all[0])

	f, all = newFleet(12)
	for _, w := range all[:11] {
		reportLoad(f, w, func(l *wire.Load) { l.SetHeldSlots(8) })
	}

	r := newRandom()
	for range 50 {
		is.Equal(placement.Choose(nil, task, all, startTime, r).Worker(), all[11])
	}

	reportLoad(f, all[11], func(l *wire.Load) { l.SetHeldSlots(8) })
	is.Equal(placement.Choose(nil, task, all, startTime, r).Reason(), placement.ReasonRunQueue)

	for _, w := range all {
		w.RecordRejection("")
	}

	is.Equal(placement.Choose(nil, task, all, startTime, r).Reason(), placement.ReasonAllFull)

	// With equal loads, the failure domain without a task of the job is chosen if both domains are compared.
	_, all = newFleet(4)

	var s placement.Spread

	s.Add(all[0])

	for range 50 {
		c := placement.Choose(nil, task.WithSpread(&s), all, startTime, r)
		if c.ComparedWith() != nil && c.ComparedWith().FailureDomain() != c.Worker().FailureDomain() {
			is.Equal(c.Worker().FailureDomain(), "1")
		}
	}
}

// Guards against a fault common to all workers that ejects the whole fleet, and against an ejection of workers with
// fewer failures than others.
func TestEjectionIsBounded(t *testing.T) {
	is := is.New(t)
	f, all := newFleet(6)

	for i, w := range all {
		reportLoad(f, w, func(l *wire.Load) {
			l.SetSuspect(true)
			l.SetFailurePermille(uint32(600 + 10*i))
		})
	}

	is.Equal(f.Ejected(), 2)

	for i, w := range all {
		is.Equal(w.Ejected(), i >= 4)
	}

	reportLoad(f, all[5], func(*wire.Load) {})
	is.True(!all[5].Ejected())
	is.True(all[3].Ejected())
}

// Guards against concurrent probes of one worker, probes without back-off, and probes by tasks that are
// not repeatable while a repeatable one may still come.
func TestProbes(t *testing.T) {
	is := is.New(t)
	f, all := newFleet(3)
	w := all[0]
	reportLoad(f, w, func(l *wire.Load) {
		l.SetSuspect(true)
		l.SetProbe(true)
	})

	task := placement.NewTask(kindName, "grain", 1, 1, 50)
	due := func(after time.Duration, repeatable bool) bool {
		f.RecordContact(w, startTime.Add(after))
		_, due := placement.Probe(task, repeatable, all, startTime.Add(after))

		return due
	}

	is.True(!due(500*time.Millisecond, true))
	is.True(due(time.Second, true))
	is.True(!due(2*time.Second, false)) // waits for a repeatable request
	is.True(due(3*time.Second, false))

	w.RecordProbeStart()
	is.True(!due(time.Minute, true)) // one at a time

	probeTime := time.Duration(0)
	for _, delay := range []time.Duration{1, 2, 4, 8, 16, 30, 30} {
		w.RecordProbeEnd(startTime.Add(probeTime), false)
		is.True(!due(probeTime+delay*time.Second-1, true))

		probeTime += delay * time.Second
		is.True(due(probeTime, true))
		w.RecordProbeStart()
	}

	w.RecordProbeEnd(startTime.Add(probeTime), true)
	is.True(due(probeTime, true))
}
