package caller

import (
	"encoding/json"
	"math/rand/v2"
	"strings"
	"time"
)

// Forms of a submission, as the settings of a load name them.
const (
	formJob        = "job"
	formRequest    = "request"
	formRepeatable = "repeatable"
)

// Submission is a job or a request. It is immutable.
type Submission struct {
	kind, form string
	inputs     [][]byte
	cores      int
	memoryMB   int
	deadline   time.Duration
	// idealTime is the run time of the longest task.
	idealTime time.Duration
	// coreTime is the sum over the tasks of the run time times the cores.
	coreTime time.Duration
}

// NewJob returns a job with one task of one core for each input and a deadline of 30 s.
func NewJob(kind string, inputs ...[]byte) Submission {
	return Submission{kind: kind, form: formJob, inputs: inputs, cores: 1, deadline: 30 * time.Second}
}

// NewRequest returns a request of one core with a deadline of 30 s. A repeatable request may run more than once.
func NewRequest(kind string, repeatable bool, input []byte) Submission {
	s := NewJob(kind, input)
	if s.form = formRequest; repeatable {
		s.form = formRepeatable
	}

	return s
}

// WithDeadline returns a copy of s with another deadline.
func (s Submission) WithDeadline(d time.Duration) Submission { s.deadline = d; return s }

// WithSize returns a copy of s with other declared cores and memory of each task.
func (s Submission) WithSize(cores, memoryMB int) Submission {
	s.cores, s.memoryMB = cores, memoryMB

	return s
}

// Kind returns the name of the kind of work.
func (s Submission) Kind() string { return s.kind }

// Repeatable reports whether s is a request that may run more than once.
func (s Submission) Repeatable() bool { return s.form == formRepeatable }

// Inputs returns the inputs of the tasks.
func (s Submission) Inputs() [][]byte { return s.inputs }

// IdealTime returns the time that the submission needs on an idle system with unlimited capacity.
func (s Submission) IdealTime() time.Duration { return s.idealTime }

// generate returns a random submission of the kind. The order of the draws from r determines the load of a seed.
func (k Kind) generate(r *rand.Rand) Submission {
	s := Submission{
		kind: k.Name, form: k.Form, cores: k.Cores, memoryMB: k.MemoryMB, deadline: k.Deadline.Value(),
	}

	padding := strings.Repeat("x", k.Padding)

	for range k.MinTasks + r.IntN(k.MaxTasks-k.MinTasks+1) {
		d := k.RunTime
		if r.Float64() < k.TailShare {
			d = k.TailRunTime
		}

		run := max(d.Draw(r).Round(time.Microsecond), 0)
		s.inputs = append(s.inputs, TaskInput(run, r.Uint64(), padding))
		s.idealTime = max(s.idealTime, run)
		s.coreTime += run * time.Duration(k.Cores)
	}

	return s
}

// submissionBody is the JSON form of a job or a request in the HTTP interface for callers.
type submissionBody struct {
	Kind       string     `json:"kind"`
	Tasks      []taskBody `json:"tasks,omitempty"`
	Input      *[]byte    `json:"input,omitempty"`
	Repeatable bool       `json:"repeatable,omitempty"`
	Cores      int        `json:"cores"`
	MemoryMB   int        `json:"memory_mb"`
	DeadlineMS int64      `json:"deadline_ms"`
}

type taskBody struct {
	Input []byte `json:"input"`
}

func (s Submission) path() string {
	if s.form == formJob {
		return "/v1/jobs"
	}

	return "/v1/requests"
}

func (s Submission) body() []byte {
	b := submissionBody{
		Kind: s.kind, Repeatable: s.form == formRepeatable, Cores: s.cores, MemoryMB: s.memoryMB,
		DeadlineMS: s.deadline.Milliseconds(),
	}

	if s.form == formJob {
		for _, i := range s.inputs {
			b.Tasks = append(b.Tasks, taskBody{i})
		}
	} else {
		b.Input = &s.inputs[0]
	}

	text, _ := json.Marshal(b)

	return text
}
