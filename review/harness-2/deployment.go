package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// errUnable means that the case can't run here.
var errUnable = errors.New("the case can't run")

// deployment runs entries and sidecars as the deploy file says, on loopback addresses of their own, with stand-ins of the store
// and of the backend servers.
type deployment struct {
	record                           *record
	dir, program                     string
	net                              int
	storeAddress                     string
	front, ready, control, transport int
	store                            *store
	// isUnguarded is true if the configuration says that the backend servers don't guard their capacity.
	isUnguarded bool
	// reserved keeps other runs from using the same addresses.
	reserved  net.Listener
	mu        sync.Mutex
	processes []*process
}

// process is an entry or a sidecar.
type process struct {
	name, role, ip, settings string
	command                  *exec.Cmd
	ended                    chan struct{}
	// memoryMB is the memory of its machine.
	memoryMB int
}

// The memory of the machines, as in the small deployments.
const entryMemoryMB, sidecarMemoryMB = 284, 152

func newDeployment(r *record, program string) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}

	d := &deployment{record: r, dir: dir, program: program, store: newStore()}

	if err := d.reserveNet(); err != nil {
		return nil, err
	}

	for _, port := range []*int{&d.front, &d.ready, &d.control, &d.transport} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}

		defer l.Close()

		*port = l.Addr().(*net.TCPAddr).Port
	}

	d.storeAddress, err = d.serve("127.0.0.1:0", d.store)
	d.configure(7)

	return d, err
}

// metricsPort is the port of the metrics in the deploy file. All processes have it, each at its own address.
const metricsPort = "9464"

// reserveNet chooses loopback addresses that no other run uses, and keeps them until the end of this program.
func (d *deployment) reserveNet() error {
	const first, count = 16, 200

	for n := range count {
		d.net = first + (os.Getpid()+n)%count

		if l, err := net.Listen("tcp", net.JoinHostPort(d.entryIP(0), metricsPort)); err == nil {
			_ = l.Close()
		} else {
			continue
		}

		var err error
		if d.reserved, err = net.Listen("tcp", net.JoinHostPort(fmt.Sprintf("127.%d.9.1", d.net), metricsPort)); err == nil {
			return nil
		}
	}

	return fmt.Errorf("%w: no loopback addresses are free", errUnable)
}

// configure writes a version of the operator's configuration.
func (d *deployment) configure(version int) {
	d.store.put(names["operatorTopic"]+"/0", names["configurationKey"],
		[]byte(fill(configurationText, map[string]string{
			"VERSION": strconv.Itoa(version), "GUARDED": strconv.FormatBool(!d.isUnguarded),
		})))
	d.record.add("configuration %d is acknowledged", version)
}

func (d *deployment) serve(address string, h http.Handler) (string, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return "", err
	}

	go func() { _ = (&http.Server{Handler: h}).Serve(l) }()

	return l.Addr().String(), nil
}

func (d *deployment) entryIP(n int) string   { return fmt.Sprintf("127.%d.1.%d", d.net, n+1) }
func (d *deployment) sidecarIP(n int) string { return fmt.Sprintf("127.%d.3.%d", d.net, n+1) }

// newProcess writes the settings of a process.
func (d *deployment) newProcess(role, class, ip, app string, n int) (*process, error) {
	p := &process{name: fmt.Sprintf("%s-%d", role, n), role: role, ip: ip}
	p.settings = filepath.Join(d.dir, p.name+".json")

	p.memoryMB = entryMemoryMB
	if class == "side" {
		p.memoryMB = sidecarMemoryMB
	}

	text := fill(settingsText, map[string]string{
		"MEMORY": strconv.Itoa(p.memoryMB),
		"NAME":   p.name, "ROLE": role, "CLASS": class, "IP": ip, "SEED": d.entryIP(0), "APP": app, "STORE": d.storeAddress,
		"FRONT": strconv.Itoa(d.front), "READY": strconv.Itoa(d.ready), "CONTROL": strconv.Itoa(d.control),
		"TRANSPORT": strconv.Itoa(d.transport),
	})

	d.mu.Lock()
	d.processes = append(d.processes, p)
	d.mu.Unlock()

	return p, os.WriteFile(p.settings, []byte(text), 0o600)
}

