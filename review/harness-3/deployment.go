package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	entryCount   = 3
	sidecarCount = 4
	// cores is the capacity of a backend server in millicores.
	cores = 32_000
	// entryMemory and sidecarMemory are the memory of the machines in MB.
	entryMemory, sidecarMemory = 284, 152
	// startTimeout limits the start of the deployment.
	startTimeout = 20 * time.Second
)

// ports are the same on all machines.
type ports struct{ front, ready, control, transport, app int }

// deployment is three entries in three zones and four backend servers with their sidecars.
type deployment struct {
	program, folder string
	// network is the second byte of all addresses.
	network      int
	ports        ports
	record       *record
	store        *store
	storeAddress string
	servers      []*http.Server
	entries      []*process
	sidecars     []*process
	backends     []*backend
	// relay is before the transport of the entry that may be cut off.
	relay  *relay
	closed chan struct{}

	mu sync.Mutex
	// millicores has the processor time of the tasks of each job.
	millicores map[string]int64
}

func newDeployment(program string, rec *record) (*deployment, error) {
	folder, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}

	d := &deployment{
		program: program, folder: folder, network: 16 + rand.IntN(200), record: rec, store: newStore(),
		closed: make(chan struct{}), millicores: map[string]int64{},
	}

	if err := d.start(); err != nil {
		d.close()

		return nil, err
	}

	return d, nil
}

func (d *deployment) start() error {
	if err := d.choosePorts(); err != nil {
		return err
	}

	d.store.put(wire.OperatorTopic, "config", compact(mustRead("configuration.json")))

	address, err := d.serve(d.address(d.ip(9, 1), 0), d.store)
	if err != nil {
		return err
	}

	d.storeAddress = address

	if err := d.openRelay(); err != nil {
		return err
	}

	for n := range entryCount {
		d.entries = append(d.entries, d.newProcess("entry", n, d.entryIP(n)))
	}

	for n := range sidecarCount {
		p := d.newProcess("sidecar", n, d.sidecarIP(n))
		b := newBackend(d, n, d.address(p.ip, d.ports.control), cores)
		d.sidecars, d.backends = append(d.sidecars, p), append(d.backends, b)

		if _, err := d.serve(d.address(p.ip, d.ports.app), b); err != nil {
			return err
		}
	}

	for _, p := range slices.Concat(d.entries, d.sidecars) {
		if err := p.start(); err != nil {
			return err
		}
	}

	for _, b := range d.backends {
		go b.announce()
	}

	return d.awaitReady(startTimeout)
}

func compact(text []byte) []byte {
	var v any

	must(json.Unmarshal(text, &v))

	short, err := json.Marshal(v)
	must(err)

	return short
}

// choosePorts chooses ports that are free on loopback.
func (d *deployment) choosePorts() error {
	for _, p := range []*int{&d.ports.front, &d.ports.ready, &d.ports.control, &d.ports.app} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		defer l.Close()

		*p = l.Addr().(*net.TCPAddr).Port
	}

	c, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	defer c.Close()

	d.ports.transport = c.LocalAddr().(*net.UDPAddr).Port

	return nil
}

func (d *deployment) ip(class, n int) string {
	return fmt.Sprintf("127.%d.%d.%d", d.network, class, n)
}

func (d *deployment) entryIP(n int) string   { return d.ip(1, n+1) }
func (d *deployment) sidecarIP(n int) string { return d.ip(2, n+1) }

func (d *deployment) address(ip string, port int) string { return fmt.Sprintf("%s:%d", ip, port) }

func zoneOf(n int) string { return fmt.Sprintf("zone-%d", n%3+1) }

// serve serves an address until the deployment is closed, and returns it with its port.
func (d *deployment) serve(address string, h http.Handler) (string, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return "", err
	}

	s := &http.Server{Handler: h}
	d.servers = append(d.servers, s)

	go func() { _ = s.Serve(l) }()

	return l.Addr().String(), nil
}

// openRelay opens the relay before the transport of the entry that may be cut off. The other processes learn its address in
// place of the entry's own.
func (d *deployment) openRelay() error {
	own := d.address(d.entryIP(isolated), d.ports.transport)
	public := d.address(d.ip(3, isolated+1), d.ports.transport)

	r, err := newRelay(public, own)
	if err != nil {
		return err
	}

	d.relay, d.store.own, d.store.public = r, own, public

	return nil
}

