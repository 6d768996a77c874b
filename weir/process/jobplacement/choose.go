// Package jobplacement chooses the backend servers for the tasks of a whole job.
//
// A job ends with its slowest task. Tasks are therefore placed where they can start at once. For the tasks without free
// capacity, more reservations are requested than needed, at the backend servers with the shortest queues, and the job
// uses those that are granted first. Entries choose at random, weighted by free capacity, because all of them see the
// same free capacity and would otherwise choose the same backend servers.
//
// CPU figures are in millicores, thousandths of a core.
package jobplacement

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/skylarkweir/skylarkweir/weir/request/job"
)

// Server is the state of a backend server as the entry has recorded it.
type Server struct {
	id   uint64
	free job.Size
	// queued is the CPU of requests that are at least as urgent as the job, in millicores.
	queued int64
	// capacity is in millicores.
	capacity int64
	// slowness is the ratio of the measured run times to the expected ones.
	slowness float64
	// slowdown is a further ratio of run times, for this job.
	slowdown float64
	// usual is the learned ratio of the run times, 1 if nothing was learned; learned is true if something was.
	usual   float64
	learned bool
	labels  []string
	// placed is how many tasks of the job are there already, or may be.
	placed int
	// lastResort is true if the server is used only when the others are full.
	lastResort bool
	// freeTasks is how many tasks of the job may start there at once.
	freeTasks int
	score     float64
	// end is set by orderByEnd.
	end expectedEnd
}

// NewServer returns a backend server. queued is the CPU of requests that are at least as urgent as the job; it and
// capacity are in millicores. slowness is the ratio of its run times to the expected ones.
func NewServer(id uint64, free job.Size, queued, capacity int64, slowness float64, labels []string) Server {
	return Server{
		id: id, free: free, queued: queued, capacity: max(1, capacity), slowness: max(minSlowness, slowness), slowdown: 1,
		usual: 1, labels: labels,
	}
}

// AsLastResort returns the server as one that is used only when the others are full.
func (s Server) AsLastResort() Server {
	s.lastResort = true

	return s
}

// WithSlowdown returns the server with a further ratio of run times, for this job at this server; 1 if it is unknown.
func (s Server) WithSlowdown(factor float64) Server {
	s.slowdown = max(minSlowness, factor)

	return s
}

// WithPlaced returns the server with n tasks of the job that are there already, or may be.
func (s Server) WithPlaced(n int) Server {
	s.placed = n

	return s
}

// rankOffset separates the servers that are used only when the others are full, in the order of either kind of request.
func (s Server) rankOffset() float64 {
	offset := 0.0

	if s.slowness >= slowThreshold*s.usual {
		offset += 10
	}

	if s.lastResort {
		offset += 40 // beyond the offset of the preferred label
	}

	return offset
}

const (
	minSlowness = 0.1
	// doubleRequestRunTime is the run time of a task for which two reservations are requested per task without free
	// capacity. An unneeded reservation leaves its capacity idle for a round trip, which matters less beside a long run
	// than waiting for the slowest reservation.
	doubleRequestRunTime = 60 * time.Millisecond
	// maxRequestFactor limits the reservations requested per task without free capacity.
	maxRequestFactor = 2.5
	// preferredOffset puts the servers with the preferred label first, unless they are of last resort.
	preferredOffset = 20
	// slowThreshold is the slowness from which a backend server is used only when the others are full.
	slowThreshold = 2.0
	// slowdownWeight is what a slowdown counts against free capacity, whose random order spans 1: with a factor of 1.25 the
	// others with free capacity come first. Among full servers the slowdown does not count, since what runs there now may
	// have ended when the job starts, and no job waits longer for it.
	slowdownWeight = 4.0
)

// Demand is the tasks of a job that have to be placed.
type Demand struct {
	tasks       int
	size        job.Size
	constraints job.Constraints
	// runTime is the expected run time of a task, zero if it is unknown.
	runTime time.Duration
	// remaining is the time until the objective of the job, zero if there is none or it has passed.
	remaining time.Duration
	// outstanding is the number of reservations that the job has requested already and that are not granted.
	outstanding int
}

// NewDemand returns the demand for tasks of a size and an expected run time each; runTime is zero if it is unknown.
func NewDemand(tasks int, size job.Size, constraints job.Constraints, runTime time.Duration) Demand {
	return Demand{tasks: tasks, size: size, constraints: constraints, runTime: runTime}
}

// WithOutstanding returns the demand of a job that has requested n reservations already which are not granted.
func (d Demand) WithOutstanding(n int) Demand {
	d.outstanding = n

	return d
}

// requestFactor returns how many reservations are requested per task without free capacity.
func (d Demand) requestFactor() float64 {
	return min(maxRequestFactor, 1+float64(doubleRequestRunTime)/float64(max(d.runTime, time.Millisecond)))
}

