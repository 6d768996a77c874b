package adminapi

// PlacementExplanation is an entry's response to GET /v1/explain-placement: what it would do now with a repeatable job that
// was not sent.
type PlacementExplanation struct {
	Kind    string `json:"kind"`
	Service string `json:"service"`
	Tasks   int    `json:"tasks"`
	// ExpectedRunMS is the run time of a task that the entry expects, from the estimate and the run times of the kind.
	ExpectedRunMS int64            `json:"expected_run_ms"`
	Admission     AdmissionFigures `json:"admission"`
	// Shortfall is the number of tasks without free capacity. For them more requests are planned than there are tasks.
	Shortfall int `json:"shortfall"`
	// Candidates has the servers that can run the job: first those that get requests, most requests first.
	Candidates []PlacementCandidate `json:"candidates"`
	// LeftOut has the connected servers that can't.
	LeftOut []LeftOutServer `json:"left_out"`
	// CandidatesNotListed and LeftOutNotListed count the servers beyond the longest lists.
	CandidatesNotListed int    `json:"candidates_not_listed"`
	LeftOutNotListed    int    `json:"left_out_not_listed"`
	Note                string `json:"note"`
}

// AdmissionFigures is the decision on the arrival of a job, with the load that decided it.
type AdmissionFigures struct {
	Admitted bool `json:"admitted"`
	// Reason and RetryAfterMS are set for a refusal, MaxWaitMS otherwise.
	Reason         string      `json:"reason,omitempty"`
	RetryAfterMS   int64       `json:"retry_after_ms,omitempty"`
	MaxWaitMS      int64       `json:"max_wait_ms,omitempty"`
	ExpectedWaitMS int64       `json:"expected_wait_ms"`
	UsableSlackMS  int64       `json:"usable_slack_ms"`
	ObjectiveMS    int64       `json:"objective_ms"`
	Load           LoadFigures `json:"load"`
}

// LoadFigures is the load of a service as an entry sees it for a job. CPU is in millicores, ReleaseRate in millicores per
// second.
type LoadFigures struct {
	Servers          int   `json:"servers"`
	Elsewhere        int   `json:"servers_in_other_regions"`
	Free             int64 `json:"free"`
	Queued           int64 `json:"queued"`
	Capacity         int64 `json:"capacity"`
	Running          int64 `json:"running"`
	PriorityCapacity int64 `json:"priority_capacity"`
	ReleaseRate      int64 `json:"release_rate"`
	LargestCPU       int64 `json:"largest_server_cpu"`
	LargestMemoryMB  int64 `json:"largest_server_memory_mb"`
	WarmUpMS         int64 `json:"warm_up_ms"`
}

// PlacementCandidate is a backend server that can run a job. CPU is in millicores.
type PlacementCandidate struct {
	Sidecar       string `json:"sidecar"`
	FailureDomain string `json:"failure_domain"`
	// Requests is the number of reservations that the plan requests there; Reason is why it requests none.
	Requests     int    `json:"requests"`
	Reason       string `json:"reason,omitempty"`
	FreeTasks    int    `json:"free_tasks"`
	FreeCPU      int64  `json:"free_cpu"`
	FreeMemoryMB int64  `json:"free_memory_mb"`
	QueuedCPU    int64  `json:"queued_cpu"`
	CapacityCPU  int64  `json:"capacity_cpu"`
	// Slowness is the ratio of the server's run times to the expected ones, Slowdown the further one beside what runs there.
	Slowness   float64 `json:"slowness"`
	Slowdown   float64 `json:"slowdown"`
	Suspect    bool    `json:"suspect"`
	LastResort bool    `json:"last_resort"`
	Preferred  bool    `json:"preferred"`
}

// LeftOutServer is a backend server that can't run a job, with the reason.
type LeftOutServer struct {
	Sidecar       string `json:"sidecar"`
	FailureDomain string `json:"failure_domain"`
	Reason        string `json:"reason"`
}
