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

var start = time.Unix(1000, 0)

// small returns a fleet of n workers of 8 slots, registered at the offsets 0 to n-1, in n/2 domains.
func small(n int) (*fleet.Fleet, []*fleet.Worker) {
	f := &fleet.Fleet{}
	offsets := map[string]int64{}

	for i := range n {
		d := wire.Worker_builder{
			Name: fmt.Sprintf("w%d", i), Incarnation: 1, Slots: 8, MemoryMb: 64,
			FailureDomain: fmt.Sprint(i / 2), Services: []string{"grain"},
		}.Build()
		f.Connect(d, start)

		offsets[d.GetName()] = int64(i)
	}

	f.UpdateRegistrations(func(name string, _ uint64) (int64, bool) { return offsets[name], true })

	return f, f.View().Workers()
}

func report(f *fleet.Fleet, w *fleet.Worker, change func(l *wire.Load)) {
	l := wire.Load_builder{Sequence: w.Report().Sequence() + 1}.Build()
	change(l)
	f.Report(w, l, start)
}

func random() *rand.Rand { return rand.New(rand.NewPCG(20261204, 1)) }

var policies = []placement.Policy{placement.Random{}, placement.TwoChoices{}, placement.JoinIdleQueue{}}

// Guards against a policy that hands work to a worker that must not get it, in whichever order it looks at them.
func TestOnlyEligibleWorkersAreChosen(t *testing.T) {
	task := placement.NewTask(kind, "grain", 2, 32, 50)

	for name, change := range map[string]func(f *fleet.Fleet, w *fleet.Worker, t *placement.Task){
		"silent": func(f *fleet.Fleet, w *fleet.Worker, _ *placement.Task) {
			f.RecordContact(w, start.Add(-2*time.Second))
		},
		"leaving": func(f *fleet.Fleet, w *fleet.Worker, _ *placement.Task) { f.MarkLeaving(w) },
		"leaving by its report": func(f *fleet.Fleet, w *fleet.Worker, _ *placement.Task) {
			report(f, w, func(l *wire.Load) { l.SetLeaving(true) })
		},
		"suspect": func(f *fleet.Fleet, w *fleet.Worker, _ *placement.Task) {
			report(f, w, func(l *wire.Load) { l.SetSuspect(true) })
		},
		"refused": func(_ *fleet.Fleet, w *fleet.Worker, _ *placement.Task) { w.RecordRejection(kind) },
		"without allowance": func(_ *fleet.Fleet, w *fleet.Worker, t *placement.Task) {
			*t = t.WithAllowance(func(name string) bool { return name != w.Name() })
		},
		"avoided": func(_ *fleet.Fleet, w *fleet.Worker, t *placement.Task) { *t = t.Avoiding(w) },
		"full": func(f *fleet.Fleet, w *fleet.Worker, _ *placement.Task) {
			report(f, w, func(l *wire.Load) {
				k := wire.KindLoad_builder{Kind: kind, QueuedSlots: 4}.Build()
				l.SetHeldSlots(8)
				l.SetKinds([]*wire.KindLoad{k})
			})
		},
		"registered after the ticket": func(_ *fleet.Fleet, w *fleet.Worker, t *placement.Task) {
			*t = placement.NewTask(kind, "grain", 2, 32, 3)
			_ = w // w3 has the offset 3, which a position of 3 has not applied
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f, all := small(4)
			x := task
			change(f, all[3], &x)

			for _, p := range policies {
				r := random()
				for range 100 {
					c := placement.Choose(p, x, all, start, r)
					is.True(c.Worker() != nil)
					is.True(c.Worker() != all[3])
				}
			}
		})
	}

	is := is.New(t)
	_, all := small(4)

	for _, x := range []placement.Task{
		placement.NewTask(kind, "mix", 2, 32, 50), placement.NewTask(kind, "grain", 9, 32, 50), placement.NewTask(kind, "grain", 2, 65, 50),
	} {
		c := placement.Choose(nil, x, all, start, random())
		is.True(c.Worker() == nil)
		is.Equal(c.Reason(), placement.ReasonNoCandidate)
	}
}

