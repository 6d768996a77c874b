package emulator

import (
	"container/heap"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/skylarkweir/skylarkweir/weir/process/admission"
	"github.com/skylarkweir/skylarkweir/weir/process/interference"
	"github.com/skylarkweir/skylarkweir/weir/process/quarantine"
	"github.com/skylarkweir/skylarkweir/weir/process/reservation"
	"github.com/skylarkweir/skylarkweir/weir/process/sessionset"
	"github.com/skylarkweir/skylarkweir/weir/request/job"
)

const (
	// requestInterval is the interval at which a job requests reservations at more backend servers.
	requestInterval = 25 * time.Millisecond
	// maxLateObjectives is the response time, in multiples of the objective, after which a job has no value. It is then
	// counted neither as on time nor as late.
	maxLateObjectives = 3
)

// simulation is a run in virtual time.
type simulation struct {
	load      Load
	rule      Rule
	random    *rand.Rand
	now       time.Duration
	events    eventQueue
	lastOrder int
	servers   []*server
	entries   []*entry
	jobs      []*activeJob
	// usage holds the used part of the fleet's CPU at each report.
	usage []UsageSample
	// pairChanges has the pairs of kinds that entries took up or dropped.
	pairChanges []PairChange
}

type server struct {
	name     string
	pool     reservation.Pool
	slowness float64
	capacity job.Size
	// accepting is false from closedSince, when the sidecar notices a crash, until the backend server is back. life counts
	// the crashes.
	accepting   bool
	closedSince time.Duration
	life        int
	// launchedTasks holds launched tasks that wait for free capacity; running holds the started ones; runningCPU is in
	// millicores by priority.
	launchedTasks []*task
	running       map[*task]bool
	startRates    quarantine.StartRates
	runningCPU    [reservation.PriorityCount]int64
	// launchedCPU is counted in the current window of 1 s, launchRate is the count of the last one.
	launchedCPU, launchRate [reservation.PriorityCount]int64
	// occupancy and sharing, the started tasks in order, are in use if the load has a pair.
	occupancy interference.Occupancy
	sharing   []*task
}

type task struct {
	activeJob *activeJob
	index     int
	progress  progress
	runTime   time.Duration
	startedAt time.Duration
	// deadly is true if the task crashes the backend servers that start it; crashes counts those that crashed under it.
	deadly  bool
	crashes int
}

// report is the state of a backend server as an entry has recorded it. CPU figures are in millicores.
type report struct {
	closed bool
	// closedSince is the time since which no tasks are accepted, if closed is true.
	closedSince            time.Duration
	freeCPU                int64
	queuedCPU              []int64
	runningCPU, launchRate [reservation.PriorityCount]int64
	runningKinds           []string
}

type entry struct {
	reports []report
	// requestedCPU holds, for each backend server, the millicores requested since its last report and not yet granted.
	requestedCPU []int64
	// connected holds, for each backend server, whether it has a session with the entry.
	connected []bool
	// releaseRate has no observations if the rule is Windowed.
	releaseRate admission.ReleaseRateEstimator
	// quarantine records no crashes if the rule is Unconfined.
	quarantine quarantine.Tracker
	// zone holds the names of the backend servers to which kinds that crash others are confined.
	zone map[string]bool
	// pairs is what the entry has learned of interference, nil unless the rule is Separating.
	pairs *interference.Model
}

type activeJob struct {
	arrival

	number        uint64
	entry         int
	requestedFrom map[int]bool
	// outstanding is the number of reservations that are requested and not granted.
	outstanding int
	pending     []*task
	remaining   int
	started     bool
	refused     bool
	// cause is why the job was refused, empty if it was not; capacity is what was free then.
	cause    string
	capacity Capacity
	// failed is true once the job was given up because of a task that crashes backend servers.
	failed  bool
	endedAt time.Duration
	// beside is true if a task of the job ran beside the kind that slows it down, for at least half of its run time.
	beside bool
}

// isOver reports whether no more tasks of the job are placed.
func (j *activeJob) isOver(now time.Duration) bool {
	return j.refused || j.failed || now >= j.arrivedAt+jobTimeout
}

