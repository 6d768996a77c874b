package process

import (
	"bytes"
	"net/netip"
	"os"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/rs/zerolog"

	"github.com/skylarkweir/skylarkweir/weir/connection/callerlimit"
	"github.com/skylarkweir/skylarkweir/weir/process/jobmemory"
	"github.com/skylarkweir/skylarkweir/weir/process/settings"
	"github.com/skylarkweir/skylarkweir/weir/request/ticket"
)

// minTicketKeyBytes is the length of the HMAC in a ticket: a shorter key would be easier to guess than the HMAC.
const minTicketKeyBytes = 16

// file is the settings file. Its fields are exported for the decoder.
type file struct {
	Name           string            `json:"name" doc:"name of the entry, unique in the system"`
	FailureDomain  string            `json:"failure_domain" doc:"failure domain of the entry" default:""`
	Callers        netip.AddrPort    `json:"callers" doc:"TCP address of the callers' HTTP API; port 0 lets the kernel choose" default:"127.0.0.1:0"`
	Admin          netip.AddrPort    `json:"admin" doc:"TCP address of the admin HTTP API; port 0 lets the kernel choose" default:"127.0.0.1:0"`
	AdminTokenFile string            `json:"admin_token_file" doc:"file with the token that operators' requests to the admin API must carry; empty means that no token is required" default:""`
	Listen         netip.AddrPort    `json:"listen" doc:"UDP address for QUIC; port 0 lets the kernel choose" default:"127.0.0.1:0"`
	Advertise      string            `json:"advertise" doc:"UDP address at which other processes reach this entry; empty means the address of listen" default:""`
	Peers          []netip.AddrPort  `json:"peers" doc:"QUIC addresses of other entries to connect to at start" default:"[]"`
	LogService     string            `json:"log_service" doc:"address of the log service"`
	LogRetention   settings.Duration `json:"log_retention" doc:"how long the log keeps records" default:"1h" range:"1m.."`
	AppendBudget   int               `json:"append_budget" doc:"largest rate of appends to the log" unit:"appends/s" default:"20" range:"1..1000"`
	TicketKey      string            `json:"ticket_key" doc:"key that all entries sign tickets with, at least 16 bytes; either this or ticket_key_file" default:""`
	TicketKeyFile  string            `json:"ticket_key_file" doc:"file that holds the ticket key" default:""`
	TicketLifetime settings.Duration `json:"ticket_lifetime" doc:"lifetime of tickets; answers are kept that long" default:"5m" range:"1s..1h"`
	KeyLifetime    settings.Duration `json:"key_lifetime" doc:"largest accepted age of an idempotency key" default:"10m" range:"1s..14m"`
	Slots          int               `json:"slots" doc:"processors used, and requests decoded and decided concurrently" unit:"processors" default:"8" range:"1..1024"`
	Connections    int               `json:"connections" doc:"sidecar connections" unit:"connections" default:"64" range:"1..4096"`
	MaxTasks       int               `json:"max_tasks" doc:"largest number of tasks of a job" unit:"tasks" default:"1000" range:"1..100000"`
	MaxBody        settings.Bytes    `json:"max_body" doc:"largest body of a request" default:"32MB" range:"1KB..60MB"`
	CallerConns    int               `json:"caller_connections" doc:"largest number of callers' connections; while it is reached, connections that stall are closed for those that wait" unit:"connections" default:"4096" range:"8..1000000"`
	CallerMemory   settings.Bytes    `json:"caller_memory" doc:"memory for callers' bodies until they are decoded, 8 bytes for each byte of a body; while it is used up, bodies that stall are given up for those that wait" default:"512MB" range:"1MB..64GB"`
	QueueTasks     int               `json:"queue_tasks" doc:"largest number of tasks in the queue" unit:"tasks" default:"20000" range:"1..1000000"`
	Submissions    int               `json:"submissions" doc:"largest number of submissions held" unit:"submissions" default:"200000" range:"1..10000000"`
	AnswerMemory   settings.Bytes    `json:"answer_memory" doc:"memory for inputs and answers" default:"96MB" range:"1MB..64GB"`
	RememberedJobs int               `json:"remembered_jobs" doc:"largest number of repeatable jobs whose outcomes are remembered, and of cancelled ones, each with up to 400 bytes" unit:"jobs" default:"8192" range:"1..1000000"`
	EndedMemory    settings.Duration `json:"ended_job_memory" doc:"how long the outcome of a repeatable job is remembered; a copy of its submission gets it and runs nothing" default:"15s" range:"1s..10m"`
	CancelMemory   settings.Duration `json:"cancelled_job_memory" doc:"how long a cancelled repeatable job is remembered; a copy of its submission runs nothing" default:"1m" range:"1s..10m"`
	Interference   bool              `json:"separate_interfering_kinds" doc:"whether to learn which kinds of repeatable jobs slow each other down on one backend server, and to keep them apart where there is room" default:"false"`
	DrainDelay     settings.Duration `json:"drain_delay" doc:"time between the end of readiness and the refusal of new submissions" default:"2s" range:"0s..1m"`
	DrainLimit     settings.Duration `json:"drain_limit" doc:"longest wait for active submissions at shutdown" default:"150s" range:"0s..1h"`
	EntryLostAfter settings.Duration `json:"entry_lost_after" doc:"time without contact after which another entry is removed from the log; choose it longer than outages of the network between regions" default:"2h" range:"1s..168h"`
	LogLevel       string            `json:"log_level" doc:"least severe level that is logged" default:"info" range:"debug|info|warn|error"`
	LogSample      int               `json:"log_sample" doc:"log every n-th placed task only; refusals, warnings and errors are always logged" default:"1" range:"1..1000000"`
	Keys           keysFile          `json:"keys"`
}

