package caller

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/google/uuid"

	"github.com/skylarkweir/skylarkweir/weir/process/admission"
	"github.com/skylarkweir/skylarkweir/weir/request/fault"
	"github.com/skylarkweir/skylarkweir/weir/request/job"
	"github.com/skylarkweir/skylarkweir/weir/version/agreement"
	"github.com/skylarkweir/skylarkweir/weir/version/ledger"
)

const (
	// maxAttempts is how often a task of a repeatable job may fail before the job fails.
	maxAttempts = 3
	// objectiveStretch is the multiple of the run time that the objective allows for the response time of a job.
	objectiveStretch = 1.6
	// defaultObjective is the default time that the objective allows in addition to the stretched run time.
	defaultObjective = 200 * time.Millisecond
	// millicoresPerCore converts cores to the unit of the dispatcher.
	millicoresPerCore = 1000
	// Priorities of urgent kinds and of other kinds.
	urgentPriority, normalPriority = 0, 1
)

// Dispatcher runs repeatable jobs.
type Dispatcher interface {
	Submit(ctx context.Context, j job.Job) job.Outcome
}

// RepeatableJobs serves repeatable jobs. The entry that accepts a job owns it until it ends; neither the job nor its
// answer is stored.
type RepeatableJobs struct {
	dispatcher Dispatcher
	replica    *ledger.Replica
	maxTasks   int
	usage      memberUsage
}

// NewRepeatableJobs returns a RepeatableJobs that accepts jobs of at most maxTasks tasks.
func NewRepeatableJobs(d Dispatcher, replica *ledger.Replica, maxTasks int) *RepeatableJobs {
	return &RepeatableJobs{dispatcher: d, replica: replica, maxTasks: maxTasks}
}

// repeatableBody is a decoded body of a repeatable job.
type repeatableBody struct {
	kind, input                   string
	tasks, cores, memoryMB        int
	estimate, deadline, objective time.Duration
}

func decodeRepeatable(data []byte, maxTasks int) (repeatableBody, error) {
	b := repeatableBody{tasks: 1, cores: 1, deadline: defaultDeadline, objective: defaultObjective}

	err := decodeObject(data, "", func(name string, raw json.RawMessage) (err error) {
		switch name {
		case "kind":
			b.kind, err = decodeString(name, raw, maxKindBytes)
		case "input":
			var input []byte
			input, err = decodeBase64(name, raw)
			b.input = string(input)
		case "tasks":
			b.tasks, err = decodeInteger(name, raw, 1, maxTasks)
		case "cores":
			b.cores, err = decodeInteger(name, raw, 1, maxCores)
		case "memory_mb":
			b.memoryMB, err = decodeInteger(name, raw, 0, maxMemoryMB)
		case "estimate_ms":
			b.estimate, err = decodeMilliseconds(name, raw, 0)
		case "deadline_ms":
			b.deadline, err = decodeMilliseconds(name, raw, 1)
		case "objective_ms":
			b.objective, err = decodeMilliseconds(name, raw, 0)
		default:
			err = invalid(name, "%s is not a field of a repeatable job", quote([]byte(name)))
		}

		return err
	})
	if err == nil && b.kind == "" {
		err = invalid("kind", "kind is missing")
	}

	return b, err
}

func decodeMilliseconds(field string, raw json.RawMessage, minimum int) (time.Duration, error) {
	ms, err := decodeInteger(field, raw, minimum, int(maxDeadline/time.Millisecond))

	return time.Duration(ms) * time.Millisecond, err
}

// checkKind returns the kind of the job, or an error if the agreement does not allow the job.
func (b repeatableBody) checkKind(s *ledger.State) (agreement.Kind, error) {
	k, found := s.Agreement().Kind(b.kind)

	switch {
	case !found:
		return k, invalid("kind", "kind %s is not in the agreement", quote([]byte(b.kind)))
	case b.cores > k.MaxCores():
		return k, fault.WithField(
			fault.New(fault.NeverRunnable, "a task of kind %s may request at most %d cores", b.kind, k.MaxCores()), "cores")
	}

	return k, nil
}

// job returns the dispatcher's job. Jobs with the same id are one job.
func (b repeatableBody) job(id string, k agreement.Kind) job.Job {
	priority := normalPriority
	if k.Urgent() {
		priority = urgentPriority
	}

	return job.New(
		id, b.input, b.tasks, job.NewSize(int64(b.cores)*millicoresPerCore, int64(b.memoryMB)), b.estimate, b.deadline,
		job.NewPolicy(k.Name(), k.Service(), priority, maxAttempts, objectiveStretch, b.objective), job.Constraints{})
}

func (s *Server) repeatable(w http.ResponseWriter, r *http.Request, member string) Reply {
	data, err := s.readBody(w, r)
	if err != nil {
		return Refuse(err, "")
	}

	key := r.Header.Get(keyHeader)
	if key == "" {
		key = uuid.NewString()
	}

	return s.jobs.serve(r.Context(), member, key, data)
}

func (j *RepeatableJobs) serve(ctx context.Context, member, key string, data []byte) Reply {
	b, err := decodeRepeatable(data, j.maxTasks)
	if err != nil {
		return Refuse(err, "")
	}

	state := j.replica.State()

	k, err := b.checkKind(state)
	if err != nil {
		return Refuse(err, "")
	}

	used := jobKey{member, key}
	if !j.usage.reserve(used, b.cores*b.tasks, memberShare(state, member)) {
		return Refuse(fault.New(fault.Overloaded,
			"the active jobs of member %s leave too few cores of its share at this entry for this job", member), "")
	}
	defer j.usage.release(used)

	start := time.Now()
	o := j.dispatcher.Submit(ctx, b.job(member+"/"+key, k))

	if _, completed := o.(job.Completed); !completed && time.Since(start) >= b.deadline {
		return Refuse(fault.WithRan(
			fault.New(fault.DeadlineExceeded, "the job has not ended within %s", b.deadline), ranOf(o)), key)
	}

	return replyOf(key, o)
}

func replyOf(key string, o job.Outcome) Reply {
	switch v := o.(type) {
	case job.Completed:
		body, _ := json.Marshal(struct {
			Job   string `json:"job"`
			State string `json:"state"`
		}{key, stateComplete})

		return NewReply(http.StatusOK, body, nil)
	case job.Refused:
		return Refuse(fault.WithRetryAfter(fault.New(refusalKind(v.Reason()), "%s", v.Reason()), v.RetryAfter()), key)
	case job.Failed:
		return Refuse(fault.New(fault.TaskFailed, "a task has failed %d times", maxAttempts), key)
	case job.Cancelled:
		return Refuse(fault.New(fault.Cancelled, "the job was cancelled"), key)
	case job.Interrupted:
		return Refuse(fault.New(fault.BackendFailed, "%s", v.Reason()), key)
	default:
		return Refuse(fault.New(fault.Internal, "unknown type of job outcome"), key)
	}
}

// refusalKind returns the error kind for the reason of a refusal.
func refusalKind(reason string) fault.Kind {
	switch reason {
	case admission.NoServers, admission.NoServersInRegions, admission.AllEvacuated, admission.LabelEvacuated:
		return fault.NoWorkers
	case admission.TooLarge:
		return fault.NeverRunnable
	default:
		return fault.Overloaded
	}
}

func ranOf(o job.Outcome) fault.Ran {
	if _, refused := o.(job.Refused); refused {
		return fault.RanNone
	}

	return fault.RanSome
}
