package share_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/skylarkweir/skylarkweir/weir/process/share"
)

var origin = time.Unix(1_000_000, 0)

// load is a kind of work in a simulation that always offers more tasks.
type load struct {
	kind, member string
	cores        int
	run          time.Duration
	// from and to bound the time in which tasks are offered.
	from, to time.Duration
}

// simulation runs offered tasks on one worker by a virtual clock.
type simulation struct {
	scheduler share.Scheduler[int]
	now       time.Duration
	ends      ends
	// used is the slot time by load, in the period that is measured.
	used map[int]time.Duration
}

type ending struct {
	at      time.Duration
	task    *share.Task[int]
	started time.Duration
}

type ends []ending

func (e ends) Len() int           { return len(e) }
func (e ends) Less(i, j int) bool { return e[i].at < e[j].at }
func (e ends) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *ends) Push(x any)        { *e = append(*e, x.(ending)) }
func (e *ends) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]

	return x
}

// run offers tasks of the loads until the end and measures from a time on.
func (s *simulation) run(r *rand.Rand, loads []load, from, to time.Duration) {
	s.used = map[int]time.Duration{}

	for s.now < to {
		for i, l := range loads {
			for s.now >= l.from && s.now < l.to {
				t := share.NewTask(l.member, l.kind, l.cores, 0, i)

				if v, _ := s.scheduler.Offer(origin.Add(s.now), t); v != share.Accepted {
					break
				}

				s.serve(r, loads)
			}
		}

		if len(s.ends) == 0 {
			s.now += time.Millisecond
			continue
		}

		e, _ := heap.Pop(&s.ends).(ending)
		s.now = e.at
		s.scheduler.Release(e.task)

		if began := max(e.started, from); e.at > began {
			s.used[e.task.Value()] += (e.at - began) * time.Duration(e.task.Cores())
		}

		s.serve(r, loads)
	}
}

func (s *simulation) serve(r *rand.Rand, loads []load) {
	for t := s.scheduler.Next(origin.Add(s.now)); t != nil; t = s.scheduler.Next(origin.Add(s.now)) {
		i := t.Value()
		run := loads[i].run/2 + time.Duration(r.Int64N(int64(loads[i].run)))
		heap.Push(&s.ends, ending{s.now + run, t, s.now})
	}
}

func configure(s *share.Scheduler[int], slots int, kinds []share.Kind, members ...share.Member) {
	c := share.NewCapacity(slots, 0, 0, 0)
	s.Configure(origin, c, kinds, members)
}

// Guards against a flood that takes more than its share from others, for the least and the most urgent kind, and
// against capacity that stays idle when the others have nothing to do.
func TestFloodLeavesShares(t *testing.T) {
	const seed = 7

	t.Log("seed", seed)

	kinds := []share.Kind{share.NewKind("urgent", 30, true), share.NewKind("plain", 50, false), share.NewKind("low", 20, false)}

	for _, flood := range []string{"low", "urgent"} {
		is := is.New(t)
		r := rand.New(rand.NewPCG(seed, 1))

		var s simulation
		configure(&s.scheduler, 20, kinds, share.NewMember("m", 100, 20))

		loads := []load{{kind: flood, member: "m", cores: 1, run: 100 * time.Millisecond, to: time.Hour}}
		s.run(r, loads, 0, 10*time.Second)
		is.True(s.used[0] > 20*9*time.Second) // the flood is lent the idle slots

		for _, k := range []string{"urgent", "plain", "low"} {
			if k != flood {
				loads = append(loads, load{kind: k, member: "m", cores: 1, run: 700 * time.Millisecond, to: time.Hour})
			}
		}

		const period = 60 * time.Second
		s.run(r, loads, 11*time.Second, 11*time.Second+period)

		shares := map[string]int{"urgent": 30, "plain": 50, "low": 20}
		for i, l := range loads {
			want := 20 * period * time.Duration(shares[l.kind]) / 100
			got := float64(s.used[i]) / float64(want)
			t.Logf("flood of %s: %s uses %.3f of its share", flood, l.kind, got)

			if i > 0 {
				is.True(got >= 0.95)
			}
		}
	}
}

