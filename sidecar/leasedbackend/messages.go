package leasedbackend

import (
	"time"

	"github.com/skylarkweir/skylarkweir/sidecar/repeatable"
)

// Paths of the interface.
const (
	StatusPath = "/leased"
	StartPath  = "/leased/start"
	StopPath   = "/leased/stop"
	WatchPath  = "/leased/watch"
)

// About is what a backend server says of its present life.
type Status struct {
	Instance string `json:"instance"`
	// BornMS is the start of the life in Unix milliseconds.
	StartedAtMS int64 `json:"born_ms"`
	Draining    bool  `json:"draining"`
}

// Run names one start of a task.
type Run struct {
	Job   string `json:"job"`
	Index uint32 `json:"index"`
	// Number rises with each start of the task.
	Number int64 `json:"number"`
}

// NewRun returns the body of a run.
func NewRun(r repeatable.Run) Run { return Run{r.Task().Job(), r.Task().Index(), r.Number()} }

// Decode returns the run.
func (r Run) Decode() repeatable.Run {
	return repeatable.NewRun(repeatable.NewTask(r.Job, r.Index), r.Number)
}

// Permit is what each call proves and grants.
type Permit struct {
	Instance string `json:"instance"`
	Token    int64  `json:"token"`
	// UntilMS is the end of the lease on the backend server's clock; zero renews nothing.
	LeaseEndMS int64 `json:"until_ms"`
}

// NewPermit returns the body of a permit.
func NewPermit(p repeatable.Permit) Permit {
	return Permit{p.Instance(), p.Token(), p.LeaseEnd().Milliseconds()}
}

// Decode returns the permit.
func (p Permit) Decode() repeatable.Permit {
	return repeatable.NewPermit(p.Instance, p.Token, time.Duration(p.LeaseEndMS)*time.Millisecond)
}

// Start asks for the start of a run.
type StartRequest struct {
	Run    Run    `json:"run"`
	Input  string `json:"input"`
	Permit Permit `json:"permit"`
}

// Started answers a start.
type StartResponse struct {
	// Answer is the name of a repeatable.Answer.
	Result  string `json:"answer"`
	ClockMS int64  `json:"clock_ms"`
}

// Stop asks for the end of a run.
type StopRequest struct {
	Run    Run    `json:"run"`
	Permit Permit `json:"permit"`
}

// Watch acknowledges ends, renews the lease and waits for an end.
type WatchRequest struct {
	// Seen is the number of the last end that is acknowledged.
	LastEnd uint64 `json:"seen"`
	WaitMS  int64  `json:"wait_ms"`
	Permit  Permit `json:"permit"`
}

// View answers a watch.
type WatchResponse struct {
	ClockMS     int64 `json:"clock_ms"`
	StartedAtMS int64 `json:"born_ms"`
	// Fenced means that a higher fencing token is in use; the rest is empty then.
	Fenced  bool       `json:"fenced"`
	Running []Run      `json:"running"`
	Ended   []EndedRun `json:"ended"`
}

// End is the end of a run.
type EndedRun struct {
	// Number rises with each end of a life.
	Number uint64 `json:"number"`
	Run    Run    `json:"run"`
	// How is the name of a repeatable.How.
	Outcome string `json:"how"`
}
