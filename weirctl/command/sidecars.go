package command

// sidecars is the option that names the admin addresses of sidecars. They are not in the log state.
type sidecars struct {
	Sidecars []string `long:"sidecar" env:"WEIRCTL_SIDECARS" env-delim:"," value-name:"URL" description:"Admin address of a sidecar, for example http://127.0.0.1:7201; repeatable"`
}

// sidecarAnswer is the answer of a sidecar to GET /v1/status.
type sidecarAnswer struct {
	Worker      string          `json:"worker"`
	Version     int64           `json:"version"`
	Position    int64           `json:"position"`
	Registered  bool            `json:"registered"`
	Leaving     bool            `json:"leaving"`
	Suspect     bool            `json:"suspect"`
	Slots       int             `json:"slots"`
	HeldSlots   int             `json:"held_slots"`
	QueuedSlots int             `json:"queued_slots"`
	Kinds       []sidecarKind   `json:"kinds"`
	Members     []sidecarMember `json:"members"`
}

type sidecarKind struct {
	Kind        string `json:"kind"`
	HeldSlots   int    `json:"held_slots"`
	QueuedSlots int    `json:"queued_slots"`
}

type sidecarMember struct {
	Member    string `json:"member"`
	HeldSlots int    `json:"held_slots"`
	Allowance int    `json:"allowance"`
}
