package placement_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
	"github.com/skylarkweir/skylarkweir/weir/process/fleet"
	"github.com/skylarkweir/skylarkweir/weir/process/placement"
)

// The sizes and latencies of the reference load.
const (
	entryCount        = 12
	workerCount       = 12
	slotsPerWorker    = 64
	maxQueuedTasks    = slotsPerWorker / 4
	oneWayDelay       = 1500 * time.Microsecond
	heartbeatInterval = time.Second
	kindName          = "scan"
	ticketPosition    = 100
	// warmUp is the time after which the first of the longest tasks have ended.
	warmUp = 5 * time.Second
)

// event is an action at a point of virtual time.
type event struct {
	dueAt  time.Duration
	action func()
}

type eventQueue []event

func (m eventQueue) Len() int           { return len(m) }
func (m eventQueue) Less(i, j int) bool { return m[i].dueAt < m[j].dueAt }
func (m eventQueue) Swap(i, j int)      { m[i], m[j] = m[j], m[i] }
func (m *eventQueue) Push(x any)        { *m = append(*m, x.(event)) }
func (m *eventQueue) Pop() any {
	last := (*m)[len(*m)-1]
	*m = (*m)[:len(*m)-1]

	return last
}

// simulation runs one policy in virtual time.
type simulation struct {
	policy   placement.Policy
	random   *rand.Rand
	now      time.Duration
	events   eventQueue
	entries  []*fakeEntry
	workers  []*fakeWorker
	ratios   []float64
	rejected int
	// heldSlotsSum is the sum of held slots over all samples, which are taken after the warm-up while submissions arrive.
	heldSlotsSum, samples int
	arriving              bool
}

type fakeEntry struct {
	simulation *simulation
	fleet      fleet.Fleet
	waiting    []*job
}

// job is a submission of one task.
type job struct {
	entry         *fakeEntry
	arrivedAt     time.Duration
	runTime       time.Duration
	workerIndex   int
	reportAtStart *fleet.Report
}

type fakeWorker struct {
	simulation *simulation
	name       string
	sequence   uint64
	heldSlots  int
	queue      []*job
}

func (t *simulation) schedule(after time.Duration, action func()) {
	heap.Push(&t.events, event{t.now + after, action})
}

func (t *simulation) clock() time.Time { return time.Unix(1000, 0).Add(t.now) }

// runTime draws from a distribution with a mean of about 0.36 s: most tasks take 50 ms to 1 s, one in fifty 2 to 5 s.
func (t *simulation) runTime() time.Duration {
	if t.random.IntN(50) == 0 {
		return 2*time.Second + time.Duration(t.random.Int64N(int64(3*time.Second)))
	}

	return min(50*time.Millisecond+time.Duration(t.random.ExpFloat64()*float64(250*time.Millisecond)), time.Second)
}

func newSimulation(p placement.Policy, seed uint64) *simulation {
	t := &simulation{policy: p, random: rand.New(rand.NewPCG(seed, 1))}

	for i := range workerCount {
		t.workers = append(t.workers, &fakeWorker{simulation: t, name: fmt.Sprintf("w%02d", i)})
	}

	for range entryCount {
		e := &fakeEntry{simulation: t}
		t.entries = append(t.entries, e)

		for i, w := range t.workers {
			d := wire.Worker_builder{
				Name: w.name, Incarnation: 1, Slots: slotsPerWorker, FailureDomain: fmt.Sprint(i % 3),
			}.Build()
			e.fleet.Connect(d, t.clock())
			t.schedule(time.Duration(t.random.Int64N(int64(heartbeatInterval))), func() { e.sendHeartbeat(w) })
		}

		e.fleet.UpdateRegistrations(func(string, uint64) (int64, bool) { return 1, true })
	}

	return t
}

func (t *simulation) run(tasks int, load float64) {
	const meanRunSeconds = 0.36

	meanGap := meanRunSeconds / (load * workerCount * slotsPerWorker) * float64(time.Second)
	remaining := tasks

	var arrive func()

	arrive = func() {
		remaining--
		t.arriving = remaining > 0

		e := t.entries[t.random.IntN(entryCount)]
		e.waiting = append(e.waiting, &job{entry: e, arrivedAt: t.now, runTime: t.runTime()})
		e.dispatch()

		if remaining > 0 {
			t.schedule(time.Duration(t.random.ExpFloat64()*meanGap), arrive)
		}
	}
	t.schedule(0, arrive)

	for len(t.ratios) < tasks {
		m := heap.Pop(&t.events).(event)
		t.now = m.dueAt
		m.action()
	}
}