// Guards against two choices that ignore the load, that queue a task while a worker is idle, and that ignore ties.
func TestTwoChoices(t *testing.T) {
	is := is.New(t)
	task := placement.NewTask(kind, "grain", 1, 1, 50)

	f, all := small(2)
	report(f, all[0], func(l *wire.Load) { l.SetHeldSlots(3) })
	is.Equal(placement.Choose(nil, task, all, start, random()).Worker(), all[1])

	for range 4 {
		all[1].RecordStart(1)
	}

	is.Equal(placement.Choose(nil, task, all, start, random()).Worker(), all[0]) // own starts count

	f, all = small(12)
	for _, w := range all[:11] {
		report(f, w, func(l *wire.Load) { l.SetHeldSlots(8) })
	}

	r := random()
	for range 50 {
		is.Equal(placement.Choose(nil, task, all, start, r).Worker(), all[11])
	}

	report(f, all[11], func(l *wire.Load) { l.SetHeldSlots(8) })
	is.Equal(placement.Choose(nil, task, all, start, r).Reason(), placement.ReasonRunQueue)

	for _, w := range all {
		w.RecordRejection("")
	}

	is.Equal(placement.Choose(nil, task, all, start, r).Reason(), placement.ReasonAllFull)

	// All loads are equal: the tasks of a job alternate between failure domains when both are drawn.
	_, all = small(4)

	var s placement.Spread

	s.Add(all[0])

	for range 50 {
		c := placement.Choose(nil, task.WithSpread(&s), all, start, r)
		if c.ComparedWith() != nil && c.ComparedWith().FailureDomain() != c.Worker().FailureDomain() {
			is.Equal(c.Worker().FailureDomain(), "1")
		}
	}
}

// Guards against a fault common to all workers that ejects the whole fleet, and against ejecting the better ones.
func TestEjectionIsBounded(t *testing.T) {
	is := is.New(t)
	f, all := small(6)

	for i, w := range all {
		report(f, w, func(l *wire.Load) {
			l.SetSuspect(true)
			l.SetFailurePermille(uint32(600 + 10*i))
		})
	}

	is.Equal(f.Ejected(), 2)

	for i, w := range all {
		is.Equal(w.Ejected(), i >= 4)
	}

	report(f, all[5], func(*wire.Load) {})
	is.True(!all[5].Ejected())
	is.True(all[3].Ejected())
}

// Guards against probes in bursts, probes without back-off, and tasks that fail for a probe without need.
func TestProbes(t *testing.T) {
	is := is.New(t)
	f, all := small(3)
	w := all[0]
	report(f, w, func(l *wire.Load) {
		l.SetSuspect(true)
		l.SetProbe(true)
	})

	task := placement.NewTask(kind, "grain", 1, 1, 50)
	due := func(after time.Duration, repeatable bool) bool {
		f.RecordContact(w, start.Add(after))
		_, due := placement.Probe(task, repeatable, all, start.Add(after))

		return due
	}

	is.True(!due(500*time.Millisecond, true))
	is.True(due(time.Second, true))
	is.True(!due(2*time.Second, false)) // waits for a repeatable request
	is.True(due(3*time.Second, false))

	w.RecordProbeStart()
	is.True(!due(time.Minute, true)) // one at a time

	at := time.Duration(0)
	for _, delay := range []time.Duration{1, 2, 4, 8, 16, 30, 30} {
		w.RecordProbeEnd(start.Add(at), false)
		is.True(!due(at+delay*time.Second-1, true))

		at += delay * time.Second
		is.True(due(at, true))
		w.RecordProbeStart()
	}

	w.RecordProbeEnd(start.Add(at), true)
	is.True(due(at, true))
}
