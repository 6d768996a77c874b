package cluster

import (
	"context"
	"net/http"
	"regexp"
	"time"

	"github.com/skylarkweir/skylarkweir/standin/relay"
)

// The size of a worker unless an option says otherwise.
const (
	defaultSlots    = 4
	defaultMemoryMB = 8192
)

var backendListens = regexp.MustCompile(`(?m)^listening (\S+)$`)

// Worker is a sidecar with its stand-in backend server.
type Worker struct {
	cluster          *Cluster
	name, file       string
	settings         map[string]any
	sidecar, backend *Process
	// admin is the sidecar's admin address, backendURL the address of the backend server; both with scheme.
	admin, backendURL string
	// address is where the sidecar's QUIC traffic comes from.
	address string
	relay   *relay.Relay
}

// StartWorker starts a backend server and its sidecar, and waits until they listen. The sidecar begins with all entries
// that were started before.
func (c *Cluster) StartWorker(ctx context.Context, name string, options ...Option) (*Worker, error) {
	p := planOf(options)
	w := &Worker{cluster: c, name: name, file: c.path(name + ".jsonc")}

	backend, err := c.start(ctx, name+"-backend", StandinProgram, "backend", "--listen", loopback)
	if err != nil {
		return nil, err
	}

	found, err := backend.await(ctx, backendListens)
	if err != nil {
		return nil, err
	}

	w.backend, w.backendURL = backend, "http://"+found[1]
	target := w.backendURL

	if p.relayed {
		if w.relay, err = c.openRelay(ctx, relay.TCP, found[1]); err != nil {
			return nil, err
		}

		target = "http://" + w.relay.Address()
	}

	entries := []string{}
	for _, e := range c.entries {
		entries = append(entries, e.address)
	}

	w.settings = p.over(map[string]any{
		"name": name, "listen": loopback, "admin": loopback, "entries": entries, "backend": target,
		"slots": defaultSlots, "memory_mb": defaultMemoryMB, "keys": c.keys(),
	})

	if err := w.Restart(ctx); err != nil {
		return nil, err
	}

	c.workers = append(c.workers, w)

	return w, nil
}

// Restart starts the sidecar again with the same settings and addresses, after it has ended.
func (w *Worker) Restart(ctx context.Context) error {
	p, b, err := w.cluster.startDaemon(ctx, w.name, SidecarProgram, w.file, w.settings)
	if err != nil {
		return err
	}

	w.sidecar, w.admin, w.address = p, "http://"+b.Admin, b.QUIC
	w.settings["listen"], w.settings["admin"] = b.QUIC, b.Admin

	return nil
}

// RestartBackend starts the backend server again at the same address, after it has ended. Its records start anew.
func (w *Worker) RestartBackend(ctx context.Context) error {
	p, err := w.cluster.start(ctx, w.name+"-backend", StandinProgram, "backend", "--listen", w.backendURL[len("http://"):])
	if err != nil {
		return err
	}

	if _, err := p.await(ctx, backendListens); err != nil {
		return err
	}

	w.backend = p

	return nil
}

// Name returns the name of the worker.
func (w *Worker) Name() string { return w.name }

// Admin returns the sidecar's admin address.
func (w *Worker) Admin() string { return w.admin }

// Source returns the address from which the sidecar's QUIC traffic comes, for faults of single clients of relays.
func (w *Worker) Source() string { return w.address }

// Sidecar returns the running sidecar; Restart replaces it.
func (w *Worker) Sidecar() *Process { return w.sidecar }

// Backend returns the running backend server; RestartBackend replaces it.
func (w *Worker) Backend() *Process { return w.backend }

// Relay returns the relay between the sidecar and the backend server, or nil.
func (w *Worker) Relay() *relay.Relay { return w.relay }

// Status decodes the answer of the sidecar to GET /v1/status.
func (w *Worker) Status(ctx context.Context, into any) error {
	return get(ctx, w.admin+"/v1/status", into)
}

// SetFaults replaces the faults of the backend server; the keys are those of its POST /admin/faults.
func (w *Worker) SetFaults(ctx context.Context, faults map[string]any) error {
	return call(ctx, http.MethodPost, w.backendURL+"/admin/faults", faults, nil)
}

// TaskStart is a start that a backend server recorded.
type TaskStart struct {
	submission, kind, echo string
	task, attempt          int
	status                 int
	begin, end             time.Time
}

// Submission returns the ticket.
func (s TaskStart) Submission() string { return s.submission }

// Echo returns the first 40 bytes of what the input wants echoed.
func (s TaskStart) Echo() string { return s.echo }

// Task returns the index of the task.
func (s TaskStart) Task() int { return s.task }

// Attempt returns the number of the attempt.
func (s TaskStart) Attempt() int { return s.attempt }

// Kind returns the kind of work.
func (s TaskStart) Kind() string { return s.kind }

// Status returns the HTTP status, and zero while the task runs.
func (s TaskStart) Status() int { return s.status }

// Begin returns when the task began.
func (s TaskStart) Begin() time.Time { return s.begin }

// End returns when the task ended; the zero time while it runs.
func (s TaskStart) End() time.Time { return s.end }

// Starts returns what the backend server recorded, oldest first.
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

	if err := get(ctx, w.backendURL+"/admin/starts", &b); err != nil {
		return nil, err
	}

	starts := make([]TaskStart, 0, len(b))
	for _, s := range b {
		starts = append(starts, TaskStart{s.Submission, s.Kind, s.Echo, s.Task, s.Attempt, s.Status, s.Start, s.End})
	}

	return starts, nil
}

// Starts returns the number of starts at all backend servers that run, by submission and task. The backend servers of
// the demo and of tests outlive their sidecars, so that no start is missed.
func (c *Cluster) Starts(ctx context.Context) (map[string]map[int]int, error) {
	all := map[string]map[int]int{}

	for _, w := range c.workers {
		starts, err := w.Starts(ctx)
		if err != nil {
			return nil, err
		}

		for _, s := range starts {
			if all[s.submission] == nil {
				all[s.submission] = map[int]int{}
			}

			all[s.submission][s.task]++
		}
	}

	return all, nil
}
