package cluster

import (
	"context"
	"net"
	"net/http"
	"regexp"
	"sync/atomic"
	"time"

	"github.com/skylarkweir/skylarkweir/standin/relay"
)

// The capacity of a worker unless an option overrides it.
const (
	defaultSlots    = 4
	defaultMemoryMB = 8192
)

var backendListeningLine = regexp.MustCompile(`(?m)^listening (\S+)$`)

// Worker is a sidecar with its stand-in backend server.
type Worker struct {
	cluster            *Cluster
	name, settingsFile string
	// host is the host of the sidecar's QUIC traffic.
	host     string
	settings map[string]any
	backend  atomic.Pointer[Process]
	// backendURL is the backend server's own base URL, also if there is a relay in front of it.
	backendURL string
	// current is replaced by Restart, possibly while another goroutine reads the status.
	current atomic.Pointer[sidecarIncarnation]
	relay   *relay.Relay
}

// sidecarIncarnation is one run of a sidecar's process, with its addresses. It is immutable.
type sidecarIncarnation struct {
	process *Process
	// adminURL includes the scheme.
	adminURL string
}

// StartWorker starts a backend server and its sidecar, and waits until they listen. The sidecar's settings name the
// entries that were started before.
func (c *Cluster) StartWorker(ctx context.Context, name string, options ...Option) (*Worker, error) {
	o := collectOptions(options)
	w := &Worker{cluster: c, name: name, host: c.newHost(), settingsFile: c.path(name + ".jsonc")}

	backend, err := c.start(ctx, name+"-backend", StandinProgram, "backend", "--listen", loopback)
	if err != nil {
		return nil, err
	}

	match, err := backend.waitForOutput(ctx, backendListeningLine)
	if err != nil {
		return nil, err
	}

	w.backendURL = "http://" + match[1]
	w.backend.Store(backend)
	backendTarget := w.backendURL

	if o.relay {
		if w.relay, err = c.openRelay(ctx, relay.TCP, match[1]); err != nil {
			return nil, err
		}

		backendTarget = "http://" + w.relay.Address()
	}

	entries := []string{}
	for _, e := range c.Entries() {
		entries = append(entries, e.AdvertisedAddress())
	}

	w.settings = o.applyTo(map[string]any{
		"name": name, "listen": net.JoinHostPort(w.host, anyPort), "admin": loopback, "entries": entries, "backend": backendTarget,
		"slots": defaultSlots, "memory_mb": defaultMemoryMB, "keys": c.keyFiles(),
	})

	if err := w.Restart(ctx); err != nil {
		return nil, err
	}

	c.mutex.Lock()
	c.workers = append(c.workers, w)
	c.mutex.Unlock()

	return w, nil
}

// Restart starts the sidecar again with the same settings and addresses. The previous process must have exited.
func (w *Worker) Restart(ctx context.Context) error {
	p, b, err := w.cluster.startDaemon(ctx, w.name, SidecarProgram, w.settingsFile, w.settings)
	if err != nil {
		return err
	}

	w.current.Store(&sidecarIncarnation{p, "http://" + b.Admin})
	w.settings["listen"], w.settings["admin"] = b.QUIC, b.Admin

	return nil
}

// RestartBackend starts the backend server again at the same address, with empty records. The previous process must
// have exited.
func (w *Worker) RestartBackend(ctx context.Context) error {
	p, err := w.cluster.start(ctx, w.name+"-backend", StandinProgram, "backend", "--listen", w.backendURL[len("http://"):])
	if err != nil {
		return err
	}

	if _, err := p.waitForOutput(ctx, backendListeningLine); err != nil {
		return err
	}

	w.backend.Store(p)

	return nil
}

// Name returns the name in the sidecar's settings.
func (w *Worker) Name() string { return w.name }

// AdminURL returns the base URL of the sidecar's admin HTTP API.
func (w *Worker) AdminURL() string { return w.current.Load().adminURL }

// Host returns the host of the sidecar's QUIC traffic. It identifies the sidecar as the client of an entry's relay.
func (w *Worker) Host() string { return w.host }

// Sidecar returns the sidecar's process; Restart replaces it.
func (w *Worker) Sidecar() *Process { return w.current.Load().process }

// Backend returns the backend server's process; RestartBackend replaces it.
func (w *Worker) Backend() *Process { return w.backend.Load() }

// Relay returns the TCP relay between the sidecar and the backend server, or nil.
func (w *Worker) Relay() *relay.Relay { return w.relay }

// Status decodes the sidecar's response to GET /v1/status into result.
func (w *Worker) Status(ctx context.Context, result any) error {
	return getJSON(ctx, w.AdminURL()+"/v1/status", result)
}

// SetFaults replaces the faults of the backend server; the keys are those of its POST /admin/faults.
func (w *Worker) SetFaults(ctx context.Context, faults map[string]any) error {
	return sendJSON(ctx, http.MethodPost, w.backendURL+"/admin/faults", faults, nil)
}

// TaskStart is the record that a backend server keeps of one start of a task.
type TaskStart struct {
	submission, kind, echo string
	task, attempt          int
	status                 int
	begin, end             time.Time
}

// Submission returns the ticket of the submission.
func (s TaskStart) Submission() string { return s.submission }

// Echo returns the first 40 bytes of the text that the input asks to be echoed.
func (s TaskStart) Echo() string { return s.echo }

// Task returns the index of the task.
func (s TaskStart) Task() int { return s.task }

// Attempt returns the number of the attempt.
func (s TaskStart) Attempt() int { return s.attempt }

// Kind returns the kind of the submission.
func (s TaskStart) Kind() string { return s.kind }

// Status returns the HTTP status of the response, or zero while the task runs.
func (s TaskStart) Status() int { return s.status }

// Begin returns when the task began.
func (s TaskStart) Begin() time.Time { return s.begin }

// End returns when the task ended, or the zero time while it runs.
func (s TaskStart) End() time.Time { return s.end }

// Starts returns the starts that the backend server has recorded, oldest first.
func (w *Worker) Starts(ctx context.Context) ([]TaskStart, error) {
	var b []struct {
		Submission string    `json:"submission"`
		Task       int       `json:"task"`
		Attempt    int       `json:"attempt"`
		Kind       string    `json:"kind"`
		Echo       string    `json:"echo"`
		Start      time.Time `json:"start"`
		End        time.Time `json:"end"`
		Status     int       `json:"status"`
	}

	if err := getJSON(ctx, w.backendURL+"/admin/starts", &b); err != nil {
		return nil, err
	}

	starts := make([]TaskStart, 0, len(b))
	for _, s := range b {
		starts = append(starts, TaskStart{s.Submission, s.Kind, s.Echo, s.Task, s.Attempt, s.Status, s.Start, s.End})
	}

	return starts, nil
}

// StartCounts returns the number of starts at all backend servers, by submission and task. It counts all starts as long
// as the backend servers keep running when their sidecars end, as those of the demo and of tests do.
func (c *Cluster) StartCounts(ctx context.Context) (map[string]map[int]int, error) {
	counts := map[string]map[int]int{}

	for _, w := range c.Workers() {
		starts, err := w.Starts(ctx)
		if err != nil {
			return nil, err
		}

		for _, s := range starts {
			if counts[s.submission] == nil {
				counts[s.submission] = map[int]int{}
			}

			counts[s.submission][s.task]++
		}
	}

	return counts, nil
}