// Simulate runs a load under a rule in virtual time. The same seed draws the same jobs.
func Simulate(l Load, r Rule, seed uint64) Result {
	sm := &simulation{load: l, rule: r, random: rand.New(rand.NewPCG(seed, 1))}

	for n := range l.servers {
		s := &server{
			name: "server-" + strconv.Itoa(n), slowness: l.slowness(n), accepting: true, running: map[*task]bool{},
			capacity: job.NewSize(int64(l.coresPerServer)*1000, 1<<20),
		}
		s.pool.SetCapacity(s.capacity, reservation.Headroom(s.capacity.Millicores()))
		sm.servers = append(sm.servers, s)
	}

	for range l.entries {
		sm.entries = append(sm.entries, &entry{
			reports: make([]report, l.servers), requestedCPU: make([]int64, l.servers), connected: make([]bool, l.servers),
			pairs: newPairs(r),
		})
	}

	sm.connect()
	sm.advanceTrackers()

	for _, a := range l.draw(seed) {
		sm.schedule(a.arrivedAt, func() { sm.arrive(a) })
	}

	sm.schedule(0, sm.sendReports)
	sm.advancePairs()

	for sm.events.Len() > 0 && sm.now < l.duration+jobTimeout {
		e := heap.Pop(&sm.events).(event)
		sm.now = e.at
		e.action()
	}

	return sm.result()
}

// failureDomains is the number of failure domains over which entries and backend servers are spread.
const failureDomains = 5

// connect chooses the sessions of all backend servers.
func (sm *simulation) connect() {
	domain := func(n int) string { return strconv.Itoa(n % failureDomains) }

	known := make([]sessionset.Entry, 0, len(sm.entries))
	for n := range sm.entries {
		known = append(known, sessionset.NewEntry(strconv.Itoa(n), domain(n)))
	}

	size := sm.load.entriesPerServer
	if size == 0 {
		size = len(known)
	}

	for n := range sm.servers {
		for _, e := range sessionset.Choose(sessionset.NewSidecar("server-"+strconv.Itoa(n), domain(n)), known, size) {
			number, _ := strconv.Atoi(e.Address())
			sm.entries[number].connected[n] = true
		}
	}
}

// sendReports sends a report from every sidecar to every entry.
func (sm *simulation) sendReports() {
	for n, s := range sm.servers {
		if sm.now%time.Second < sm.load.reportInterval {
			s.launchRate, s.launchedCPU = s.launchedCPU, [reservation.PriorityCount]int64{}
		}

		sm.sendReport(n)
	}

	sm.sampleUsage()

	if sm.now < sm.load.duration {
		sm.scheduleAfter(sm.load.reportInterval, sm.sendReports)
	}
}

// sendReport sends a report from a sidecar to every entry.
func (sm *simulation) sendReport(n int) {
	s := sm.servers[n]
	r := report{
		!s.accepting, s.closedSince, s.pool.Free().Millicores(), s.pool.QueuedCPU(), s.runningCPU, s.launchRate,
		s.occupancy.Running(),
	}

	sm.scheduleAfter(sm.load.messageDelay, func() {
		for _, e := range sm.entries {
			e.reports[n], e.requestedCPU[n] = r, 0
		}
	})
}

func (sm *simulation) arrive(a arrival) {
	j := &activeJob{
		arrival: a, number: uint64(len(sm.jobs)), entry: sm.random.IntN(len(sm.entries)), requestedFrom: map[int]bool{},
		remaining: len(a.runTimes),
	}
	sm.jobs = append(sm.jobs, j)

	for i, runTime := range a.runTimes {
		j.pending = append(j.pending, &task{activeJob: j, index: i, runTime: runTime, deadly: a.deadly && i == 0})
	}

	maxWait := jobTimeout

	switch decision := admission.Decide(a.job, a.job.Estimate(), sm.knownLoad(j), sm.random).(type) {
	case admission.Refuse:
		if _, unlimited := sm.rule.(Unlimited); !unlimited {
			sm.refuse(j, decision.Reason())

			return
		}
	case admission.Admit:
		if _, unlimited := sm.rule.(Unlimited); !unlimited {
			maxWait = decision.MaxWait()
		}
	}

	sm.requestReservations(j)
	sm.scheduleAfter(maxWait, func() { sm.endWait(j) })
}