// Guards against counting starts in place of held slots, by which long or wide tasks would take more capacity.
func TestLongTasksGetNoMore(t *testing.T) {
	const seed = 8

	t.Log("seed", seed)
	is := is.New(t)

	var s simulation
	configure(&s.scheduler, 16, []share.Kind{share.NewKind("long", 50, false), share.NewKind("short", 50, false)},
		share.NewMember("a", 100, 16), share.NewMember("b", 300, 16))

	s.run(rand.New(rand.NewPCG(seed, 1)), []load{
		{kind: "long", member: "a", cores: 2, run: time.Second, to: time.Hour},
		{kind: "short", member: "a", cores: 1, run: 50 * time.Millisecond, to: time.Hour},
	}, time.Second, 60*time.Second)

	ratio := float64(s.used[0]) / float64(s.used[1])
	t.Logf("long tasks use %.3f of what short ones use", ratio)
	is.True(ratio > 0.8 && ratio < 1.25)
}

// Guards against members of one kind that are served out of proportion to their limits.
func TestMembersByLimit(t *testing.T) {
	const seed = 9

	t.Log("seed", seed)
	is := is.New(t)

	var s simulation
	configure(&s.scheduler, 16, []share.Kind{share.NewKind("k", 100, false)},
		share.NewMember("small", 100, 16), share.NewMember("large", 300, 16))

	s.run(rand.New(rand.NewPCG(seed, 1)), []load{
		{kind: "k", member: "small", cores: 1, run: 200 * time.Millisecond, to: time.Hour},
		{kind: "k", member: "large", cores: 1, run: 200 * time.Millisecond, to: time.Hour},
	}, time.Second, 60*time.Second)

	ratio := float64(s.used[1]) / float64(s.used[0])
	t.Logf("the member with three times the limit uses %.3f times the slots", ratio)
	is.True(ratio > 2 && ratio < 4)
}

// Guards against members that are served in the order of arrival, in which the one that asks first keeps its lead.
func TestFewestHeldInProportionFirst(t *testing.T) {
	is := is.New(t)

	var s share.Scheduler[int]
	configure(&s, 4, []share.Kind{share.NewKind("k", 100, false)}, share.NewMember("small", 10, 4), share.NewMember("large", 40, 4))

	var held []*share.Task[int]

	for i, m := range []string{"large", "large", "large", "small", "small", "large"} {
		v, _ := s.Offer(origin, share.NewTask(m, "k", 1, 0, i))
		is.Equal(v, share.Accepted)

		if x := s.Next(origin); x != nil {
			held = append(held, x)
		}
	}

	is.Equal(len(held), 4)
	s.Release(held[0])

	// Large holds 2 of 40 now and small 1 of 10, so the task that was offered last is first.
	is.Equal(s.Next(origin).Value(), 5)
}

