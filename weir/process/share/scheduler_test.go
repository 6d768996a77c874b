package share_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/skylarkweir/skylarkweir/weir/process/share"
)

// Guards against a kind that offers without end and keeps others from their shares, whether it is urgent or not, and
// against slots that stay idle while only that kind has tasks.
func TestFloodLeavesShares(t *testing.T) {
	const seed = 7

	t.Log("seed", seed)

	kinds := []share.Kind{
		share.NewKind("urgent", 30, true), share.NewKind("plain", 50, false), share.NewKind("low", 20, false),
	}

	for _, overloadingKind := range []string{"low", "urgent"} {
		is := is.New(t)
		r := rand.New(rand.NewPCG(seed, 1))

		var s simulation
		configure(&s.scheduler, 20, kinds, share.NewMember("m", 100, 20))

		workloads := []workload{{kind: overloadingKind, member: "m", cores: 1, run: 100 * time.Millisecond, to: time.Hour}}
		s.run(r, workloads, 0, 10*time.Second)
		is.True(s.slotTime[0] > 20*9*time.Second) // one kind alone may use all slots

		for _, k := range []string{"urgent", "plain", "low"} {
			if k != overloadingKind {
				workloads = append(workloads,
					workload{kind: k, member: "m", cores: 1, run: 700 * time.Millisecond, to: time.Hour})
			}
		}

		const period = 60 * time.Second
		s.run(r, workloads, 11*time.Second, 11*time.Second+period)

		shares := map[string]int{"urgent": 30, "plain": 50, "low": 20}
		for i, l := range workloads {
			want := 20 * period * time.Duration(shares[l.kind]) / 100
			got := float64(s.slotTime[i]) / float64(want)
			t.Logf("kind %s offers without end: %s uses %.3f of its share", overloadingKind, l.kind, got)

			if i > 0 {
				is.True(got >= 0.95)
			}
		}
	}
}

// Guards against a share that counts starts instead of held slots, which gives long or wide tasks more capacity.
func TestLongTasksGetNoMore(t *testing.T) {
	const seed = 8

	t.Log("seed", seed)
	is := is.New(t)

	var s simulation
	configure(&s.scheduler, 16, []share.Kind{share.NewKind("long", 50, false), share.NewKind("short", 50, false)},
		share.NewMember("a", 100, 16), share.NewMember("b", 300, 16))

	s.run(rand.New(rand.NewPCG(seed, 1)), []workload{
		{kind: "long", member: "a", cores: 2, run: time.Second, to: time.Hour},
		{kind: "short", member: "a", cores: 1, run: 50 * time.Millisecond, to: time.Hour},
	}, time.Second, 60*time.Second)

	ratio := float64(s.slotTime[0]) / float64(s.slotTime[1])
	t.Logf("long tasks use %.3f times the slot time of short ones", ratio)
	is.True(ratio > 0.8 && ratio < 1.25)
}

// Guards against members of one kind that get slots out of proportion to their limits.
func TestMembersByLimit(t *testing.T) {
	const seed = 9

	t.Log("seed", seed)
	is := is.New(t)

	var s simulation
	configure(&s.scheduler, 16, []share.Kind{share.NewKind("k", 100, false)},
		share.NewMember("small", 100, 16), share.NewMember("large", 300, 16))

	s.run(rand.New(rand.NewPCG(seed, 1)), []workload{
		{kind: "k", member: "small", cores: 1, run: 200 * time.Millisecond, to: time.Hour},
		{kind: "k", member: "large", cores: 1, run: 200 * time.Millisecond, to: time.Hour},
	}, time.Second, 60*time.Second)

	ratio := float64(s.slotTime[1]) / float64(s.slotTime[0])
	t.Logf("the member with three times the limit uses %.3f times the slots", ratio)
	is.True(ratio > 2 && ratio < 4)
}

// Guards against members that are served in the order of arrival, where the first member keeps more than its part.
func TestFewestHeldInProportionFirst(t *testing.T) {
	is := is.New(t)

	var s share.Scheduler[int]
	configure(&s, 4, []share.Kind{share.NewKind("k", 100, false)},
		share.NewMember("small", 10, 4), share.NewMember("large", 40, 4))

	var held []*share.Task[int]

	for i, m := range []string{"large", "large", "large", "small", "small", "large"} {
		result, _ := s.Offer(origin, share.NewTask(m, "k", 1, 0, i))
		is.Equal(result, share.Accepted)

		if x := s.Next(origin); x != nil {
			held = append(held, x)
		}
	}

	is.Equal(len(held), 4)
	s.Release(held[0])

	// The member large now holds 2 slots of its limit of 40 and small 1 of 10, so the task offered last is served first.
	is.Equal(s.Next(origin).Value(), 5)
}

