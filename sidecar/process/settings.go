package process

import (
	"net/url"
	"time"

	"github.com/rs/zerolog"

	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
	"github.com/skylarkweir/skylarkweir/weir/process/settings"
)

// file is the settings file. Its fields are exported for the decoder.
type file struct {
	Name           string            `json:"name" doc:"name of the worker, unique in the fleet"`
	Listen         string            `json:"listen" doc:"UDP address for QUIC; port 0 lets the kernel choose" default:"127.0.0.1:0"`
	Admin          string            `json:"admin" doc:"TCP address of the admin HTTP API; port 0 lets the kernel choose" default:"127.0.0.1:0"`
	AdminTokenFile string            `json:"admin_token_file" doc:"file with the token that operators' requests to the admin API must carry; empty means that no token is required" default:""`
	Entries        []string          `json:"entries" doc:"QUIC addresses of entries to connect to at start"`
	Backend        string            `json:"backend" doc:"URL of the backend server"`
	FailureDomain  string            `json:"failure_domain" doc:"failure domain of the worker" default:""`
	Rack           string            `json:"rack" doc:"rack of the worker" default:""`
	Slots          int               `json:"slots" doc:"capacity of the worker; one slot is one core" unit:"cores" range:"1..4096"`
	MemoryMB       int               `json:"memory_mb" doc:"memory of the worker for tasks; 0 means that memory is not counted" unit:"MB" default:"0" range:"0..16777216"`
	Accelerators   int               `json:"accelerators" doc:"accelerators of the worker" default:"0" range:"0..1024"`
	Leases         bool              `json:"leases" doc:"whether the backend server runs repeatable jobs under leases; requires exactly one service" default:"false"`
	Services       []string          `json:"services" doc:"services of the backend server; an empty list means every service" default:"[]"`
	QueueTasks     int               `json:"queue_tasks" doc:"largest number of queued tasks of each kind; 0 means a quarter of the slots, at least 2" unit:"tasks" default:"0" range:"0..10000"`
	AllowanceDelay settings.Duration `json:"allowance_delay" doc:"delay before a larger allowance applies" default:"5s" range:"0s..5m"`
	TableStarts    int               `json:"table_starts" doc:"largest number of starts kept in the start table" unit:"starts" default:"100000" range:"1..10000000"`
	OutcomeMemory  settings.Bytes    `json:"outcome_memory" doc:"largest memory for inputs and outcomes held" default:"64MB" range:"1KB..64GB"`
	MaxOutput      settings.Bytes    `json:"max_output" doc:"largest output of a task" default:"16MB" range:"1KB..60MB"`
	DrainLimit     settings.Duration `json:"drain_limit" doc:"longest wait for running tasks at shutdown" default:"150s" range:"0s..1h"`
	LogLevel       string            `json:"log_level" doc:"least severe level that is logged" default:"info" range:"debug|info|warn|error"`
	LogSample      int               `json:"log_sample" doc:"log every n-th started task only; refusals, warnings and errors are always logged" default:"1" range:"1..1000000"`
	Keys           keysFile          `json:"keys"`
}

type keysFile struct {
	Certificate string `json:"certificate" doc:"PEM file of the certificate"`
	Key         string `json:"key" doc:"PEM file of the private key"`
	Authority   string `json:"authority" doc:"PEM file of the authority that signs all certificates"`
}

// Check rejects values that the decoder accepts but the sidecar cannot run with.
func (f *file) Check() error {
	if f.Name == "" {
		return settings.KeyErrorf("name", "the name is empty")
	}

	if len(f.Entries) == 0 {
		return settings.KeyErrorf("entries", "at least one entry is required")
	}

	if f.Leases && len(f.Services) != 1 {
		return settings.KeyErrorf("services", "exactly one service is required with leases")
	}

	if u, err := url.Parse(f.Backend); err != nil || u.Scheme != "http" || u.Host == "" {
		return settings.KeyErrorf("backend", "%q is not a URL such as http://127.0.0.1:8080", f.Backend)
	}

	return nil
}

// Settings are the validated settings of a sidecar.
type Settings struct{ file file }

// Load reads a settings file.
func Load(name string) (Settings, error) {
	var s Settings

	err := settings.Load(name, &s.file)

	return s, err
}

// Keys returns the names of the PEM files for QUIC.
func (s Settings) Keys() (certificate, key, authority string) {
	return s.file.Keys.Certificate, s.file.Keys.Key, s.file.Keys.Authority
}

// Listen returns the UDP address for QUIC.
func (s Settings) Listen() string { return s.file.Listen }

// Admin returns the TCP address of the admin HTTP API.
func (s Settings) Admin() string { return s.file.Admin }

// AdminTokenFile returns the name of the file with the operators' token, or an empty string if no token is required.
func (s Settings) AdminTokenFile() string { return s.file.AdminTokenFile }

// Entries returns the addresses of the entries to connect to at start.
func (s Settings) Entries() []string { return s.file.Entries }

// Backend returns the URL of the backend server.
func (s Settings) Backend() string { return s.file.Backend }

// Leases reports whether the backend server runs repeatable jobs under leases.
func (s Settings) Leases() bool { return s.file.Leases }

// Service returns the only service of a backend server with leases. It must not be called without leases, since
// Services may then be empty.
func (s Settings) Service() string { return s.file.Services[0] }

// FailureDomain returns the failure domain of the worker.
func (s Settings) FailureDomain() string { return s.file.FailureDomain }

// Slots returns the capacity of the worker in cores.
func (s Settings) Slots() int { return s.file.Slots }

// MemoryMB returns the memory of the worker for tasks.
func (s Settings) MemoryMB() int { return s.file.MemoryMB }

// QueueTasks returns the largest number of queued tasks of each kind; 0 stands for the default.
func (s Settings) QueueTasks() int { return s.file.QueueTasks }

// AllowanceDelay returns the delay before a larger allowance applies.
func (s Settings) AllowanceDelay() time.Duration { return s.file.AllowanceDelay.Value() }

// TableStarts returns the largest number of starts in the start table.
func (s Settings) TableStarts() int { return s.file.TableStarts }

// OutcomeMemory returns the largest size, in bytes, of the inputs and outcomes held.
func (s Settings) OutcomeMemory() int64 { return s.file.OutcomeMemory.Value() }

// MaxOutput returns the largest output of a task in bytes.
func (s Settings) MaxOutput() int64 { return s.file.MaxOutput.Value() }

// DrainLimit returns the longest wait for running tasks at shutdown.
func (s Settings) DrainLimit() time.Duration { return s.file.DrainLimit.Value() }

// LogLevel returns the least severe level that is logged.
func (s Settings) LogLevel() zerolog.Level {
	l, err := zerolog.ParseLevel(s.file.LogLevel)
	if err != nil {
		return zerolog.InfoLevel
	}

	return l
}

// LogSample returns n, where every n-th started task is logged.
func (s Settings) LogSample() int { return s.file.LogSample }

// Worker returns the worker as a message, without an incarnation.
func (s Settings) Worker() *wire.Worker {
	w := &wire.Worker{}
	w.SetName(s.file.Name)
	w.SetFailureDomain(s.file.FailureDomain)
	w.SetRack(s.file.Rack)
	w.SetSlots(uint32(s.file.Slots))               //nolint:gosec // the range is checked
	w.SetMemoryMb(uint32(s.file.MemoryMB))         //nolint:gosec // the range is checked
	w.SetAccelerators(uint32(s.file.Accelerators)) //nolint:gosec // the range is checked
	w.SetServices(s.file.Services)

	return w
}
