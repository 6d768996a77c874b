package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// serverCPU and taskCPU are the capacity of a server and the size of a task, in millicores.
	serverCPU = 64000
	taskCPU   = 6200
	// failTime is how long a task runs that fails.
	failTime = 20 * time.Millisecond
	// drainRemaining is the least time that a server goes on after it has said that it leaves.
	drainRemaining = 2 * time.Second
	// readyTimeout limits the time until all programs work together.
	readyTimeout = 25 * time.Second
	// restartDelay is the pause before a program is started again whose process has ended.
	restartDelay = 100 * time.Millisecond
)

// deployment is a small deployment on loopback addresses: entries and sidecars as processes of their own, and stand-ins of
// the store and of the backend servers in this process.
type deployment struct {
	record  *record
	program string
	dir     string
	// network is the second octet of all addresses.
	network int
	// The ports are the same on all instances. The kernel chooses them.
	transport, front, ready, control, app int
	storeAddress                          string
	store                                 *store
	entries, sidecars                     []*program
	servers                               []*server
	cancel                                context.CancelFunc
}

// program is an entry or a sidecar. It is started again when its process ends.
type program struct {
	deployment *deployment
	role       string
	ip         string
	settings   string
	log        *os.File

	mu      sync.Mutex
	process *os.Process
	stopped bool
	ended   chan struct{}
}

func newDeployment(rec *record, binary, dir string, entries, servers int) (*deployment, error) {
	d := &deployment{record: rec, program: binary, dir: dir, network: 20 + rand.IntN(200), store: newStore()}

	if err := d.choosePorts(); err != nil {
		return nil, err
	}

	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel

	l, err := net.Listen("tcp", d.ip(3, 0)+":0")
	if err != nil {
		return nil, err
	}

	d.storeAddress = l.Addr().String()
	h := &http.Server{Handler: d.store}
	context.AfterFunc(ctx, func() { _ = h.Close() })

	go func() { _ = h.Serve(l) }()

	d.store.put(name("configuration topic"), "config", encode(newMessage("configuration")))

	for n := range servers {
		ip := d.ip(2, n)
		s := newServer(rec, n, fmt.Sprintf("i-%08x", rand.Uint32()), fmt.Sprintf("%s:%d", ip, d.app), fmt.Sprintf("%s:%d", ip, d.control))
		d.servers = append(d.servers, s)

		if err := s.start(ctx); err != nil {
			return nil, err
		}
	}

	for n := range entries {
		d.entries = append(d.entries, d.newProgram("entry", d.ip(1, n), n))
	}

	for n := range servers {
		d.sidecars = append(d.sidecars, d.newProgram("sidecar", d.ip(2, n), n))
	}

	for _, p := range d.programs() {
		if err := p.writeSettings(); err != nil {
			return nil, err
		}

		go p.keepRunning()
	}

	return d, nil
}

func (d *deployment) programs() []*program {
	return append(append([]*program{}, d.entries...), d.sidecars...)
}

// ip returns the address of an instance: group 1 has the entries, 2 the sidecars and servers, 3 the store.
func (d *deployment) ip(group, n int) string {
	return fmt.Sprintf("127.%d.%d.%d", d.network, group, n+1)
}

// choosePorts chooses ports that are free now.
func (d *deployment) choosePorts() error {
	u, err := net.ListenPacket("udp", d.ip(1, 0)+":0")
	if err != nil {
		return err
	}

	d.transport = u.LocalAddr().(*net.UDPAddr).Port
	defer u.Close()

	for _, port := range []*int{&d.front, &d.ready, &d.control, &d.app} {
		l, err := net.Listen("tcp", d.ip(1, 0)+":0")
		if err != nil {
			return err
		}

		*port = l.Addr().(*net.TCPAddr).Port

		defer l.Close()
	}

	return nil
}

func (d *deployment) newProgram(role, ip string, n int) *program {
	return &program{
		deployment: d, role: role, ip: ip, settings: filepath.Join(d.dir, fmt.Sprintf("%s-%d.json", role, n)),
		ended: make(chan struct{}),
	}
}

