package jobplacement

import "github.com/skylarkweir/skylarkweir/weir/request/job"

// ID returns the ID of the backend server.
func (s Server) ID() uint64 { return s.id }

// Free returns the free CPU and memory.
func (s Server) Free() job.Size { return s.free }

// Queued returns the CPU of requests that are at least as urgent as the job, in millicores.
func (s Server) Queued() int64 { return s.queued }

// Capacity returns the CPU that the backend server takes at present, in millicores.
func (s Server) Capacity() int64 { return s.capacity }

// Slowness returns the ratio of the measured run times to the expected ones.
func (s Server) Slowness() float64 { return s.slowness }

// Slowdown returns the further ratio of run times for the job, 1 if it is unknown.
func (s Server) Slowdown() float64 { return s.slowdown }

// IsLastResort reports whether the server is used only when the others are full.
func (s Server) IsLastResort() bool { return s.lastResort }

// FreeTasks returns how many of the tasks may start at a backend server at once.
func (d Demand) FreeTasks(s Server) int { return s.free.CountFitting(d.size, d.maxTasksAt(s)) }

// Reasons for which a plan requests nothing at a backend server.
const (
	TaskTooLarge  = "a task needs more CPU than the server takes"
	NoFree        = "no free capacity for a task, and the others have enough"
	OthersFirst   = "others with free capacity come first"
	ShorterQueues = "the queues of others are shorter"
	LimitUsed     = "the limit of the job on one server is used up"
)

// ReasonUnused returns why a plan for the demand requests nothing at one of its servers.
func (d Demand) ReasonUnused(s Server, p Plan) string {
	switch {
	case d.maxTasksAt(s) == 0:
		return LimitUsed
	case s.maxTasks(d.size) == 0:
		return TaskTooLarge
	case p.shortfall > 0:
		return ShorterQueues
	case d.FreeTasks(s) == 0:
		return NoFree
	default:
		return OthersFirst
	}
}