// Guards against a member that holds more than its allowance, a withdrawn task that starts, slots that are assigned
// twice and queues beyond their bound, in random sequences of operations.
func TestSchedulerRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const slots, maxQueuedTasks = 8, 3

		var (
			s                   share.Scheduler[int]
			queued, held        []*share.Task[int]
			withdrawn           = map[*share.Task[int]]bool{}
			memberOf            = map[*share.Task[int]]string{}
			allowance           = map[string]int{}
			heldSlots           = map[string]int{}
			usedSlots, sequence int
		)

		kinds := []share.Kind{share.NewKind("a", 50, true), share.NewKind("b", 50, false)}
		capacity := share.NewCapacity(slots, 0, maxQueuedTasks, 0)

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
				usedSlots += x.Cores()
				heldSlots[m] += x.Cores()
				held, queued = append(held, x), remove(queued, x)

				if withdrawn[x] || usedSlots > slots || heldSlots[m] > allowance[m] {
					t.Fatalf("started a task with withdrawn %v, %d slots used, %s holds %d of %d",
						withdrawn[x], usedSlots, m, heldSlots[m], allowance[m])
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

				result, displaced := s.Offer(origin, x)
				if result == share.Accepted {
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
					t.Fatal("a queued task was not withdrawn, or was withdrawn twice")
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

				usedSlots -= x.Cores()
				heldSlots[memberOf[x]] -= x.Cores()
				held = remove(held, x)

				serve()
			},
			"": func(t *rapid.T) {
				l := s.Load()
				queuedSlots := 0

				for _, x := range queued {
					queuedSlots += x.Cores()
				}

				for _, m := range s.MemberLoads(origin) {
					queuedSlots -= m.QueuedSlots()

					if m.HeldSlots() != heldSlots[m.Name()] {
						t.Fatalf("%s holds %d slots, %d are reported", m.Name(), heldSlots[m.Name()], m.HeldSlots())
					}
				}

				if queuedSlots != 0 {
					t.Fatalf("members report %d queued slots too few", queuedSlots)
				}

				for _, x := range queued {
					queuedSlots += x.Cores()
				}

				if int(l.GetHeldSlots()) != usedSlots || int(l.GetQueuedSlots()) != queuedSlots ||
					len(queued) > 2*maxQueuedTasks {
					t.Fatalf("load %v, %d slots used, %d tasks of %d slots queued", l, usedSlots, len(queued), queuedSlots)
				}
			},
		})
	})
}

// Guards against a member that is at its allowance and fills a kind's queue, so that tasks of other members are refused
// although they could start.
func TestFullQueueLetsOthersStart(t *testing.T) {
	is := is.New(t)

	var s share.Scheduler[int]
	configure(&s, 16, []share.Kind{share.NewKind("k", 100, false)},
		share.NewMember("low", 1, 1), share.NewMember("high", 10, 10))

	offer := func(member string) share.OfferResult {
		result, displaced := s.Offer(origin, share.NewTask(member, "k", 1, 0, 0))
		is.Equal(displaced, nil)

		return result
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

// Guards against tasks that wait in a run queue for an increase of an allowance while other workers could run them.
func TestNoWaitForGrowingAllowance(t *testing.T) {
	is := is.New(t)

	const delay = 5 * time.Second

	var s share.Scheduler[int]

	set := func(now time.Time, allowance int) []*share.Task[int] {
		return s.Configure(now, share.NewCapacity(2, 0, 4, delay), []share.Kind{share.NewKind("k", 100, false)},
			[]share.Member{share.NewMember("m", 2, allowance)})
	}
	offer := func(now time.Time) share.OfferResult {
		result, _ := s.Offer(now, share.NewTask("m", "k", 1, 0, 0))
		return result
	}

	set(origin, 2) // a sidecar that has just started has no allowance yet
	is.Equal(offer(origin.Add(delay-1)), share.ExceedsAllowance)
	is.Equal(offer(origin.Add(delay)), share.Accepted)
	is.True(s.Next(origin.Add(delay)) != nil)
	is.Equal(offer(origin.Add(delay)), share.Accepted)
	is.Equal(len(set(origin.Add(delay), 0)), 1)
	set(origin.Add(delay), 1)
	is.Equal(offer(origin.Add(delay)), share.ExceedsAllowance)
}

// Guards against a growth delay for members without a limit, whose allowances can't add up to more than the fleet has.
func TestUnlimitedMemberNeedsNoDelay(t *testing.T) {
	is := is.New(t)

	var s share.Scheduler[int]

	capacity, kinds := share.NewCapacity(4, 0, 4, 5*time.Second), []share.Kind{share.NewKind("k", 100, false)}
	s.Configure(origin, capacity, kinds, []share.Member{share.NewMember("m", 8, 4).Unlimited()})

	result, _ := s.Offer(origin, share.NewTask("m", "k", 4, 0, 0))
	is.Equal(result, share.Accepted)
	s.Release(s.Next(origin))

	// Both a new limit and its removal apply at once.
	s.Configure(origin, capacity, kinds, []share.Member{share.NewMember("m", 2, 1)})

	result, _ = s.Offer(origin, share.NewTask("m", "k", 2, 0, 0))
	is.Equal(result, share.ExceedsAllowance)
	s.Configure(origin, capacity, kinds, []share.Member{share.NewMember("m", 8, 4).Unlimited()})

	result, _ = s.Offer(origin, share.NewTask("m", "k", 4, 0, 0))
	is.Equal(result, share.Accepted)
}

// Guards against a zero value that panics or starts tasks.
func TestZeroScheduler(t *testing.T) {
	is := is.New(t)

	var s share.Scheduler[int]

	x := share.NewTask("m", "k", 1, 0, 1)
	result, _ := s.Offer(origin, x)
	is.Equal(result, share.UnknownKind)
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
