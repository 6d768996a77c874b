package jobplacement_test

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/skylarkweir/skylarkweir/weir/process/jobplacement"
	"github.com/skylarkweir/skylarkweir/weir/process/reservation"
	"github.com/skylarkweir/skylarkweir/weir/process/runtimes"
	"github.com/skylarkweir/skylarkweir/weir/request/job"
)

// load is one kind of job of the replay. Its priority is its index.
type load struct {
	tasks         int
	run           time.Duration
	jobsPerSecond float64
}

// loads are those of a full fleet; a smaller one has less.
var loads = []load{{8, 51 * time.Millisecond, 181}, {2, 170 * time.Millisecond, 529}, {4, 760 * time.Millisecond, 33}}

const (
	fullFleet  = 70
	taskCPU    = 1700
	resolution = 100 * time.Microsecond
	// reportInterval is that of sidecars with four entries.
	reportInterval, firstRetry, furtherRetry = 72 * time.Millisecond, 15 * time.Millisecond, 25 * time.Millisecond
)

var taskSize = job.NewSize(taskCPU, 1)

// objective is that of a job with stretch 1.6 and target 60 ms.
func objective(run time.Duration) time.Duration {
	return time.Duration(1.6*float64(run)) + 60*time.Millisecond
}

// replayServer is a backend server with the capacity queue of its sidecar.
type replayServer struct {
	pool         reservation.Pool
	speed        float64
	slowness     runtimes.Slowness
	name         string
	labels       []string
	startedTasks int
}

// view is what an entry has recorded of a server.
type view struct {
	free, requested int64
	queued          []int64
	slowness        float64
}

type replayEntry struct {
	views []view
	model runtimes.Model
	mean  [3]float64
}

type replayJob struct {
	load
	kind              string
	entry             *replayEntry
	key               reservation.Key
	priority          int
	arrived, expected time.Duration
	unplaced, running int
	requested         map[uint64]int
	// startedAt has the servers where a task was started.
	startedAt map[uint64]bool
	// isLong is true if one of its tasks lasts seven times as long, which placement can't change.
	isLong bool
}

// replay replays the loads at four entries with the decisions of the product: messages take no time, but entries learn of
// changed capacity by reports, as in the product.
type replay struct {
	now     time.Duration
	events  map[time.Duration][]func()
	random  *rand.Rand
	servers []*replayServer
	entries [4]replayEntry
	jobs    map[reservation.Key]*replayJob
	learns  bool
	// took has the response times by priority, from recordFrom on.
	took       [3][]time.Duration
	recordFrom time.Duration
	lastJob    uint64
}

func newReplay(seed uint64, learns bool, servers int, server func(n int) (speed, size float64, label string)) *replay {
	r := &replay{
		random: rand.New(rand.NewPCG(seed, 2)), jobs: map[reservation.Key]*replayJob{}, learns: learns,
		events: map[time.Duration][]func(){},
	}

	for n := range servers {
		speed, size, label := server(n)
		s := &replayServer{speed: speed, name: fmt.Sprint(n), labels: []string{label}}
		s.pool.SetCapacity(job.NewSize(int64(16000*size), 1<<20), reservation.Headroom(int64(16000*size)))
		r.servers = append(r.servers, s)

		for e := range r.entries {
			r.entries[e].views = append(r.entries[e].views, view{})
		}

		r.report(n)
	}

	for i := range loads {
		r.arrive(i)
	}

	return r
}

func (r *replay) after(d time.Duration, do func()) {
	at := (r.now + max(d, resolution)).Truncate(resolution)
	r.events[at] = append(r.events[at], do)
}

func (r *replay) run(duration time.Duration) {
	for end := r.now + duration; r.now < end; r.now += resolution {
		for _, do := range r.events[r.now] {
			do()
		}

		delete(r.events, r.now)
	}
}

// arrive submits jobs of a priority at random times.
func (r *replay) arrive(priority int) {
	interval := float64(time.Second) / loads[priority].jobsPerSecond * fullFleet / float64(len(r.servers))

	r.after(time.Duration(r.random.ExpFloat64()*interval), func() {
		n := r.random.IntN(len(r.entries))
		r.lastJob++
		j := &replayJob{
			load: loads[priority], kind: fmt.Sprint(priority), entry: &r.entries[n], priority: priority, arrived: r.now,
			key: reservation.NewKey(uint64(n), r.lastJob), unplaced: loads[priority].tasks, requested: map[uint64]int{},
			startedAt: map[uint64]bool{},
		}
		declared := float64(j.run) * math.Exp(0.4*r.random.NormFloat64())
		mean := &j.entry.mean[priority]
		*mean = cmp.Or(*mean, declared)
		j.expected = time.Duration((declared + *mean) / 2)
		r.jobs[j.key] = j
		r.request(j, firstRetry)
		r.arrive(priority)
	})
}

