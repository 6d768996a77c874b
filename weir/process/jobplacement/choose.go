// Package spread chooses the backend servers for the tasks of a whole job.
//
// It answers a load in which a job of many tasks ends with its slowest one: tasks go where they can start at once, and
// what finds no free room is asked for at more places than needed, where the least waits, so that the job takes the
// places that become free first. Among many entries it answers that all of them see the same room: each chooses at
// random, weighted by it.
package jobplacement

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/skylarkweir/skylarkweir/weir/request/job"
)

// Server is what is known of a backend server.
type Server struct {
	id     uint64
	free   job.Size
	queued int64
	// capacity is in thousandths of a core.
	capacity  int64
	slowness  float64
	labels    []string
	freeTasks int
	score     float64
}

// NewServer returns a backend server with free room, queued thousandths of a core of at least the job's urgency, a
// capacity in thousandths of a core, its run times in proportion to what is expected, and its labels.
func NewServer(id uint64, free job.Size, queued, capacity int64, slowness float64, labels []string) Server {
	return Server{id: id, free: free, queued: queued, capacity: max(1, capacity), slowness: max(minSlowness, slowness), labels: labels}
}

const (
	minSlowness = 0.1
	// excessRun is the run time for which twice the places are asked for that find no free room. A place that turns out to
	// be one too many is idle for a round trip, which matters less beside a long run than waiting for the slowest place.
	doubleRequestRunTime = 60 * time.Millisecond
	// maxExcess bounds the places asked for in proportion to those that find no free room.
	maxRequestFactor = 2.5
	// slow is the slowness from which on a backend server is used only when the others are full.
	slowThreshold = 2.0
)

// Need is what has to be placed.
type Demand struct {
	tasks       int
	size        job.Size
	constraints job.Constraints
	// run is the expected run time of a task, zero if it is not known.
	runTime time.Duration
}

// NewNeed returns a need for places, each for the expected run time of a task.
func NewDemand(tasks int, size job.Size, constraints job.Constraints, runTime time.Duration) Demand {
	return Demand{tasks, size, constraints, runTime}
}

// excess returns how many places are asked for in proportion to those that find no free room.
func (d Demand) requestFactor() float64 {
	return min(maxRequestFactor, 1+float64(doubleRequestRunTime)/float64(max(d.runTime, time.Millisecond)))
}

// Ask is a number of places to ask for at a backend server.
type Request struct {
	id    uint64
	tasks int
}

// ID returns the backend server.
func (a Request) ID() uint64 { return a.id }

// Tasks returns the number of places.
func (a Request) Tasks() int { return a.tasks }

// Plan is the outcome: what to ask for, and how many tasks found no free room.
type Plan struct {
	requests  []Request
	shortfall int
}

// Asks returns what to ask for, each backend server at most once.
func (p Plan) Requests() []Request { return p.requests }

// Short returns the number of tasks that found no free room.
func (p Plan) Shortfall() int { return p.shortfall }

// Share returns the part of the places asked for that a job needs beyond those that it has asked for before and that
// are not answered. Without it a job that asks again would count as queued several times.
func (p Plan) NeededShare(missing, outstanding int) float64 {
	total := 0
	for _, a := range p.requests {
		total += a.tasks
	}

	return min(1, float64(max(0, missing-outstanding))/float64(max(1, total)))
}

// Choose plans the places of a job. It changes the order of servers.
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

// limit is the most tasks of the job on one backend server.
func (d Demand) maxTasksPerServer() int {
	if d.constraints.MaxTasksPerServer() > 0 {
		return d.constraints.MaxTasksPerServer()
	}

	return d.tasks
}

// free takes free room and returns how many tasks are left.
func (d Demand) requestFree(servers []Server, requested map[uint64]int, random *rand.Rand) int {
	for i := range servers {
		s := &servers[i]
		s.freeTasks = s.free.CountFitting(d.size, d.maxTasksPerServer())
		// The share of room that stays free, with a random part so that entries with the same view choose differently.
		// A random order weighted by room: with the emptiest first, all entries with the same view would choose the same.
		s.score = math.Pow(random.Float64(), float64(max(1, d.size.Millicores()))/float64(max(1, s.free.Millicores())))
		s.score -= 0.5 * (s.slowness - 1)

		if s.slowness >= slowThreshold {
			s.score -= 10
		}

		if p := d.constraints.PreferredLabel(); p != "" && slices.Contains(s.labels, p) {
			s.score += 20
		}
	}

	slices.SortFunc(servers, func(a, b Server) int { return cmp.Compare(b.score, a.score) })

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

// queue asks for places that have to become free.
func (d Demand) requestQueued(servers []Server, requested map[uint64]int, shortfall int, random *rand.Rand) {
	for i := range servers {
		s := &servers[i]
		s.score = float64(s.queued)/float64(s.capacity)*s.slowness + 0.05*random.Float64()

		if s.slowness >= slowThreshold {
			s.score += 10
		}
	}

	slices.SortFunc(servers, func(a, b Server) int { return cmp.Compare(a.score, b.score) })

	toRequest := int(float64(shortfall)*d.requestFactor() + 1)

	for toRequest > 0 {
		previous := toRequest

		for _, s := range servers {
			if toRequest > 0 && requested[s.id] < d.maxTasksPerServer() && requested[s.id] < s.maxTasks(d.size) {
				requested[s.id]++
				toRequest--
			}
		}

		if toRequest == previous {
			return
		}
	}
}

// whole returns how many tasks of the size the whole backend server runs at once.
func (s Server) maxTasks(size job.Size) int {
	if size.Millicores() == 0 {
		return 1 << 20
	}

	return int(s.capacity / size.Millicores())
}
