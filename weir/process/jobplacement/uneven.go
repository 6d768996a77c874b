package jobplacement

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/skylarkweir/skylarkweir/weir/request/job"
)

const (
	// endStep is the relative difference below which two expected ends count as the same, so that the random order spreads
	// the tasks of several entries over servers of the same kind.
	endStep = 0.1
	// waitFactor is how much an expected wait counts compared with a run time. The wait is uncertain, as more urgent tasks
	// that arrive later go first. In replays with a third of fast servers, 2 made 11 to 49 % of the least urgent jobs late at
	// 1.5 of the load (4: 0 to 14 %), and 6 gave up most of what the most urgent ones gain.
	waitFactor = 4
)

// WithRunRatio returns the server with the learned ratio of the run time of the job's kind there to its usual one. It takes
// the place of the reported slowness, which contains it, unless that is far higher: then the server has turned slow, or the
// ratio is of this kind of job only, and the slowness counts as without a ratio. A ratio that is not positive is ignored.
func (s Server) WithRunRatio(ratio float64) Server {
	if ratio <= 0 {
		return s
	}

	s.learned = true

	if s.slowness < slowThreshold*ratio {
		s.slowness, s.usual = ratio, ratio
	}

	return s
}

// WithReleaseRate returns the server with the CPU that becomes available there to jobs of the priority, in millicores per
// second. Without a rate, no job waits there while another server is free.
func (s Server) WithReleaseRate(rate int64) Server {
	s.releaseRate = rate

	return s
}

// AsRequested returns the server as one where n reservations are requested and not granted yet. They count as expected
// there, and no more are requested.
func (s Server) AsRequested(n int) Server {
	s.outstanding = n

	return s
}

// WithObjective returns the demand with the time that remains until the objective of the job, and the longest time that
// its tasks may wait for a faster server while a slower one is free.
func (d Demand) WithObjective(remaining, maxWait time.Duration) Demand {
	d.remaining, d.maxWait = remaining, max(0, maxWait)

	return d
}

// isUneven reports whether servers are known to differ. Otherwise the order is that of a uniform fleet.
func isUneven(servers []Server) bool {
	return slices.ContainsFunc(servers, func(s Server) bool { return s.learned })
}

// start is the possible start of tasks at a server, all at the same time.
type start struct {
	server *Server
	tasks  int
	// waits is true if the capacity has yet to become free.
	waits bool
	// late is true if the task would end after the objective.
	late bool
	rank float64
	// step is the logarithm of the expected end, in units of endStep.
	step float64
}

// requestEarliest requests the capacity with which the slowest task is expected to end first, whether it is free or has to
// be waited for, and returns how many tasks remain without free capacity.
func (d Demand) requestEarliest(servers []Server, requested map[uint64]int, random *rand.Rand) int {
	var starts []start

	for i := range servers {
		s := &servers[i]
		s.score = math.Pow(random.Float64(), float64(max(1, d.size.Millicores()))/float64(max(1, s.free.Millicores())))
		starts = d.appendStarts(starts, s)
	}

	slices.SortFunc(starts, func(a, b start) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), compareBool(a.late, b.late), cmp.Compare(a.step, b.step),
			compareBool(a.waits, b.waits), cmp.Compare(b.server.score, a.server.score))
	})

	keepFaster(starts, d.tasks)

	// shortfall counts the tasks without free capacity. missing counts those of them for which nothing was requested, and
	// further the reservations to request for them besides the chosen starts.
	remaining, shortfall, missing, further := d.tasks, 0, 0, 0

	for _, t := range starts {
		n := min(t.tasks, remaining)
		remaining -= n

		if t.waits {
			shortfall += n
		}

		if t.server.outstanding > 0 || n == 0 {
			continue
		}

		requested[t.server.id] += n

		if t.waits {
			missing += n
			further -= n
		}
	}

	missing += remaining

	if missing > 0 {
		further += int(float64(missing)*d.requestFactor() + 1)
		d.requestFurther(servers, requested, further, random)
	}

	return shortfall + remaining
}