// request requests reservations for the unplaced tasks of a job, and again after a delay while there are any.
func (r *replay) request(j *replayJob, retry time.Duration) {
	if j.unplaced == 0 {
		return
	}

	kind, outstanding := j.entry.model.Kind(j.kind, r.now), 0

	var servers []jobplacement.Server

	for n, s := range r.servers {
		v := &j.entry.views[n]
		outstanding += j.requested[uint64(n)]

		if j.requested[uint64(n)] > 0 {
			continue
		}

		queued := max(0, v.requested-v.free)
		for _, q := range v.queued[:j.priority+1] {
			queued += q
		}

		c := jobplacement.NewServer(uint64(n), job.NewSize(v.free-v.requested, 1<<20), queued, s.pool.Capacity().Millicores(),
			v.slowness, s.labels)
		if ratio, ok := kind.Ratio(s.name, s.labels); ok && r.learns {
			c = c.WithRunRatio(ratio)
		}

		servers = append(servers, c)
	}

	p := jobplacement.Choose(jobplacement.NewDemand(j.unplaced, taskSize, job.Constraints{}, j.expected).
		WithOutstanding(outstanding).WithObjective(max(0, objective(j.expected)-(r.now-j.arrived))), servers, r.random)
	share := p.NeededShare(j.unplaced, outstanding)

	for _, q := range p.Requests() {
		j.requested[q.ID()] += q.Tasks()
		j.entry.views[q.ID()].requested += int64(share * float64(taskCPU*q.Tasks()))
		r.servers[q.ID()].pool.Add(
			reservation.NewRequest(j.key, q.Tasks(), taskSize, j.priority, j.arrived, r.now+time.Hour, j.expected, share))
	}

	for _, q := range p.Requests() {
		r.allocate(q.ID())
	}

	r.after(retry, func() { r.request(j, furtherRetry) })
}

func (r *replay) allocate(id uint64) {
	s := r.servers[id]

	for _, g := range s.pool.Allocate(r.now) {
		j := r.jobs[g.Key()]
		v := &j.entry.views[id]
		v.free = s.pool.Free().Millicores()
		v.requested = max(0, v.requested-taskCPU*int64(g.Tasks()))

		if j.requested[id] -= g.Tasks(); j.requested[id] <= 0 {
			delete(j.requested, id)
		}

		_, n := s.pool.Launch(j.key, min(g.Tasks(), j.unplaced))
		j.unplaced -= n

		for range n {
			r.start(j, id)
		}

		if j.unplaced == 0 {
			s.pool.Release(j.key)

			for other := range j.requested {
				r.servers[other].pool.Release(j.key)
			}

			clear(j.requested)
		}
	}
}

func (r *replay) start(j *replayJob, id uint64) {
	s := r.servers[id]

	run := time.Duration(float64(j.run) / s.speed)
	if r.random.IntN(30) == 0 {
		run *= 7
		j.isLong = true
	}

	isFirst := !j.startedAt[id]
	j.startedAt[id] = true
	j.running++
	s.startedTasks++
	s.pool.Begin(taskSize)
	r.after(run, func() { r.end(j, id, run, isFirst) })
}

func (r *replay) end(j *replayJob, id uint64, run time.Duration, isFirst bool) {
	s, e := r.servers[id], j.entry
	s.pool.End(taskSize)
	s.slowness.Observe(run, j.expected, r.now)
	e.views[id].free = s.pool.Free().Millicores()

	usual := float64(run)
	if ratio, ok := e.model.Kind(j.kind, r.now).Ratio(s.name, s.labels); ok && r.learns {
		usual /= ratio
	}

	e.mean[j.priority] += 0.05 * (usual - e.mean[j.priority])

	if isFirst {
		e.model.Observe(j.kind, s.name, s.labels, j.expected, run, r.now)
	}

	if j.running--; j.unplaced+j.running == 0 {
		delete(r.jobs, j.key)

		if r.now >= r.recordFrom && !j.isLong {
			r.took[j.priority] = append(r.took[j.priority], r.now-j.arrived)
		}
	}

	r.allocate(id)
}

// report sends a report of a server to all entries, and again after reportInterval.
func (r *replay) report(n int) {
	s := r.servers[n]
	for e := range r.entries {
		r.entries[e].views[n] = view{
			free: s.pool.Free().Millicores(), queued: s.pool.QueuedCPU(), slowness: cmp.Or(s.slowness.Value(r.now), 1),
		}
	}

	r.after(reportInterval, func() { r.report(n) })
}

// starts returns the number of started tasks by server.
func (r *replay) starts() []int {
	var starts []int
	for _, s := range r.servers {
		starts = append(starts, s.startedTasks)
	}

	return starts
}

// result returns the mean response time of a priority, and how many jobs took longer than their objective.
func (r *replay) result(priority int) (mean time.Duration, late int) {
	for _, t := range r.took[priority] {
		mean += t / time.Duration(len(r.took[priority]))

		if t > objective(loads[priority].run) {
			late++
		}
	}

	return mean, late
}
