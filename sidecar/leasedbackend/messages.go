package leasedbackend

import (
	"time"

	"github.com/skylarkweir/skylarkweir/sidecar/repeatable"
)

// Paths of the HTTP interface.
const (
	StatusPath = "/leased"
	StartPath  = "/leased/start"
	StopPath   = "/leased/stop"
	WatchPath  = "/leased/watch"
)

// Status describes the current incarnation of a backend server.
type Status struct {
	Instance string `json:"instance"`
	// StartedAtMS is the start of the incarnation in Unix milliseconds.
	StartedAtMS int64 `json:"born_ms"`
	Draining    bool  `json:"draining"`
}

// Run identifies one start of a task.
type Run struct {
	Job   string `json:"job"`
	Index uint32 `json:"index"`
	// Number increases with each start of the task.
	Number int64 `json:"number"`
}

// NewRun returns the JSON form of a run.
func NewRun(r repeatable.Run) Run { return Run{r.Task().Job(), r.Task().Index(), r.Number()} }

// Decode returns the run that the JSON form describes.
func (r Run) Decode() repeatable.Run {
	return repeatable.NewRun(repeatable.NewTask(r.Job, r.Index), r.Number)
}

// Permit authorizes a call and renews the lease.
type Permit struct {
	Instance string `json:"instance"`
	Token    int64  `json:"token"`
	// LeaseEndMS is the end of the lease on the backend server's clock; zero does not renew the lease.
	LeaseEndMS int64 `json:"until_ms"`
}

// NewPermit returns the JSON form of a permit.
func NewPermit(p repeatable.Permit) Permit {
	return Permit{p.Instance(), p.Token(), p.LeaseEnd().Milliseconds()}
}

// Decode returns the permit that the JSON form describes.
func (p Permit) Decode() repeatable.Permit {
	return repeatable.NewPermit(p.Instance, p.Token, time.Duration(p.LeaseEndMS)*time.Millisecond)
}

// StartRequest starts a run.
type StartRequest struct {
	Run    Run    `json:"run"`
	Input  string `json:"input"`
	Permit Permit `json:"permit"`
}

// StartResponse answers a StartRequest.
type StartResponse struct {
	// Result is the name of a repeatable.StartResult.
	Result  string `json:"answer"`
	ClockMS int64  `json:"clock_ms"`
}

// StopRequest stops a run.
type StopRequest struct {
	Run    Run    `json:"run"`
	Permit Permit `json:"permit"`
}

// WatchRequest acknowledges ended runs, renews the lease and waits for a run to end.
type WatchRequest struct {
	// LastEnd is the number of the last ended run that is acknowledged.
	LastEnd uint64 `json:"seen"`
	WaitMS  int64  `json:"wait_ms"`
	Permit  Permit `json:"permit"`
}

// WatchResponse answers a WatchRequest.
type WatchResponse struct {
	ClockMS     int64 `json:"clock_ms"`
	StartedAtMS int64 `json:"born_ms"`
	// Fenced means that a higher fencing token is in use; only ClockMS is set in this case.
	Fenced  bool       `json:"fenced"`
	Running []Run      `json:"running"`
	Ended   []EndedRun `json:"ended"`
}

// EndedRun is a run that has ended.
type EndedRun struct {
	// Number increases with each run that ends in an incarnation.
	Number uint64 `json:"number"`
	Run    Run    `json:"run"`
	// Outcome is the name of a repeatable.Outcome.
	Outcome string `json:"how"`
}
