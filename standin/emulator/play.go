package emulator

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/skylarkweir/skylarkweir/weir/process/admission"
	"github.com/skylarkweir/skylarkweir/weir/process/jobplacement"
	"github.com/skylarkweir/skylarkweir/weir/process/reservation"
	"github.com/skylarkweir/skylarkweir/weir/request/job"
)

// Rule is one of Product, Windowed, Unlimited and Unordered.
type Rule interface{ rule() }

// Product decides as the product does.
type Product struct{}

// Windowed expects room to become free as fast as tasks were launched in the second before, and ends every wait for a
// first place with the patience of the admission.
type Windowed struct{}

// Unlimited admits every job, which then waits until its caller leaves.
type Unlimited struct{}

// Unordered ignores priorities.
type Unordered struct{}

func (Product) rule()   {}
func (Windowed) rule()  {}
func (Unlimited) rule() {}
func (Unordered) rule() {}

const (
	// reportGap is how often sidecars report.
	reportGap = 50 * time.Millisecond
	// againAfter is how often a job asks at more places.
	againAfter = 25 * time.Millisecond
	// late is how many objectives after its arrival a job is worth nothing.
	late = 3
)

// world is a run in virtual time.
type world struct {
	load    Load
	rule    Rule
	random  *rand.Rand
	now     time.Duration
	events  events
	order   int
	servers []*server
	entries []*entry
	jobs    []*flight
}

type server struct {
	room     reservation.Pool
	slowness float64
	capacity job.Size
	// ready holds launched tasks that wait for their place; running counts thousandths of a core by priority.
	ready   []task
	running [reservation.PriorityCount]int64
	// launched is counted in the present window, rate is that of the last one.
	launched, rate [reservation.PriorityCount]int64
}

type task struct {
	flight *flight
	run    time.Duration
}

// report is what an entry knows of a backend server.
type report struct {
	free          int64
	queued        []int64
	running, rate [reservation.PriorityCount]int64
}

type entry struct {
	reports []report
	taken   []int64
	// turnover knows nothing where the rule is Windowed.
	turnover admission.ReleaseRateEstimator
}

type flight struct {
	arrival

	number uint64
	entry  int
	asked  map[int]bool
	// outstanding is the number of places that are asked for and not granted.
	outstanding int
	waiting     []time.Duration
	left        int
	started     bool
	refused     bool
	ended       time.Duration
}

// Play plays a load under a rule. The same seed draws the same jobs.
func Play(l Load, r Rule, seed uint64) Result {
	w := &world{load: l, rule: r, random: rand.New(rand.NewPCG(seed, 1))}

	for n := range l.servers {
		s := &server{slowness: 1, capacity: job.NewSize(int64(l.cores)*1000, 1<<20)}
		if n%3 == 2 {
			s.slowness = l.slow
		}

		s.room.SetCapacity(s.capacity, reservation.Headroom(s.capacity.Millicores()))
		w.servers = append(w.servers, s)
	}

	for range l.entries {
		w.entries = append(w.entries, &entry{reports: make([]report, l.servers), taken: make([]int64, l.servers)})
	}

	for _, a := range l.arrivals(rand.New(rand.NewPCG(seed, 2))) {
		w.at(a.at, func() { w.arrive(a) })
	}

	w.at(0, w.reportAll)

	for w.events.Len() > 0 && w.now < l.length+budget {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.do()
	}

	return w.result()
}

func (w *world) at(t time.Duration, do func()) {
	w.order++
	heap.Push(&w.events, event{t, w.order, do})
}

func (w *world) after(d time.Duration, do func()) { w.at(w.now+d, do) }

// reportAll lets every sidecar report to every entry.
func (w *world) reportAll() {
	for n, s := range w.servers {
		if w.now%time.Second < reportGap {
			s.rate, s.launched = s.launched, [reservation.PriorityCount]int64{}
		}

		r := report{s.room.Free().Millicores(), s.room.QueuedCPU(), s.running, s.rate}

		w.after(w.load.hop, func() {
			for _, e := range w.entries {
				e.reports[n], e.taken[n] = r, 0
			}
		})
	}

	if w.now < w.load.length {
		w.after(reportGap, w.reportAll)
	}
}

func (w *world) arrive(a arrival) {
	f := &flight{
		arrival: a, number: uint64(len(w.jobs)), entry: w.random.IntN(len(w.entries)), asked: map[int]bool{},
		waiting: a.runs, left: len(a.runs),
	}
	w.jobs = append(w.jobs, f)

	patience := budget

	switch v := admission.Decide(a.job, a.job.Estimate(), w.known(f), w.random).(type) {
	case admission.Refuse:
		if _, unlimited := w.rule.(Unlimited); !unlimited {
			f.refused = true

			return
		}
	case admission.Admit:
		if _, unlimited := w.rule.(Unlimited); !unlimited {
			patience = v.MaxWait()
		}
	}

	w.ask(f)
	w.after(patience, func() { w.giveUp(f) })
}

func (w *world) giveUp(f *flight) {
	if f.started || f.refused {
		return
	}

	if more := w.prolonged(f); more > 0 {
		w.after(more, func() { w.giveUp(f) })

		return
	}

	f.refused = true
	w.release(f)
}

// prolonged returns how much longer a job waits for its first place after its patience.
func (w *world) prolonged(f *flight) time.Duration {
	if _, windowed := w.rule.(Windowed); windowed {
		return 0
	}

	a, _ := admission.ExtendWait(f.job, f.job.Estimate(), w.now-f.at, w.known(f), w.random).(admission.Admit)

	return a.MaxWait()
}

func (w *world) priority(f *flight) int {
	if _, unordered := w.rule.(Unordered); unordered {
		return 0
	}

	return f.job.Policy().Priority()
}