// Request is a number of reservations to request at a backend server.
type Request struct {
	id    uint64
	tasks int
}

// ID returns the ID of the backend server.
func (r Request) ID() uint64 { return r.id }

// Tasks returns the number of reservations.
func (r Request) Tasks() int { return r.tasks }

// Plan is the requests for a job, and the number of its tasks without free capacity.
type Plan struct {
	requests  []Request
	shortfall int
}

// Requests returns the requests, at most one for each backend server.
func (p Plan) Requests() []Request { return p.requests }

// Shortfall returns the number of tasks without free capacity.
func (p Plan) Shortfall() int { return p.shortfall }

// NeededShare returns the part of the planned reservations that a job with missing reservations needs beyond its
// outstanding requests, which have not been answered. Without it a job that repeats its requests would count as queued
// several times.
func (p Plan) NeededShare(missing, outstanding int) float64 {
	total := 0
	for _, r := range p.requests {
		total += r.tasks
	}

	return min(1, float64(max(0, missing-outstanding))/float64(max(1, total)))
}

// Choose plans the requests for a job. It changes the order of servers.
func Choose(d Demand, servers []Server, random *rand.Rand) Plan {
	servers = d.eligible(servers)
	requested := make(map[uint64]int, len(servers))
	shortfall := d.requestFree(servers, requested, random)
	p := Plan{shortfall: shortfall}

	if shortfall > 0 {
		d.requestQueued(servers, requested, shortfall, random)
	}

	for _, s := range servers {
		if k := requested[s.id]; k > 0 {
			p.requests = append(p.requests, Request{s.id, k})
		}
	}

	return p
}

func (d Demand) eligible(servers []Server) []Server {
	return slices.DeleteFunc(servers, func(s Server) bool {
		return d.constraints.RequiredLabel() != "" && !slices.Contains(s.labels, d.constraints.RequiredLabel())
	})
}

// prefers reports whether the backend server has the label that the job prefers.
func (d Demand) prefers(s Server) bool {
	p := d.constraints.PreferredLabel()

	return p != "" && slices.Contains(s.labels, p)
}

// maxTasksAt returns how many more tasks of the job may go to a backend server.
func (d Demand) maxTasksAt(s Server) int {
	if limit := d.constraints.MaxTasksPerServer(); limit > 0 {
		return max(0, limit-s.placed)
	}

	return d.tasks
}

// requestFree requests free capacity and returns how many tasks remain without it.
func (d Demand) requestFree(servers []Server, requested map[uint64]int, random *rand.Rand) int {
	for i := range servers {
		s := &servers[i]
		s.freeTasks = d.FreeTasks(*s)
		// A random order weighted by free capacity. With the emptiest first, all entries with the same view would choose
		// the same backend servers. The offsets below rank slow backend servers last and those with the preferred label
		// first.
		s.score = math.Pow(random.Float64(), float64(max(1, d.size.Millicores()))/float64(max(1, s.free.Millicores())))
		s.end.draw = s.score
		s.score -= 0.5 * (s.slowness - 1)
		s.score -= slowdownWeight * (s.slowdown - 1)
		s.score -= s.rankOffset()

		if d.prefers(*s) {
			s.score += preferredOffset
		}
	}

	if isUneven(servers) {
		d.orderByEnd(servers)
	} else {
		slices.SortFunc(servers, func(a, b Server) int { return cmp.Compare(b.score, a.score) })
	}

	remaining := d.tasks

	for _, s := range servers {
		if remaining == 0 {
			break
		}

		k := min(remaining, s.freeTasks)
		if k > 0 {
			requested[s.id] = k
			remaining -= k
		}
	}

	return remaining
}

// requestQueued requests capacity that has yet to become free.
func (d Demand) requestQueued(servers []Server, requested map[uint64]int, shortfall int, random *rand.Rand) {
	further := 0.0
	if isUneven(servers) { // a queue takes about one run time for each multiple of the capacity, and the task one more
		further = 1
	}

	for i := range servers {
		s := &servers[i]
		s.score = (float64(s.queued)/float64(s.capacity)+further)*s.slowness + 0.05*random.Float64() + s.rankOffset()
	}

	slices.SortFunc(servers, func(a, b Server) int { return cmp.Compare(a.score, b.score) })

	toRequest := int(float64(shortfall)*d.requestFactor()+1) - d.outstanding

	for toRequest > 0 {
		previous := toRequest

		for _, s := range servers {
			if toRequest > 0 && requested[s.id] < d.maxTasksAt(s) && requested[s.id] < s.maxTasks(d.size) {
				requested[s.id]++
				toRequest--
			}
		}

		if toRequest == previous {
			return
		}
	}
}

// maxTasks returns how many tasks of the size the backend server can run at once when it is idle.
func (s Server) maxTasks(size job.Size) int {
	if size.Millicores() == 0 {
		return 1 << 20
	}

	return int(s.capacity / size.Millicores())
}