func (e *fakeEntry) sendHeartbeat(w *fakeWorker) {
	l := w.load()

	if t := e.simulation; t.arriving && t.now > warmUp {
		t.heldSlotsSum += w.heldSlots
		t.samples++
	}

	e.simulation.schedule(oneWayDelay, func() { e.handleHeartbeat(w, l) })
	e.simulation.schedule(heartbeatInterval, func() { e.sendHeartbeat(w) })
}

func (e *fakeEntry) handleHeartbeat(w *fakeWorker, l *wire.Load) {
	f, _ := e.fleet.View().Find(w.name)
	e.fleet.Report(f, l, e.simulation.clock())
	e.dispatch()
}

func (e *fakeEntry) dispatch() {
	t := e.simulation
	task := placement.NewTask(kindName, "service", 1, 0, ticketPosition)

	for len(e.waiting) > 0 {
		c := placement.Choose(t.policy, task, e.fleet.View().Workers(), t.clock(), t.random)
		if c.Worker() == nil {
			return
		}

		j := e.waiting[0]
		e.waiting = e.waiting[1:]
		j.reportAtStart = c.Worker().RecordStart(1)
		j.workerIndex = slices.Index(e.fleet.View().Workers(), c.Worker())
		t.schedule(oneWayDelay, func() { t.workers[j.workerIndex].handleStart(j) })
	}
}

// handleReply processes the reply to a start.
func (e *fakeEntry) handleReply(j *job, l *wire.Load, rejected bool) {
	t := e.simulation
	f := e.fleet.View().Workers()[j.workerIndex]
	f.RecordEnd(1, j.reportAtStart)
	e.fleet.Report(f, l, t.clock())

	if rejected {
		t.rejected++
		f.RecordRejection(kindName)
		e.waiting = append([]*job{j}, e.waiting...)
	} else {
		t.ratios = append(t.ratios, float64(t.now-j.arrivedAt)/float64(j.runTime))
	}

	e.dispatch()
}

func (w *fakeWorker) handleStart(j *job) {
	switch {
	case w.heldSlots < slotsPerWorker:
		w.run(j)
	case len(w.queue) < maxQueuedTasks:
		w.queue = append(w.queue, j)
	default:
		l := w.load()
		w.simulation.schedule(oneWayDelay, func() { j.entry.handleReply(j, l, true) })
	}
}

func (w *fakeWorker) run(j *job) {
	w.heldSlots++
	w.simulation.schedule(j.runTime, func() {
		w.heldSlots--

		if len(w.queue) > 0 {
			next := w.queue[0]
			w.queue = w.queue[1:]
			w.run(next)
		}

		l := w.load()
		w.simulation.schedule(oneWayDelay, func() { j.entry.handleReply(j, l, false) })
	})
}

func (w *fakeWorker) load() *wire.Load {
	w.sequence++

	k := wire.KindLoad_builder{
		Kind: kindName, QueuedSlots: uint32(len(w.queue)), Room: len(w.queue) < maxQueuedTasks,
	}.Build()

	l := wire.Load_builder{
		Sequence: w.sequence, HeldSlots: uint32(w.heldSlots), QueuedSlots: uint32(len(w.queue)),
		Kinds: []*wire.KindLoad{k},
	}.Build()

	return l
}

// BenchmarkPolicies compares the policies in virtual time. 12 entries learn the load of 12 workers from replies and
// heartbeats, which makes it 1 ms to 1 s old.
func BenchmarkPolicies(b *testing.B) {
	const seed = 20261204

	for _, load := range []float64{0.6, 0.9, 1.2} {
		for _, p := range []placement.Policy{placement.Random{}, placement.TwoChoices{}, placement.JoinIdleQueue{}} {
			b.Run(fmt.Sprintf("%T/load=%.0f%%", p, 100*load), func(b *testing.B) {
				b.Logf("seed %d", seed)

				var (
					ratios   []float64
					rejected int
					held     float64
				)

				for i := range b.N {
					t := newSimulation(p, seed+uint64(i))
					t.run(40000, load)
					ratios = append(ratios, t.ratios...)
					rejected += t.rejected
					held += float64(t.heldSlotsSum) / float64(t.samples*slotsPerWorker) / float64(b.N)
				}

				slices.Sort(ratios)
				b.ReportMetric(ratios[len(ratios)/2], "p50-ratio")
				b.ReportMetric(ratios[len(ratios)*99/100], "p99-ratio")
				b.ReportMetric(held, "slots-held")
				b.ReportMetric(float64(rejected)/float64(len(ratios)), "rejects/task")
			})
		}
	}
}