// known sums up the reports at the job's entry.
func (w *world) known(f *flight) admission.Load {
	var (
		free, queued, capacity int64
		running, launched      admission.Usage
	)

	e, priority := w.entries[f.entry], w.priority(f)

	for n, r := range e.reports {
		cpu := w.servers[n].capacity.Millicores()
		free += max(0, r.free-e.taken[n])
		queued += r.before(priority) + max(0, e.taken[n]-r.free)
		capacity += cpu

		running.Add(r.running[:])
		launched.Add(r.rate[:])
	}

	rate := e.turnover.Rate(priority, capacity, running, launched)

	return admission.NewLoad(free, queued, capacity, running, priority, rate, w.servers[0].capacity, len(w.servers))
}

func (r report) before(priority int) int64 {
	var sum int64

	for p, q := range r.queued {
		if p <= priority {
			sum += q
		}
	}

	return sum
}

// ask reserves room for the tasks that have none.
func (w *world) ask(f *flight) {
	e := w.entries[f.entry]

	var known []jobplacement.Server

	for n, r := range e.reports {
		if !f.asked[n] {
			s := w.servers[n]
			known = append(known, jobplacement.NewServer(uint64(n), job.NewSize(max(0, r.free-e.taken[n]), 1<<20),
				r.before(w.priority(f)), s.capacity.Millicores(), s.slowness, nil))
		}
	}

	run := f.job.Estimate()
	plan := jobplacement.Choose(jobplacement.NewDemand(len(f.waiting), f.job.Size(), job.Constraints{}, run), known, w.random)
	share := plan.NeededShare(len(f.waiting), f.outstanding)

	for _, a := range plan.Requests() {
		n := int(a.ID())
		f.asked[n] = true
		f.outstanding += a.Tasks()
		e.taken[n] += int64(share * float64(f.job.Size().Millicores()*int64(a.Tasks())))

		w.after(w.load.hop, func() {
			w.servers[n].room.Add(reservation.NewRequest(reservation.NewKey(1, f.number), a.Tasks(), f.job.Size(),
				w.priority(f), f.at, f.at+budget, run, share))
			w.settle(n)
		})
	}

	w.after(againAfter, func() {
		if len(f.waiting) > 0 && !f.refused && w.now < f.at+budget {
			w.ask(f)
		}
	})
}

// settle grants room at a backend server and starts what was launched there.
func (w *world) settle(n int) {
	s := w.servers[n]

	for len(s.ready) > 0 && s.room.Begin(s.ready[0].flight.job.Size()) {
		w.begin(n, s.ready[0])
		s.ready = s.ready[1:]
	}

	for _, g := range s.room.Allocate(w.now) {
		f, free := w.jobs[g.Key().Job()], s.room.Free().Millicores()

		w.after(w.load.hop, func() {
			e := w.entries[f.entry]
			e.reports[n].free = free
			e.taken[n] = max(0, e.taken[n]-f.job.Size().Millicores()*int64(g.Tasks()))
			w.granted(f, n, g.Tasks())
		})
	}
}

// granted launches tasks of a job in reserved room.
func (w *world) granted(f *flight, n, places int) {
	f.outstanding = max(0, f.outstanding-places)

	if f.refused || len(f.waiting) == 0 {
		w.release(f)

		return
	}

	f.started = true
	places = min(places, len(f.waiting))
	runs := f.waiting[:places]
	f.waiting = f.waiting[places:]

	w.after(w.load.hop, func() {
		s := w.servers[n]
		_, k := s.room.Launch(reservation.NewKey(1, f.number), places)

		for _, run := range runs[:k] {
			s.ready = append(s.ready, task{f, run})
		}

		if k < len(runs) { // the reservation has expired
			f.waiting = append(f.waiting, runs[k:]...)
		}

		w.settle(n)
	})

	if len(f.waiting) == 0 {
		w.release(f)
	}
}

func (w *world) release(f *flight) {
	for n := range w.servers {
		if !f.asked[n] {
			continue
		}

		w.after(w.load.hop, func() {
			// The launch before it has been handled, since messages keep their order.
			w.servers[n].room.Release(reservation.NewKey(1, f.number))
			w.settle(n)
		})
	}
}

func (w *world) begin(n int, t task) {
	s, f := w.servers[n], t.flight
	level, cpu := reservation.ClampPriority(w.priority(f)), f.job.Size().Millicores()
	s.running[level] += cpu
	s.launched[level] += cpu

	run := time.Duration(float64(t.run) * s.slowness)

	w.after(run, func() {
		s.running[level] -= cpu
		s.room.End(f.job.Size())
		w.settle(n)

		free := s.room.Free().Millicores()
		w.after(w.load.hop, func() { w.learn(f, n, free, run) })

		f.left--
		if f.left == 0 {
			f.ended = w.now + w.load.hop
		}
	})
}

// learn takes the end of a task at its entry.
func (w *world) learn(f *flight, n int, free int64, run time.Duration) {
	e := w.entries[f.entry]
	e.reports[n].free = free

	if _, windowed := w.rule.(Windowed); !windowed {
		e.turnover.Observe(w.priority(f), run)
	}
}

type event struct {
	at    time.Duration
	order int
	do    func()
}

// events is a heap by time, then by the order in which they were added.
type events []event

func (e events) Len() int { return len(e) }

func (e events) Less(i, k int) bool {
	return e[i].at < e[k].at || (e[i].at == e[k].at && e[i].order < e[k].order)
}

func (e events) Swap(i, k int) { e[i], e[k] = e[k], e[i] }

// Push adds an event.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop takes the last event.
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]

	return last
}
