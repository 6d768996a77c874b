package share_test

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/skylarkweir/skylarkweir/weir/process/share"
)

var origin = time.Unix(1_000_000, 0)

// workload offers tasks of one kind and member until the queue refuses them.
type workload struct {
	kind, member string
	cores        int
	run          time.Duration
	// from and to bound the time in which tasks are offered.
	from, to time.Duration
}

// simulation runs offered tasks on one worker in virtual time.
type simulation struct {
	scheduler share.Scheduler[int]
	now       time.Duration
	ends      taskEnds
	// slotTime holds, by the index of the workload, the used slots multiplied by time in the measured period.
	slotTime map[int]time.Duration
}

type taskEnd struct {
	endsAt    time.Duration
	task      *share.Task[int]
	startedAt time.Duration
}

type taskEnds []taskEnd

func (e taskEnds) Len() int { return len(e) }

func (e taskEnds) Less(i, j int) bool { return e[i].endsAt < e[j].endsAt }

func (e taskEnds) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e *taskEnds) Push(x any) { *e = append(*e, x.(taskEnd)) }

func (e *taskEnds) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]

	return x
}

// run offers tasks of the workloads until a virtual time and measures their slot time from measureFrom on.
func (s *simulation) run(r *rand.Rand, workloads []workload, measureFrom, until time.Duration) {
	s.slotTime = map[int]time.Duration{}

	for s.now < until {
		for i, l := range workloads {
			for s.now >= l.from && s.now < l.to {
				t := share.NewTask(l.member, l.kind, l.cores, 0, i)

				if result, _ := s.scheduler.Offer(origin.Add(s.now), t); result != share.Accepted {
					break
				}

				s.serve(r, workloads)
			}
		}

		if len(s.ends) == 0 {
			s.now += time.Millisecond
			continue
		}

		e, _ := heap.Pop(&s.ends).(taskEnd)
		s.now = e.endsAt
		s.scheduler.Release(e.task)

		if countedFrom := max(e.startedAt, measureFrom); e.endsAt > countedFrom {
			s.slotTime[e.task.Value()] += (e.endsAt - countedFrom) * time.Duration(e.task.Cores())
		}

		s.serve(r, workloads)
	}
}

func (s *simulation) serve(r *rand.Rand, workloads []workload) {
	for t := s.scheduler.Next(origin.Add(s.now)); t != nil; t = s.scheduler.Next(origin.Add(s.now)) {
		i := t.Value()
		run := workloads[i].run/2 + time.Duration(r.Int64N(int64(workloads[i].run)))
		heap.Push(&s.ends, taskEnd{s.now + run, t, s.now})
	}
}

func configure(s *share.Scheduler[int], slots int, kinds []share.Kind, members ...share.Member) {
	c := share.NewCapacity(slots, 0, 0, 0)
	s.Configure(origin, c, kinds, members)
}