type keysFile struct {
	Certificate string `json:"certificate" doc:"PEM file of the certificate"`
	Key         string `json:"key" doc:"PEM file of the private key"`
	Authority   string `json:"authority" doc:"PEM file of the authority that signs all certificates"`
}

// Check rejects values that the decoder accepts but the entry cannot run with.
func (f *file) Check() error {
	switch {
	case f.Name == "":
		return settings.KeyErrorf("name", "the name is empty")
	case f.LogService == "":
		return settings.KeyErrorf("log_service", "the address is empty")
	case (f.TicketKey == "") == (f.TicketKeyFile == ""):
		return settings.KeyErrorf("ticket_key", "exactly one of ticket_key and ticket_key_file is required")
	case f.TicketKey != "" && len(f.TicketKey) < minTicketKeyBytes:
		return settings.KeyErrorf(
			"ticket_key", "the key has %d bytes, at least %d are required", len(f.TicketKey), minTicketKeyBytes,
		)
	case f.KeyLifetime >= f.LogRetention:
		return settings.KeyErrorf("key_lifetime", "%s is not less than log_retention, %s", f.KeyLifetime, f.LogRetention)
	}

	if f.Advertise != "" {
		if _, err := netip.ParseAddrPort(f.Advertise); err != nil {
			return settings.KeyErrorf("advertise", "%q is not an IP address and port", f.Advertise)
		}
	}

	return nil
}

// callerLimits returns the limits of callers for a process that may open so many descriptors, zero if that is not known.
func (f *file) callerLimits(descriptors int) callerlimit.Limits {
	return callerlimit.NewLimits(f.CallerConns, f.CallerMemory.Value()).
		WithDescriptors(descriptors).
		WithBodyBytes(f.MaxBody.Value).
		WithMultiple(bodyMultiple)
}

// Settings are the validated settings of an entry.
type Settings struct{ file file }

// Load reads a settings file.
func Load(name string) (Settings, error) {
	var s Settings

	err := settings.Load(name, &s.file)

	return s, err
}

// Parse reads settings from text; name stands for the file in errors.
func Parse(name string, text []byte) (Settings, error) {
	var s Settings

	err := settings.Parse(name, text, &s.file)

	return s, err
}

// Name returns the name of the entry.
func (s Settings) Name() string { return s.file.Name }

// FailureDomain returns the failure domain of the entry.
func (s Settings) FailureDomain() string { return s.file.FailureDomain }

// Peers returns the QUIC addresses of other entries.
func (s Settings) Peers() []string {
	all := make([]string, 0, len(s.file.Peers))
	for _, p := range s.file.Peers {
		all = append(all, p.String())
	}

	return all
}

// TicketKey returns the key that tickets are signed with. White space at the end of ticket_key_file is not part of it.
func (s Settings) TicketKey() (ticket.Key, error) {
	if s.file.TicketKeyFile == "" {
		return ticket.Key(s.file.TicketKey), nil
	}

	text, err := os.ReadFile(s.file.TicketKeyFile)
	if err != nil {
		return nil, merry.Prepend(err, "read the ticket key")
	}

	key := bytes.TrimRight(text, " \t\r\n")
	if len(key) < minTicketKeyBytes {
		return nil, merry.Errorf(
			"%s: the ticket key has %d bytes, at least %d are required", s.file.TicketKeyFile, len(key), minTicketKeyBytes,
		)
	}

	return key, nil
}

// KeyLifetime returns the largest accepted age of a caller's idempotency key.
func (s Settings) KeyLifetime() time.Duration { return s.file.KeyLifetime.Value() }

// TicketLifetime returns the lifetime of tickets.
func (s Settings) TicketLifetime() time.Duration { return s.file.TicketLifetime.Value() }

// Slots returns the number of processors to use, and of requests that are decided concurrently.
func (s Settings) Slots() int { return s.file.Slots }

// EndedJobMemory returns the limit of the outcomes of repeatable jobs that are remembered.
func (s Settings) EndedJobMemory() jobmemory.Limit {
	return jobmemory.NewLimit(s.file.RememberedJobs, s.file.EndedMemory.Value())
}

// CancelledJobMemory returns the limit of the cancelled repeatable jobs that are remembered.
func (s Settings) CancelledJobMemory() jobmemory.Limit {
	return jobmemory.NewLimit(s.file.RememberedJobs, s.file.CancelMemory.Value())
}

// SeparateInterferingKinds reports whether kinds of repeatable jobs that slow each other down are kept apart.
func (s Settings) SeparateInterferingKinds() bool { return s.file.Interference }

// DrainDelay returns how long new submissions are accepted after the end of readiness.
func (s Settings) DrainDelay() time.Duration { return s.file.DrainDelay.Value() }

// DrainLimit returns the longest wait for active submissions at shutdown.
func (s Settings) DrainLimit() time.Duration { return s.file.DrainLimit.Value() }

// LogLevel returns the least severe level that is logged.
func (s Settings) LogLevel() zerolog.Level {
	l, err := zerolog.ParseLevel(s.file.LogLevel)
	if err != nil {
		return zerolog.InfoLevel
	}

	return l
}