// requestFurther requests reservations at the servers whose queue is expected to end first. Servers with free capacity that
// was not chosen are left out, as they would grant it at once, and so are those where a task would be late, unless
// it would be everywhere.
func (d Demand) requestFurther(servers []Server, requested map[uint64]int, toRequest int, random *rand.Rand) {
	servers = slices.DeleteFunc(slices.Clone(servers), func(s Server) bool {
		return s.outstanding > 0 || requested[s.id] < s.freeTasks
	})
	inTime := func(s Server) bool { return !d.isLate(d.runTimeAt(s)) }

	if slices.ContainsFunc(servers, inTime) {
		servers = slices.DeleteFunc(servers, func(s Server) bool { return !inTime(s) })
	}

	for i := range servers {
		s := &servers[i]
		// The queue takes about one run time for each multiple of the capacity, and the task one more.
		s.score = (float64(s.queued)/float64(s.capacity)+1)*s.runRatio() + 0.05*random.Float64() + s.rankOffset()
	}

	slices.SortFunc(servers, func(a, b Server) int { return cmp.Compare(a.score, b.score) })
	d.requestInTurn(servers, requested, toRequest)
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	default:
		return -1
	}
}

// appendStarts appends the starts of the job's tasks at a server: those at once, and those within the longest wait.
func (d Demand) appendStarts(starts []start, s *Server) []start {
	n := min(d.maxTasksAt(*s), s.maxTasks(d.size))
	s.freeTasks = 0

	if s.outstanding > 0 {
		n = min(n, s.outstanding)
	} else {
		s.freeTasks = s.free.CountFitting(d.size, n)
	}

	rank := s.rankOffset()
	if p := d.constraints.PreferredLabel(); p != "" && slices.Contains(s.labels, p) {
		rank -= 20
	}

	t := start{server: s, rank: rank}

	if s.freeTasks > 0 {
		t.tasks = s.freeTasks
		starts = append(starts, d.withEnd(t, 0))
	}

	t.tasks, t.waits = 1, true

	for i := range min(n, d.tasks) - s.freeTasks {
		wait := s.waitFor(d.size, i+1)
		if wait > d.maxWait {
			break
		}

		starts = append(starts, d.withEnd(t, wait))
	}

	return starts
}

// withEnd returns the start, after an expected wait, with its expected end.
func (d Demand) withEnd(t start, wait time.Duration) start {
	run := d.runTimeAt(*t.server)
	t.late = d.isLate(wait + run)
	t.step = math.Round(math.Log(waitFactor*float64(wait)+float64(run)) / endStep)

	return t
}

func (d Demand) runTimeAt(s Server) time.Duration {
	return time.Duration(float64(max(d.runTime, time.Millisecond)) * s.runRatio())
}

func (d Demand) isLate(end time.Duration) bool { return d.remaining > 0 && end > d.remaining }

// waitFor returns how long it takes until the capacity for n tasks beyond the queue is released.
func (s Server) waitFor(size job.Size, n int) time.Duration {
	if s.releaseRate <= 0 {
		return math.MaxInt64
	}

	ahead := s.queued
	if s.outstanding == 0 { // otherwise the queue contains the tasks
		ahead += size.Millicores() * int64(n)
	}

	return time.Duration(float64(ahead) / float64(s.releaseRate) * float64(time.Second))
}

// keepFaster moves the free starts that end as late as the slowest one that the job needs to the front: the job ends no
// earlier with the faster ones, which are left to other jobs.
func keepFaster(starts []start, tasks int) {
	for _, t := range starts {
		if tasks -= t.tasks; tasks > 0 {
			continue
		}

		slices.SortStableFunc(starts, func(a, b start) int { return compareBool(!a.isFreeAs(t), !b.isFreeAs(t)) })

		return
	}
}

// isFreeAs reports whether the start is at once and as good as u.
func (t start) isFreeAs(u start) bool {
	return !t.waits && t.rank == u.rank && t.late == u.late && t.step == u.step
}