// start starts a process with the command of the deploy file.
func (d *deployment) start(p *process, role string) error {
	log, err := os.OpenFile(filepath.Join(d.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}

	defer log.Close()

	p.command = exec.Command(d.program, "--metrics", metricsPort, role)
	p.command.Env = append(os.Environ(), names["settingsVariable"]+"="+p.settings)
	p.command.Stdout, p.command.Stderr = log, log

	if err := p.command.Start(); err != nil {
		return fmt.Errorf("%w: %w", errUnable, err)
	}

	p.ended = make(chan struct{})

	go func() {
		_ = p.command.Wait()
		d.record.add("process %s has ended: %s", p.name, p.command.ProcessState)
		close(p.ended)
	}()

	d.record.add("process %s is started", p.name)

	return nil
}

// kill kills processes at the same moment, and starts them again after a delay, as the platform does.
func (d *deployment) kill(killed []*process, delay time.Duration) error {
	for _, p := range killed {
		p.signal(syscall.SIGKILL)
	}

	for _, p := range killed {
		d.record.add("SIGKILL to %s", p.name)
		<-p.ended
	}

	time.Sleep(delay)

	for _, p := range killed {
		if err := d.start(p, p.role); err != nil {
			return err
		}
	}

	return nil
}

func (p *process) signal(s syscall.Signal) { _ = p.command.Process.Signal(s) }

// startEntries starts entries.
func (d *deployment) startEntries(count int) ([]*process, error) {
	var all []*process

	for n := range count {
		p, err := d.newProcess("entry", "front", d.entryIP(n), "", n)
		if err != nil {
			return nil, err
		}

		all = append(all, p)

		if err := d.start(p, "entry"); err != nil {
			return nil, err
		}
	}

	return all, nil
}

// startServers starts backend servers with these labels, and the sidecars beside them.
func (d *deployment) startServers(ctx context.Context, labels ...[]string) ([]*server, error) {
	var all []*server

	for n := range labels {
		ip := d.sidecarIP(n)
		s := newServer(d.record, fmt.Sprintf("i-%d", n), net.JoinHostPort(ip, strconv.Itoa(d.front)),
			net.JoinHostPort(ip, strconv.Itoa(d.control)), labels[n]...)

		if _, err := d.serve(s.address, s); err != nil {
			return nil, err
		}

		p, err := d.newProcess("sidecar", "side", ip, s.address, n)
		if err != nil {
			return nil, err
		}

		if err := d.start(p, "sidecar"); err != nil {
			return nil, err
		}

		go s.run(ctx)

		all = append(all, s)
	}

	return all, nil
}

// settleTime is longer than the contact time of the settings: the disruption that the start is has ended then.
const settleTime = 5 * time.Second

// begin starts entries, and three backend servers with the sidecars beside them, and waits until the deployment is calm.
func (d *deployment) begin(ctx context.Context, count int) ([]*process, []*server, error) {
	entries, err := d.startEntries(count)
	if err != nil {
		return nil, nil, err
	}

	servers, err := d.startServers(ctx, []string{"a", "r1"}, []string{"a", "r2"}, []string{"b", "r3"})
	if err != nil {
		return nil, nil, err
	}

	for n := range entries {
		if err := d.awaitReady(n); err != nil {
			return nil, nil, err
		}
	}

	time.Sleep(settleTime)

	return entries, servers, nil
}

// awaitReady waits until an entry is ready.
func (d *deployment) awaitReady(entry int) error {
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		resp, err := http.Get(fmt.Sprintf("http://%s:%d/ready", d.entryIP(entry), d.ready))
		if err != nil {
			continue
		}

		_ = resp.Body.Close()

		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}

	return fmt.Errorf("%w: entry %d is not ready", errUnable, entry)
}

// stop ends all processes that this program has started.
func (d *deployment) stop() {
	for _, p := range d.processes {
		if p.command == nil || p.command.Process == nil {
			continue
		}

		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
		<-p.ended
	}

	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.dir)
	} else {
		fmt.Println("logs:", d.dir)
	}
}
