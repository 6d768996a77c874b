// Package adminapi defines the JSON bodies of the admin HTTP API between entries or sidecars and weirctl, and the check
// of the operators' token.
package adminapi

import (
	"encoding/json"
	"time"
)

// EntryStatus is an entry's response to GET /v1/status.
type EntryStatus struct {
	Entry            Entry    `json:"entry"`
	Ready            bool     `json:"ready"`
	Reason           string   `json:"reason,omitempty"`
	Draining         bool     `json:"draining"`
	UptimeMS         int64    `json:"uptime_ms"`
	Position         int64    `json:"position"`
	LogPosition      int64    `json:"log_position"`
	LogHealthy       bool     `json:"log_healthy"`
	AgreementVersion int64    `json:"agreement_version"`
	Workers          []Worker `json:"workers"`
	Peers            []Entry  `json:"peers"`
	// InterferingPairs has the pairs of kinds that the entry keeps apart.
	InterferingPairs []InterferingPair `json:"interfering_pairs,omitempty"`
	// Evacuations are those in force at the entry.
	Evacuations Evacuations `json:"evacuations"`
}

// InterferingPair is a kind whose tasks run longer beside tasks of another kind, as one entry has learned.
type InterferingPair struct {
	Kind   string `json:"kind"`
	Beside string `json:"beside"`
	// Factor is by how much longer they run, Score the estimate in standard errors, Tasks the number of tasks beside the other
	// kind that it rests on.
	Factor float64 `json:"factor"`
	Score  float64 `json:"score"`
	Tasks  int     `json:"tasks"`
	AgeMS  int64   `json:"age_ms"`
}

// Evacuations are the evacuated failure domains, as a process knows them.
type Evacuations struct {
	Domains []string `json:"domains"`
	// Position is the offset in the log after the last record of an evacuation, zero if nothing is known.
	Position int64 `json:"position"`
	// AgeMS is the time since the log confirmed the domains last, in ms, or zero if it never has.
	AgeMS int64 `json:"age_ms"`
}

// Entry is the identity of an entry as the log and its peers hold it.
type Entry struct {
	Name          string `json:"name"`
	Incarnation   uint64 `json:"incarnation,string"`
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
}

// Worker is the state of a worker from the view of one entry.
type Worker struct {
	Name          string `json:"name"`
	Incarnation   uint64 `json:"incarnation,string"`
	FailureDomain string `json:"failure_domain"`
	Rack          string `json:"rack"`
	Slots         int    `json:"slots"`
	MemoryMB      int    `json:"memory_mb"`
	Registered    bool   `json:"registered"`
	Leaving       bool   `json:"leaving"`
	Ejected       bool   `json:"ejected"`
	// Evacuated reports whether the operator has evacuated the failure domain of the worker.
	Evacuated       bool  `json:"evacuated"`
	Suspect         bool  `json:"suspect"`
	SinceContactMS  int64 `json:"heard_ms_ago"`
	Load            int   `json:"load"`
	Outstanding     int   `json:"outstanding"`
	FailurePermille int   `json:"failure_permille"`
}

// Show is an entry's response to GET /v1/show.
type Show struct {
	Version     int64           `json:"version"`
	Operator    string          `json:"operator,omitempty"`
	PublishedAt string          `json:"published_at,omitempty"`
	Position    int64           `json:"position"`
	Agreement   json.RawMessage `json:"agreement,omitempty"`
	Workers     []Registration  `json:"workers"`
	Entries     []Entry         `json:"entries"`
}

// Registration is a worker as registered in the log.
type Registration struct {
	Name          string   `json:"name"`
	Incarnation   uint64   `json:"incarnation,string"`
	FailureDomain string   `json:"failure_domain"`
	Rack          string   `json:"rack"`
	Slots         int      `json:"slots"`
	MemoryMB      int      `json:"memory_mb"`
	Services      []string `json:"services,omitempty"`
	Joined        int64    `json:"joined"`
}

// SidecarStatus is a sidecar's response to GET /v1/status.
type SidecarStatus struct {
	Worker          string         `json:"worker"`
	Incarnation     uint64         `json:"incarnation,string"`
	Version         int64          `json:"version"`
	Position        int64          `json:"position"`
	Registered      bool           `json:"registered"`
	Leaving         bool           `json:"leaving"`
	Suspect         bool           `json:"suspect"`
	FailurePermille uint32         `json:"failure_permille"`
	Slots           uint32         `json:"slots"`
	HeldSlots       uint32         `json:"held_slots"`
	QueuedSlots     uint32         `json:"queued_slots"`
	Kinds           []KindLoad     `json:"kinds"`
	Members         []MemberLoad   `json:"members"`
	Entries         []EntrySession `json:"entries"`
	Table           StartTable     `json:"table"`
}

// KindLoad is the load of one kind at a sidecar.
type KindLoad struct {
	Kind         string `json:"kind"`
	HeldSlots    uint32 `json:"held_slots"`
	QueuedSlots  uint32 `json:"queued_slots"`
	AcceptsTasks bool   `json:"room"`
}

// MemberLoad is the load of one member at a sidecar.
type MemberLoad struct {
	Member      string `json:"member"`
	HeldSlots   int    `json:"held_slots"`
	QueuedSlots int    `json:"queued_slots"`
	Allowance   int    `json:"allowance"`
	Target      int    `json:"target"`
}

// EntrySession is the connection of a sidecar to an entry.
type EntrySession struct {
	Entry   string `json:"entry"`
	Address string `json:"address"`
	Epoch   uint64 `json:"epoch"`
	Leased  bool   `json:"leased"`
}

// StartTable is the size of a sidecar's table of starts.
type StartTable struct {
	Starts     int   `json:"starts"`
	Tombstones int   `json:"tombstones"`
	Bytes      int64 `json:"bytes"`
}

// Explanation is an entry's response to GET /v1/explain/{id}.
type Explanation struct {
	Submission  string    `json:"submission"`
	Home        string    `json:"home"`
	Incarnation uint64    `json:"incarnation"`
	Sequence    uint64    `json:"sequence"`
	Member      string    `json:"member"`
	Position    int64     `json:"position"`
	Expiry      time.Time `json:"expiry"`
	// Workers are those that may run tasks of the submission. The list is absent if the entry's ledger replica does not
	// cover the position of the ticket.
	Workers []string `json:"workers,omitempty"`
	Held    bool     `json:"held"`
	State   string   `json:"state,omitempty"`
	Status  int      `json:"status,omitempty"`
	Ended   int      `json:"ended"`
	Total   int      `json:"total"`
	// Decisions holds the latest ones, oldest first.
	Decisions []Decision `json:"decisions,omitempty"`
}

// Decision is a decision that the home of a submission made about one of its tasks.
type Decision struct {
	Time   time.Time `json:"time"`
	Event  string    `json:"event"`
	Task   int       `json:"task"`
	Choice string    `json:"choice,omitempty"`
	Reason string    `json:"reason,omitempty"`
}