// Guards against a member that holds more than its allowance, a withdrawn task that starts, slots that are given twice
// and queues beyond their bound, in any sequence of operations.
func TestSchedulerRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const slots, queue = 8, 3

		var (
			s              share.Scheduler[int]
			queued, held   []*share.Task[int]
			withdrawn      = map[*share.Task[int]]bool{}
			memberOf       = map[*share.Task[int]]string{}
			allowance      = map[string]int{}
			holds          = map[string]int{}
			used, sequence int
		)

		kinds := []share.Kind{share.NewKind("a", 50, true), share.NewKind("b", 50, false)}
		capacity := share.NewCapacity(slots, 0, queue, 0)

		remove := func(list []*share.Task[int], t *share.Task[int]) []*share.Task[int] {
			out := list[:0:0]
			for _, x := range list {
				if x != t {
					out = append(out, x)
				}
			}

			return out
		}

		serve := func() {
			for x := s.Next(origin); x != nil; x = s.Next(origin) {
				m := memberOf[x]
				used += x.Cores()
				holds[m] += x.Cores()
				held, queued = append(held, x), remove(queued, x)

				if withdrawn[x] || used > slots || holds[m] > allowance[m] {
					t.Fatalf("withdrawn %v, %d slots used, %s holds %d of %d", withdrawn[x], used, m, holds[m], allowance[m])
				}
			}
		}

		t.Repeat(map[string]func(*rapid.T){
			"configure": func(t *rapid.T) {
				var members []share.Member
				for _, m := range []string{"x", "y"} {
					allowance[m] = rapid.IntRange(0, slots).Draw(t, m)
					members = append(members, share.NewMember(m, 10, allowance[m]))
				}

				for _, x := range s.Configure(origin, capacity, kinds, members) {
					withdrawn[x] = true
					queued = remove(queued, x)
				}

				serve()
			},
			"offer": func(t *rapid.T) {
				m := rapid.SampledFrom([]string{"x", "y"}).Draw(t, "member")
				k := rapid.SampledFrom([]string{"a", "b", "none"}).Draw(t, "kind")
				sequence++
				x := share.NewTask(m, k, rapid.IntRange(1, slots+1).Draw(t, "cores"), 0, sequence)
				memberOf[x] = m

				v, displaced := s.Offer(origin, x)
				if v == share.Accepted {
					queued = append(queued, x)
				} else {
					withdrawn[x] = true
				}

				if displaced != nil {
					withdrawn[displaced] = true
					queued = remove(queued, displaced)
				}

				serve()
			},
			"withdraw": func(t *rapid.T) {
				if len(queued) == 0 {
					t.Skip()
				}

				x := rapid.SampledFrom(queued).Draw(t, "task")
				if !s.Withdraw(x) || s.Withdraw(x) {
					t.Fatal("a queued task is withdrawn exactly once")
				}

				withdrawn[x] = true
				queued = remove(queued, x)

				serve()
			},
			"release": func(t *rapid.T) {
				if len(held) == 0 {
					t.Skip()
				}

				x := rapid.SampledFrom(held).Draw(t, "task")
				s.Release(x)
				s.Release(x)

				used -= x.Cores()
				holds[memberOf[x]] -= x.Cores()
				held = remove(held, x)

				serve()
			},
			"": func(t *rapid.T) {
				l := s.Load()
				waiting := 0

				for _, x := range queued {
					waiting += x.Cores()
				}

				for _, m := range s.MemberLoads(origin) {
					waiting -= m.QueuedSlots()

					if m.HeldSlots() != holds[m.Name()] {
						t.Fatalf("%s holds %d slots, %d are reported", m.Name(), holds[m.Name()], m.HeldSlots())
					}
				}

				if waiting != 0 {
					t.Fatalf("members report %d queued slots too few", waiting)
				}

				for _, x := range queued {
					waiting += x.Cores()
				}

				if int(l.GetHeldSlots()) != used || int(l.GetQueuedSlots()) != waiting || len(queued) > 2*queue {
					t.Fatalf("load %v, %d slots used, %d tasks of %d slots queued", l, used, len(queued), waiting)
				}
			},
		})
	})
}

// Guards against a member at its allowance that shuts other members out of a kind's queue.
func TestFullQueueLetsOthersStart(t *testing.T) {
	is := is.New(t)

	var s share.Scheduler[int]
	configure(&s, 16, []share.Kind{share.NewKind("k", 100, false)}, share.NewMember("low", 1, 1), share.NewMember("high", 10, 10))

	offer := func(member string) share.OfferResult {
		v, displaced := s.Offer(origin, share.NewTask(member, "k", 1, 0, 0))
		is.Equal(displaced, nil)

		return v
	}

	is.Equal(offer("low"), share.Accepted)
	is.True(s.Next(origin) != nil)
	is.Equal(offer("low"), share.Accepted)
	is.Equal(offer("low"), share.Accepted)
	is.Equal(offer("low"), share.QueueFull) // half of the queue of 4
	is.Equal(offer("high"), share.Accepted)
	is.True(s.Next(origin) != nil)
	is.Equal(s.Next(origin), nil)
}