// setCut cuts the entry off from all other processes, or ends that.
func (d *deployment) setCut(cut bool) {
	d.relay.cut.Store(cut)
	d.record.printf("entry %d is cut off from the other processes: %t", isolated, cut)
}

// settings writes the settings file of a process and returns its path.
func (d *deployment) settings(role string, n int, ip string) string {
	s, platform := mustReadObject("settings.json"), mustReadObject("store.json")
	platform["Addr"] = d.storeAddress

	class, memory, listen := "front", entryMemory, map[string]string{
		"Front": d.address(ip, d.ports.front), "Ready": d.address(ip, d.ports.ready), "Control": d.address(ip, d.ports.control),
	}
	s["Serves"] = []string{"front", "control"}

	if role == "sidecar" {
		class, memory, listen = "side", sidecarMemory, map[string]string{"Control": d.address(ip, d.ports.control)}
		s["Serves"], s["app"], s["Service"] = []string{"side"}, d.address(ip, d.ports.app), "desk"
	}

	var seeds []string
	for n := range entryCount {
		if n != isolated {
			seeds = append(seeds, d.address(d.entryIP(n), d.ports.control))
		}
	}

	s["Node"], s["Role"], s["MachineClass"], s["Ip"], s["Zone"] = fmt.Sprintf("%s-%d", class, n+1), role, class, ip, zoneOf(n)
	s["Listen"], s["PortRange"], s["Seeds"] = listen, []int{d.ports.transport, d.ports.transport + 15}, seeds
	s["platform"] = platform
	s["Limits"] = map[string]any{
		"CpuShare": 0.4, "Cores": 1, "MemoryMb": memory, "MaxFds": 4096, "LinkMbps": 1000.0, "DiskMb": 0,
	}

	text, err := json.Marshal(s)
	must(err)

	path := filepath.Join(d.folder, fmt.Sprintf("%s-%d.json", role, n))
	must(os.WriteFile(path, text, 0o600))

	return path
}

// awaitReady waits until each entry is ready and has run tasks at all backend servers.
func (d *deployment) awaitReady(limit time.Duration) error {
	deadline := time.Now().Add(limit)

	for n := range d.entries {
		for !d.isReady(n) || !d.reachesAll(n) {
			if time.Now().After(deadline) {
				return fmt.Errorf("entry %d is not ready after %s", n, limit)
			}

			time.Sleep(50 * time.Millisecond)
		}
	}

	d.record.printf("all entries are ready")

	return nil
}

// isReady asks an entry whether it is ready.
func (d *deployment) isReady(n int) bool {
	c := http.Client{Timeout: time.Second}

	resp, err := c.Get("http://" + d.address(d.entryIP(n), d.ports.ready) + "/ready")
	if err != nil {
		return false
	}

	return errors.Join(resp.Body.Close()) == nil && resp.StatusCode == http.StatusOK
}

// reachesAll reports whether a job whose tasks need all backend servers completes at an entry.
func (d *deployment) reachesAll(n int) bool {
	j := d.newJob("short", "50ms", sidecarCount*2, cores*2/5)
	status, _, err := j.post(d, n)

	if err != nil || status != http.StatusOK {
		return false
	}

	servers := map[int]bool{}
	for _, r := range d.runsOf(j.id) {
		servers[r.Server] = true
	}

	return len(servers) == sidecarCount
}

func (d *deployment) setMillicores(id string, n int64) {
	d.mu.Lock()
	defer d.mu.Unlock()

	d.millicores[id] = n
}

// millicoresOf returns the processor time of a task.
func (d *deployment) millicoresOf(task string) int64 {
	id, _, _ := strings.Cut(task, ".")

	d.mu.Lock()
	defer d.mu.Unlock()

	return d.millicores[id]
}

// runsOf returns all runs of a job so far, the earliest first.
func (d *deployment) runsOf(id string) []runRecord {
	var all []runRecord
	for _, b := range d.backends {
		all = append(all, b.runs(id)...)
	}

	slices.SortFunc(all, func(x, y runRecord) int { return x.From.Compare(y.From) })

	return all
}

// close ends all processes and removes the temporary folder.
func (d *deployment) close() {
	close(d.closed)

	for _, p := range slices.Concat(d.entries, d.sidecars) {
		p.end()
	}

	for _, s := range d.servers {
		_ = s.Close()
	}

	if d.relay != nil {
		d.relay.close()
	}

	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(d.folder)
	} else {
		fmt.Println("logs:", d.folder)
	}
}