func (sm *simulation) endWait(j *activeJob) {
	if j.started || j.refused {
		return
	}

	switch decision := sm.extendWait(j).(type) {
	case admission.Admit:
		sm.scheduleAfter(decision.MaxWait(), func() { sm.endWait(j) })
	case admission.Refuse:
		sm.refuse(j, decision.Reason())
		sm.releaseReservations(j)
	default:
		sm.refuse(j, maxWaitOver)
		sm.releaseReservations(j)
	}
}

// maxWaitOver is why a rule that extends no wait refuses a job.
const maxWaitOver = "the maximum wait for a first reservation is over"

// extendWait decides whether a job waits longer for its first reservation after its maximum wait. It returns nil if the
// rule extends no wait.
func (sm *simulation) extendWait(j *activeJob) admission.Decision {
	if _, windowed := sm.rule.(Windowed); windowed {
		return nil
	}

	return admission.ExtendWait(j.job, j.job.Estimate(), sm.now-j.arrivedAt, sm.knownLoad(j), sm.random)
}

func (sm *simulation) refuse(j *activeJob, cause string) {
	j.refused, j.cause, j.capacity = true, cause, sm.capacityFor(j)
}

func (sm *simulation) priority(j *activeJob) int {
	if _, unordered := sm.rule.(Unordered); unordered {
		return 0
	}

	return j.job.Policy().Priority()
}

// knownLoad sums up the reports that the job's entry has recorded.
func (sm *simulation) knownLoad(j *activeJob) admission.Load {
	var (
		free, queued, capacity int64
		running, launched      admission.Usage
	)

	e, priority := sm.entries[j.entry], sm.priority(j)

	servers := 0

	for n, r := range e.reports {
		if !e.connected[n] || r.closed || sm.access(j, n) == quarantine.Forbidden {
			continue
		}

		servers++
		cpu := sm.servers[n].capacity.Millicores()
		free += max(0, r.freeCPU-e.requestedCPU[n])
		queued += r.queuedAhead(priority) + max(0, e.requestedCPU[n]-r.freeCPU)
		capacity += cpu

		running.Add(r.runningCPU[:])
		launched.Add(r.launchRate[:])
	}

	rate := e.releaseRate.Rate(priority, capacity, running, launched)

	return admission.NewLoad(free, queued, capacity, running, priority, rate, sm.servers[0].capacity, servers)
}

func (r report) queuedAhead(priority int) int64 {
	var sum int64

	for p, queued := range r.queuedCPU {
		if p <= priority {
			sum += queued
		}
	}

	return sum
}

func (sm *simulation) startTask(n int, t *task) {
	s, j := sm.servers[n], t.activeJob
	life := s.life
	t.startedAt = sm.now
	s.running[t] = true
	s.startRates.Record(j.job.Policy().Kind(), strconv.FormatUint(j.number, 10), sm.now)

	if t.deadly {
		sm.scheduleAfter(crashDelay, func() { sm.crash(n, life) })
	}

	priority, cpu := reservation.ClampPriority(sm.priority(j)), j.job.Size().Millicores()
	s.runningCPU[priority] += cpu
	s.launchedCPU[priority] += cpu

	runTime := time.Duration(float64(t.runTime) * s.slowness)

	sm.run(n, t, runTime, func(runTime time.Duration) {
		if s.life != life {
			return
		}

		delete(s.running, t)
		s.runningCPU[priority] -= cpu
		s.pool.End(j.job.Size())
		sm.processQueue(n)

		free := s.pool.Free().Millicores()
		sm.scheduleAfter(sm.load.messageDelay, func() { sm.recordTaskEnd(j, n, free, runTime) })

		j.remaining--
		if j.remaining == 0 {
			j.endedAt = sm.now + sm.load.messageDelay
		}
	})
}

// recordTaskEnd records the end of a task at the entry of its job.
func (sm *simulation) recordTaskEnd(j *activeJob, n int, free int64, runTime time.Duration) {
	e := sm.entries[j.entry]
	e.reports[n].freeCPU = free

	if _, windowed := sm.rule.(Windowed); !windowed {
		e.releaseRate.Observe(sm.priority(j), runTime)
	}
}