func (p *program) writeSettings() error {
	d := p.deployment
	m := newMessage("settings")
	at := func(port int) string { return fmt.Sprintf("%s:%d", p.ip, port) }

	m["Node"] = strings.TrimSuffix(filepath.Base(p.settings), ".json")
	m["Role"], m["Ip"] = p.role, p.ip
	m["PortRange"] = []int{d.transport, d.transport + 15}
	m["Seeds"] = []string{fmt.Sprintf("%s:%d", d.ip(1, 0), d.control)}
	m["platform"].(map[string]any)["Addr"] = d.storeAddress

	if p.role == "entry" {
		m["MachineClass"], m["Serves"] = "front", []string{"front", "control"}
		m["Listen"] = map[string]string{"Front": at(d.front), "Ready": at(d.ready), "Control": at(d.control)}
	} else {
		m["MachineClass"], m["Serves"] = "side", []string{"side"}
		m["Listen"] = map[string]string{"Control": at(d.control)}
		m["app"], m["Service"] = at(d.app), "werkbank"
	}

	log, err := os.Create(strings.TrimSuffix(p.settings, ".json") + ".log")
	if err != nil {
		return err
	}

	p.log = log

	return os.WriteFile(p.settings, encode(m), 0o600)
}

// keepRunning starts the program with the command of the deploy file, again whenever its process ends, until it is stopped.
func (p *program) keepRunning() {
	defer close(p.ended)

	for {
		c := exec.Command(p.deployment.program, "--metrics", "9464", p.role)
		c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), name("settings variable") + "=" + p.settings}
		c.Stdout, c.Stderr = p.log, p.log
		c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}

		p.mu.Lock()
		if p.stopped {
			p.mu.Unlock()

			return
		}

		err := c.Start()
		p.process = c.Process
		p.mu.Unlock()

		if err == nil {
			_ = c.Wait()
		}

		time.Sleep(restartDelay)
	}
}

// signal sends a signal to the program's process.
func (p *program) signal(s os.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()

	if p.process != nil {
		_ = p.process.Signal(s)
	}
}

func (p *program) stop() {
	p.mu.Lock()
	p.stopped = true
	p.mu.Unlock()

	p.signal(syscall.SIGKILL)
	<-p.ended

	_ = p.log.Close()
}

// stop ends all processes of the deployment.
func (d *deployment) stop() {
	for _, p := range d.programs() {
		p.stop()
	}

	d.cancel()
}

// awaitReady waits until each entry is ready and has completed, at the first attempt, a job that ran on all servers.
func (d *deployment) awaitReady() error {
	deadline := time.Now().Add(readyTimeout)

	for n := 0; n < len(d.entries); {
		if d.isReady(n) && d.fillsAllServers(n) {
			n++

			continue
		}

		if time.Now().After(deadline) {
			return fmt.Errorf("entry %d does not use all servers within %s", n, readyTimeout)
		}

		time.Sleep(100 * time.Millisecond)
	}

	d.record.line("all entries use all servers")

	return nil
}

func (d *deployment) isReady(entry int) bool {
	c := http.Client{Timeout: time.Second}

	resp, err := c.Get(fmt.Sprintf("http://%s:%d/ready", d.ip(1, entry), d.ready))
	if err != nil {
		return false
	}
	defer resp.Body.Close()

	_, _ = io.Copy(io.Discard, resp.Body)

	return resp.StatusCode == http.StatusOK
}

// fillsAllServers sends a job that is too large for all servers but one, and reports whether it ran on all of them.
func (d *deployment) fillsAllServers(entry int) bool {
	perServer := serverCPU / taskCPU

	j := newJob("stock", len(d.servers)*perServer-perServer/2, 50*time.Millisecond)
	if j.submit(d, entry).status != http.StatusOK {
		return false
	}

	used := map[*server]bool{}
	for _, r := range d.runsOf(j) {
		used[r.server] = true
	}

	return len(used) == len(d.servers)
}

// runsOf returns all runs of the tasks of a job.
func (d *deployment) runsOf(j *job) []run {
	var all []run

	for _, s := range d.servers {
		for _, r := range s.runs() {
			if r.job() == j.id {
				all = append(all, r)
			}
		}
	}

	return all
}
