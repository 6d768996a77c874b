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

// The sizes and latencies of Ruderwerk's design load.
const (
	entries   = 12
	workers   = 12
	slots     = 64
	runQueue  = slots / 4
	oneWay    = 1500 * time.Microsecond
	heartbeat = time.Second
	kind      = "scan"
	position  = 100
	// warmUp is the time until the longest tasks end for the first time.
	warmUp = 5 * time.Second
)

// moment is something that happens at a time of the trial.
type moment struct {
	at   time.Duration
	what func()
}

type moments []moment

func (m moments) Len() int           { return len(m) }
func (m moments) Less(i, j int) bool { return m[i].at < m[j].at }
func (m moments) Swap(i, j int)      { m[i], m[j] = m[j], m[i] }
func (m *moments) Push(x any)        { *m = append(*m, x.(moment)) }
func (m *moments) Pop() any {
	last := (*m)[len(*m)-1]
	*m = (*m)[:len(*m)-1]

	return last
}

// trial runs one policy in virtual time.
type trial struct {
	policy   placement.Policy
	random   *rand.Rand
	now      time.Duration
	next     moments
	entries  []*fakeEntry
	workers  []*fakeWorker
	ratios   []float64
	rejected int
	// held and samples give the share of slots that are held while submissions arrive, after the start of the trial.
	held, samples int
	arriving      bool
}

type fakeEntry struct {
	trial   *trial
	fleet   fleet.Fleet
	waiting []*job
}

// job is one task with its actual run time.
type job struct {
	entry   *fakeEntry
	arrived time.Duration
	run     time.Duration
	worker  int
	before  *fleet.Report
}

type fakeWorker struct {
	trial    *trial
	name     string
	sequence uint64
	held     int
	queue    []*job
}

func (t *trial) at(after time.Duration, what func()) { heap.Push(&t.next, moment{t.now + after, what}) }

func (t *trial) clock() time.Time { return time.Unix(1000, 0).Add(t.now) }

// runTime draws from a mix with a mean of about 0.36 s: most tasks take 50 ms to 1 s, one in fifty takes 2 to 5 s.
func (t *trial) runTime() time.Duration {
	if t.random.IntN(50) == 0 {
		return 2*time.Second + time.Duration(t.random.Int64N(int64(3*time.Second)))
	}

	return min(50*time.Millisecond+time.Duration(t.random.ExpFloat64()*float64(250*time.Millisecond)), time.Second)
}

func newTrial(p placement.Policy, seed uint64) *trial {
	t := &trial{policy: p, random: rand.New(rand.NewPCG(seed, 1))}

	for i := range workers {
		t.workers = append(t.workers, &fakeWorker{trial: t, name: fmt.Sprintf("w%02d", i)})
	}

	for range entries {
		e := &fakeEntry{trial: t}
		t.entries = append(t.entries, e)

		for i, w := range t.workers {
			d := wire.Worker_builder{
				Name: w.name, Incarnation: 1, Slots: slots, FailureDomain: fmt.Sprint(i % 3),
			}.Build()
			e.fleet.Connect(d, t.clock())
			t.at(time.Duration(t.random.Int64N(int64(heartbeat))), func() { e.beat(w) })
		}

		e.fleet.UpdateRegistrations(func(string, uint64) (int64, bool) { return 1, true })
	}

	return t
}

func (t *trial) run(tasks int, load float64) {
	const mean = 0.36

	gap := mean / (load * workers * slots) * float64(time.Second)
	left := tasks

	var arrive func()

	arrive = func() {
		left--
		t.arriving = left > 0

		e := t.entries[t.random.IntN(entries)]
		e.waiting = append(e.waiting, &job{entry: e, arrived: t.now, run: t.runTime()})
		e.dispatch()

		if left > 0 {
			t.at(time.Duration(t.random.ExpFloat64()*gap), arrive)
		}
	}
	t.at(0, arrive)

	for len(t.ratios) < tasks {
		m := heap.Pop(&t.next).(moment)
		t.now = m.at
		m.what()
	}
}

func (e *fakeEntry) beat(w *fakeWorker) {
	l := w.load()

	if t := e.trial; t.arriving && t.now > warmUp {
		t.held += w.held
		t.samples++
	}

	e.trial.at(oneWay, func() { e.report(w, l) })
	e.trial.at(heartbeat, func() { e.beat(w) })
}

func (e *fakeEntry) report(w *fakeWorker, l *wire.Load) {
	f, _ := e.fleet.View().Find(w.name)
	e.fleet.Report(f, l, e.trial.clock())
	e.dispatch()
}

func (e *fakeEntry) dispatch() {
	t := e.trial
	task := placement.NewTask(kind, "service", 1, 0, position)

	for len(e.waiting) > 0 {
		c := placement.Choose(t.policy, task, e.fleet.View().Workers(), t.clock(), t.random)
		if c.Worker() == nil {
			return
		}

		j := e.waiting[0]
		e.waiting = e.waiting[1:]
		j.before = c.Worker().RecordStart(1)
		j.worker = slices.Index(e.fleet.View().Workers(), c.Worker())
		t.at(oneWay, func() { t.workers[j.worker].start(j) })
	}
}

// over takes a reply.
func (e *fakeEntry) over(j *job, l *wire.Load, rejected bool) {
	t := e.trial
	f := e.fleet.View().Workers()[j.worker]
	f.RecordEnd(1, j.before)
	e.fleet.Report(f, l, t.clock())

	if rejected {
		t.rejected++
		f.RecordRejection(kind)
		e.waiting = append([]*job{j}, e.waiting...)
	} else {
		t.ratios = append(t.ratios, float64(t.now-j.arrived)/float64(j.run))
	}

	e.dispatch()
}

func (w *fakeWorker) start(j *job) {
	switch {
	case w.held < slots:
		w.begin(j)
	case len(w.queue) < runQueue:
		w.queue = append(w.queue, j)
	default:
		l := w.load()
		w.trial.at(oneWay, func() { j.entry.over(j, l, true) })
	}
}

func (w *fakeWorker) begin(j *job) {
	w.held++
	w.trial.at(j.run, func() {
		w.held--

		if len(w.queue) > 0 {
			n := w.queue[0]
			w.queue = w.queue[1:]
			w.begin(n)
		}

		l := w.load()
		w.trial.at(oneWay, func() { j.entry.over(j, l, false) })
	})
}

func (w *fakeWorker) load() *wire.Load {
	w.sequence++

	k := wire.KindLoad_builder{Kind: kind, QueuedSlots: uint32(len(w.queue)), Room: len(w.queue) < runQueue}.Build()

	l := wire.Load_builder{
		Sequence: w.sequence, HeldSlots: uint32(w.held), QueuedSlots: uint32(len(w.queue)),
		Kinds: []*wire.KindLoad{k},
	}.Build()

	return l
}

// BenchmarkPolicies compares the policies in virtual time: 12 entries that learn the load of 12 workers from replies
// and from heartbeats, so with a delay of 1 ms to 1 s.
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
					t := newTrial(p, seed+uint64(i))
					t.run(40000, load)
					ratios = append(ratios, t.ratios...)
					rejected += t.rejected
					held += float64(t.held) / float64(t.samples*slots) / float64(b.N)
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