// Guards against tasks that wait in a run queue for an allowance to grow, while other workers could run them.
func TestNoWaitForGrowingAllowance(t *testing.T) {
	is := is.New(t)

	const delay = 5 * time.Second

	var s share.Scheduler[int]

	set := func(now time.Time, allowance int) []*share.Task[int] {
		return s.Configure(now, share.NewCapacity(2, 0, 4, delay), []share.Kind{share.NewKind("k", 100, false)},
			[]share.Member{share.NewMember("m", 2, allowance)})
	}
	offer := func(now time.Time) share.OfferResult {
		v, _ := s.Offer(now, share.NewTask("m", "k", 1, 0, 0))
		return v
	}

	set(origin, 2) // a sidecar that has just started
	is.Equal(offer(origin.Add(delay-1)), share.ExceedsAllowance)
	is.Equal(offer(origin.Add(delay)), share.Accepted)
	is.True(s.Next(origin.Add(delay)) != nil)
	is.Equal(offer(origin.Add(delay)), share.Accepted)
	is.Equal(len(set(origin.Add(delay), 0)), 1)
	set(origin.Add(delay), 1)
	is.Equal(offer(origin.Add(delay)), share.ExceedsAllowance)
}

// Guards against members without a limit that wait after each change, although no sum of allowances can exceed the fleet.
func TestUnlimitedMemberNeedsNoDelay(t *testing.T) {
	is := is.New(t)

	var s share.Scheduler[int]

	capacity, kinds := share.NewCapacity(4, 0, 4, 5*time.Second), []share.Kind{share.NewKind("k", 100, false)}
	s.Configure(origin, capacity, kinds, []share.Member{share.NewMember("m", 8, 4).Unlimited()})

	v, _ := s.Offer(origin, share.NewTask("m", "k", 4, 0, 0))
	is.Equal(v, share.Accepted)
	s.Release(s.Next(origin))

	// A limit applies at once, and its end too.
	s.Configure(origin, capacity, kinds, []share.Member{share.NewMember("m", 2, 1)})

	v, _ = s.Offer(origin, share.NewTask("m", "k", 2, 0, 0))
	is.Equal(v, share.ExceedsAllowance)
	s.Configure(origin, capacity, kinds, []share.Member{share.NewMember("m", 8, 4).Unlimited()})

	v, _ = s.Offer(origin, share.NewTask("m", "k", 4, 0, 0))
	is.Equal(v, share.Accepted)
}

// Guards against a zero value that panics or starts something.
func TestZeroScheduler(t *testing.T) {
	is := is.New(t)

	var s share.Scheduler[int]

	x := share.NewTask("m", "k", 1, 0, 1)
	v, _ := s.Offer(origin, x)
	is.Equal(v, share.UnknownKind)
	is.Equal(s.Next(origin), nil)
	is.Equal(s.Withdraw(x), false)
	s.Release(x)
	is.Equal(s.Load().GetHeldSlots(), uint32(0))
	is.Equal(len(s.Configure(origin, share.Capacity{}, nil, nil)), 0)
}

func BenchmarkScheduler(b *testing.B) {
	for _, n := range []int{4, 40} {
		b.Run(fmt.Sprintf("kinds=%d", n), func(b *testing.B) {
			var (
				s       share.Scheduler[int]
				kinds   []share.Kind
				members []share.Member
			)

			for i := range n {
				kinds = append(kinds, share.NewKind(fmt.Sprint("k", i), 100/n, i%4 == 0))
				members = append(members, share.NewMember(fmt.Sprint("m", i), 64, 64))
			}

			configure(&s, 64, kinds, members...)
			b.ReportAllocs()

			var held []*share.Task[int]

			for i := 0; b.Loop(); i++ {
				s.Offer(origin, share.NewTask(members[i%n].Name(), kinds[i%n].Name(), 1, 0, i))

				if len(held) >= 64 {
					s.Release(held[i%64])
					held[i%64] = s.Next(origin)
				} else if t := s.Next(origin); t != nil {
					held = append(held, t)
				}
			}

			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "starts/s")
		})
	}
}
