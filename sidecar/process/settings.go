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
	AdminTokenFile string            `json:"admin_token_file" doc:"file with the token that operators' requests to the admin API need; none means that they need none" default:""`
	Entries        []string          `json:"entries" doc:"QUIC addresses of entries to begin with"`
	Backend        string            `json:"backend" doc:"URL of the backend server"`
	FailureDomain  string            `json:"failure_domain" doc:"failure domain of the worker" default:""`
	Rack           string            `json:"rack" doc:"rack of the worker" default:""`
	Slots          int               `json:"slots" doc:"capacity of the worker; one slot is one core" unit:"cores" range:"1..4096"`
	MemoryMB       int               `json:"memory_mb" doc:"memory of the worker for tasks; 0 is not counted" unit:"MB" default:"0" range:"0..16777216"`
	Accelerators   int               `json:"accelerators" doc:"accelerators of the worker" default:"0" range:"0..1024"`
	Leases         bool              `json:"leases" doc:"the backend server runs repeatable jobs under leases, of its only service" default:"false"`
	Services       []string          `json:"services" doc:"services of the backend server; none means every service" default:"[]"`
	QueueTasks     int               `json:"queue_tasks" doc:"bound of the run queue for each kind; 0 is a quarter of the slots, at least 2" unit:"tasks" default:"0" range:"0..10000"`
	AllowanceDelay settings.Duration `json:"allowance_delay" doc:"wait before a larger allowance applies" default:"5s" range:"0s..5m"`
	TableStarts    int               `json:"table_starts" doc:"bound of the starts that are kept" unit:"starts" default:"100000" range:"1..10000000"`
	OutcomeMemory  settings.Bytes    `json:"outcome_memory" doc:"bound of the inputs and outcomes that are held" default:"64MB" range:"1KB..64GB"`
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

// Check refuses values that the decoder accepts.
func (f *file) Check() error {
	if f.Name == "" {
		return settings.KeyErrorf("name", "the name is empty")
	}

	if len(f.Entries) == 0 {
		return settings.KeyErrorf("entries", "at least one entry is needed")
	}

	if f.Leases && len(f.Services) != 1 {
		return settings.KeyErrorf("services", "exactly one service is needed with leases")
	}

	if u, err := url.Parse(f.Backend); err != nil || u.Scheme != "http" || u.Host == "" {
		return settings.KeyErrorf("backend", "%q is not a URL such as http://127.0.0.1:8080", f.Backend)
	}

	return nil
}

// Settings are the checked settings of a sidecar.
type Settings struct{ file file }

// Load reads a settings file.
func Load(name string) (Settings, error) {
	var s Settings

	err := settings.Load(name, &s.file)

	return s, err
}

// Keys returns the names of the PEM files.
func (s Settings) Keys() (certificate, key, authority string) {
	return s.file.Keys.Certificate, s.file.Keys.Key, s.file.Keys.Authority
}

// Listen returns the address for QUIC.
func (s Settings) Listen() string { return s.file.Listen }

// Admin returns the address of the admin HTTP API.
func (s Settings) Admin() string { return s.file.Admin }

// AdminTokenFile returns the file with the operators' token, or nothing.
func (s Settings) AdminTokenFile() string { return s.file.AdminTokenFile }

// Entries returns the entries to begin with.
func (s Settings) Entries() []string { return s.file.Entries }

// Backend returns the URL of the backend server.
func (s Settings) Backend() string { return s.file.Backend }

// Leases tells whether the backend server runs repeatable jobs under leases.
func (s Settings) Leases() bool { return s.file.Leases }

// Service returns the only service of a backend server with leases.
func (s Settings) Service() string { return s.file.Services[0] }

// FailureDomain returns the failure domain of the worker.
func (s Settings) FailureDomain() string { return s.file.FailureDomain }

// Slots returns the capacity of the worker.
func (s Settings) Slots() int { return s.file.Slots }

// MemoryMB returns the memory of the worker.
func (s Settings) MemoryMB() int { return s.file.MemoryMB }

// QueueTasks returns the bound of the run queue for each kind.
func (s Settings) QueueTasks() int { return s.file.QueueTasks }

// AllowanceDelay returns the wait before a larger allowance applies.
func (s Settings) AllowanceDelay() time.Duration { return s.file.AllowanceDelay.Value() }

// TableStarts returns the bound of the start table.
func (s Settings) TableStarts() int { return s.file.TableStarts }

// OutcomeMemory returns the bound of the bytes held.
func (s Settings) OutcomeMemory() int64 { return s.file.OutcomeMemory.Value() }

// MaxOutput returns the largest output of a task.
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

// LogSample returns n if every n-th started task is logged.
func (s Settings) LogSample() int { return s.file.LogSample }

// Worker returns the message form without an incarnation.
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
