package cluster

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/skylarkweir/skylarkweir/standin/caller"
	"github.com/skylarkweir/skylarkweir/weir/connection/quic"
	"github.com/skylarkweir/skylarkweir/weir/process/settings"
)

const (
	keyLifetime    = 24 * time.Hour
	ticketKeyBytes = 32
	// tailLines is the number of output lines per process in WriteTails and in errors.
	tailLines = 20
	loopback  = "127.0.0.1:0"
	anyPort   = "0"
	// hostsPerBlock is the number of hosts of a cluster that share the first three bytes of their loopback addresses.
	hostsPerBlock = 250
)

// Cluster is a running system. Only Close may be called concurrently with the other methods.
type Cluster struct {
	programs Programs
	// directory holds keys, settings and the output of the processes.
	directory string
	ticketKey string
	log       *Log

	mutex     sync.Mutex
	entries   []*Entry
	workers   []*Worker
	processes []*Process
	closers   []io.Closer
	closed    bool
	// hosts is the number of hosts that were assigned.
	hosts int
}

// New creates the keys of a cluster in the directory. It starts no process.
func New(programs Programs, directory string) (*Cluster, error) {
	key := make([]byte, ticketKeyBytes)
	if _, err := rand.Read(key); err != nil {
		return nil, merry.Prepend(err, "generate a ticket key")
	}

	c := &Cluster{programs: programs, directory: directory, ticketKey: hex.EncodeToString(key)}

	return c, quic.IssueKeys(c.path("keys"), keyLifetime)
}

// Directory returns the directory with the keys, the settings and the output of the processes.
func (c *Cluster) Directory() string { return c.directory }

// Log returns the stand-in log service.
func (c *Cluster) Log() *Log { return c.log }

// Entries returns the entries in the order in which they were started.
func (c *Cluster) Entries() []*Entry {
	c.mutex.Lock()
	defer c.mutex.Unlock()

	return slices.Clone(c.entries)
}

// Workers returns the workers in the order in which they were started.
func (c *Cluster) Workers() []*Worker {
	c.mutex.Lock()
	defer c.mutex.Unlock()

	return slices.Clone(c.workers)
}

// Processes returns all processes that were started, including those that have exited.
func (c *Cluster) Processes() []*Process {
	c.mutex.Lock()
	defer c.mutex.Unlock()

	return append([]*Process(nil), c.processes...)
}

// Close kills the processes that are still running, by their ids, and closes the relays.
func (c *Cluster) Close() {
	c.mutex.Lock()
	c.closed = true
	closers := c.closers
	c.closers = nil
	c.mutex.Unlock()

	for _, p := range c.Processes() {
		if p.Running() {
			_ = p.Kill()
		}

		<-p.Done()
	}

	for _, r := range closers {
		r.Close()
	}
}

// WriteTails writes the last output lines of each process.
func (c *Cluster) WriteTails(w io.Writer) {
	for _, p := range c.Processes() {
		state := "running"
		if !p.Running() {
			state = p.command.ProcessState.String()
		}

		fmt.Fprintf(w, "== %s (id %d, %s)\n%s\n", p.Name(), p.ID(), state, p.Tail(tailLines))
	}
}

// NewLoad returns a load of the member with this token, spread over all entries. fields are the other settings of the
// load, such as rate and mix, as JSON.
func (c *Cluster) NewLoad(token, fields string) (*caller.Load, error) {
	l := &caller.Load{}

	urls := ""
	for i, e := range c.Entries() {
		if i > 0 {
			urls += ", "
		}

		urls += fmt.Sprintf("%q", e.URL())
	}

	return l, settings.Parse("load", fmt.Appendf(nil, `{"entries": [%s], "token": %q, %s}`, urls, token, fields), l)
}

// newHost returns a loopback host for the QUIC traffic of one process, by which relays tell the processes apart.
func (c *Cluster) newHost() string {
	c.mutex.Lock()
	defer c.mutex.Unlock()

	c.hosts++

	return fmt.Sprintf("127.1.%d.%d", c.hosts/hostsPerBlock, 1+c.hosts%hostsPerBlock)
}

// WaitReady waits until every running entry and sidecar reports that it is ready.
func (c *Cluster) WaitReady(ctx context.Context) error {
	for _, w := range c.Workers() {
		if w.Sidecar().Running() {
			if err := waitForSuccess(ctx, w.Sidecar(), w.AdminURL()+"/readyz"); err != nil {
				return err
			}
		}
	}

	for _, e := range c.Entries() {
		if e.Process().Running() {
			if err := waitForSuccess(ctx, e.Process(), e.AdminURL()+"/readyz"); err != nil {
				return err
			}
		}
	}

	return nil
}

// waitForSuccess polls a URL of the process until it responds with a 2xx status.
func waitForSuccess(ctx context.Context, p *Process, url string) error {
	var lastErr error

	for {
		if lastErr = getJSON(ctx, url, nil); lastErr == nil {
			return nil
		}

		select {
		case <-p.Done():
			return merry.Errorf("%s has exited:\n%s", p.Name(), p.Tail(tailLines))
		case <-ctx.Done():
			return merry.Errorf("%s does not respond at %s: %w\n%s", p.Name(), url, lastErr, p.Tail(tailLines))
		case <-time.After(pollInterval):
		}
	}
}

// Weirctl runs weirctl, the operator's command-line tool, and returns its output and exit code.
func (c *Cluster) Weirctl(ctx context.Context, args ...string) (output string, code int, err error) {
	return runProgram(ctx, c.programs.Path(WeirctlProgram), args...)
}

// Publish publishes the agreement files below the directory with weirctl and returns its output.
func (c *Cluster) Publish(ctx context.Context, directory string) (string, error) {
	out, code, err := c.Weirctl(ctx, "publish", directory, "--log", c.log.URL())
	if err == nil && code != 0 {
		err = merry.Errorf("weirctl publish failed with exit code %d: %s", code, out)
	}

	return out, err
}

func (c *Cluster) path(parts ...string) string {
	return filepath.Join(append([]string{c.directory}, parts...)...)
}

// start starts a process whose output goes to a file in the cluster's directory.
func (c *Cluster) start(ctx context.Context, name, program string, args ...string) (*Process, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()

	if c.closed {
		return nil, merry.New("the cluster is closed")
	}

	if err := os.MkdirAll(c.path("output"), 0o700); err != nil {
		return nil, merry.Wrap(err)
	}

	// A restarted process appends to the output file of its predecessor.
	p, err := Start(ctx, name, c.path("output", name+".log"), c.programs.Path(program), args...)
	if err != nil {
		return nil, err
	}

	c.processes = append(c.processes, p)

	return p, nil
}

func (c *Cluster) addCloser(r io.Closer) {
	c.mutex.Lock()
	defer c.mutex.Unlock()

	c.closers = append(c.closers, r)
}

func getJSON(ctx context.Context, url string, result any) error {
	return sendJSON(ctx, http.MethodGet, url, nil, result)
}
