package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// heartbeatInterval is the time between two heartbeats of a backend server.
	heartbeatInterval = 1500 * time.Millisecond
	// maxLease is the longest lease that a backend server grants, in milliseconds.
	maxLease = 1000
	// maxListedEnds is how many ends a backend server lists at a time.
	maxListedEnds = 500
)

// runRecord is one run as the backend server has seen it.
type runRecord struct {
	Task      string
	number    int64
	Server    int
	Spec      string
	From, To  time.Time
	How       string
	millicore int64
}

// backend stands in for a sound backend server with an admission check. The input of a task is its run time.
type backend struct {
	deployment     *deployment
	number         int
	instance       string
	controlAddress string
	born           time.Time
	// cpu is the capacity in millicores.
	cpu int64

	mu       sync.Mutex
	sequence int64
	token    int64
	// leaseEnd is on the clock of this server in milliseconds.
	leaseEnd int64
	running  map[string]*runRecord
	// highest is the highest number of a run of each task that was stopped or has ended.
	highest map[string]int64
	ends    []end
	lastEnd int64
	// changed is closed and replaced when a run ends.
	changed chan struct{}
	history []*runRecord
}

// end is a run that has ended and is not acknowledged.
type end struct {
	number int64
	run    *runRecord
}

func newBackend(d *deployment, number int, control string, cpu int64) *backend {
	return &backend{
		deployment: d, number: number, instance: fmt.Sprintf("i-%08x", 0x7f3a9000+number), controlAddress: control,
		born: time.Now(), cpu: cpu, running: map[string]*runRecord{}, highest: map[string]int64{}, changed: make(chan struct{}),
	}
}

// clock returns the steady clock in milliseconds.
func (b *backend) clock() int64 { return 1000 + time.Since(b.born).Milliseconds() }

// call has the fields of all calls; the names are those of the protocol.
type call struct {
	task, spec                                 string
	run, token, leaseEnd, lastEnd, wait, clock int64
}

func decodeCall(r *http.Request) (call, error) {
	var fields map[string]json.RawMessage

	if err := json.NewDecoder(r.Body).Decode(&fields); err != nil {
		return call{}, err
	}

	var c call

	for name, target := range map[string]any{
		"Task": &c.task, "Spec": &c.spec, "Run": &c.run, wire.Token: &c.token, wire.LeaseEnd: &c.leaseEnd,
		wire.LastEnd: &c.lastEnd, wire.Wait: &c.wait,
	} {
		if raw, ok := fields[name]; ok {
			if err := json.Unmarshal(raw, target); err != nil {
				return call{}, err
			}
		}
	}

	return c, nil
}

// ServeHTTP answers a call of the sidecar.
func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, err := decodeCall(r)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)

		return
	}

	if intended := r.Header.Get(wire.InstanceHeader); intended != "" && intended != b.instance {
		w.WriteHeader(http.StatusMisdirectedRequest)

		return
	}

	switch r.URL.Path {
	case wire.Start:
		b.start(w, c)
	case wire.Stop:
		b.stop(w, c)
	case wire.Watch:
		b.watch(w, r, c)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// accept checks and keeps the fencing token. The caller holds mu.
func (b *backend) accept(c call) bool {
	if c.token < b.token {
		return false
	}

	b.token = c.token

	return true
}

// extend extends the lease of all that runs. The caller holds mu.
func (b *backend) extend(c call) {
	b.expire()

	if until := min(c.leaseEnd, b.clock()+maxLease); until > b.leaseEnd {
		b.leaseEnd = until
		time.AfterFunc(time.Duration(until-b.clock()+1)*time.Millisecond, func() {
			b.mu.Lock()
			defer b.mu.Unlock()

			b.expire()
		})
	}
}

// expire ends everything if the lease has ended. The caller holds mu.
func (b *backend) expire() {
	if b.clock() <= b.leaseEnd {
		return
	}

	for _, r := range b.running {
		b.finish(r, "lapsed")
	}
}

// finish ends a run. The caller holds mu.
func (b *backend) finish(r *runRecord, how string) {
	if b.running[r.Task] != r {
		return
	}

	delete(b.running, r.Task)
	b.highest[r.Task] = max(b.highest[r.Task], r.number)
	b.lastEnd++
	b.ends = append(b.ends, end{b.lastEnd, r})
	r.To, r.How = time.Now(), how
	b.deployment.record.printf("server %d: run %d of %s ended %s", b.number, r.number, r.Task, how)
	close(b.changed)
	b.changed = make(chan struct{})
}

func (b *backend) reject(w http.ResponseWriter, reason string) {
	writeJSON(w, http.StatusConflict, map[string]any{"ClockMs": b.clock(), "Reason": reason})
}

func (b *backend) start(w http.ResponseWriter, c call) {
	b.mu.Lock()
	defer b.mu.Unlock()

	if !b.accept(c) {
		b.reject(w, "fence")

		return
	}

	if c.leaseEnd <= b.clock() {
		b.reject(w, "late")

		return
	}

	b.extend(c)

	current, millicores := b.running[c.task], b.deployment.millicoresOf(c.task)

	switch {
	case current != nil && current.number == c.run:
	case current != nil || c.run <= b.highest[c.task]:
		b.reject(w, "old")

		return
	case b.used()+millicores > b.cpu:
		b.reject(w, "room")

		return
	default:
		b.begin(c, millicores)
	}

	writeJSON(w, http.StatusOK, map[string]any{"ClockMs": b.clock()})
}

// used returns the millicores in use. The caller holds mu.
func (b *backend) used() (sum int64) {
	for _, r := range b.running {
		sum += r.millicore
	}

	return sum
}

// begin begins a run. The caller holds mu.
func (b *backend) begin(c call, millicores int64) {
	r := &runRecord{Task: c.task, number: c.run, Server: b.number, Spec: c.spec, From: time.Now(), millicore: millicores}
	b.running[c.task] = r
	b.history = append(b.history, r)
	b.deployment.record.printf("server %d: run %d of %s starts", b.number, c.run, c.task)

	text, _, _ := strings.Cut(c.spec, " ")

	length, err := time.ParseDuration(text)
	if err != nil {
		length = 10 * time.Millisecond
	}

	time.AfterFunc(length, func() {
		b.mu.Lock()
		defer b.mu.Unlock()

		b.expire()
		b.finish(r, "done")
	})
}

func (b *backend) stop(w http.ResponseWriter, c call) {
	b.mu.Lock()
	defer b.mu.Unlock()

	if !b.accept(c) {
		b.reject(w, "fence")

		return
	}

	b.expire()
	b.highest[c.task] = max(b.highest[c.task], c.run)

	if r := b.running[c.task]; r != nil && r.number <= c.run {
		b.finish(r, "stopped")
	}

	writeJSON(w, http.StatusOK, map[string]any{"ClockMs": b.clock()})
}

func (b *backend) watch(w http.ResponseWriter, r *http.Request, c call) {
	b.mu.Lock()
	defer b.mu.Unlock()

	if !b.accept(c) {
		b.reject(w, "fence")

		return
	}

	b.extend(c)

	for len(b.ends) > 0 && b.ends[0].number <= c.lastEnd {
		b.ends = b.ends[1:]
	}

	if len(b.ends) == 0 && c.wait > 0 {
		b.awaitEnd(r.Context(), time.Duration(c.wait)*time.Millisecond)
	}

	b.expire()

	running, ended := [][]any{}, [][]any{}
	for _, r := range b.running {
		running = append(running, []any{r.Task, r.number, "", 100, r.millicore})
	}

	for _, e := range b.ends[:min(len(b.ends), maxListedEnds)] {
		ended = append(ended, []any{e.number, e.run.Task, e.run.number, e.run.How, ""})
	}

	writeJSON(w, http.StatusOK, map[string]any{
		"ClockMs": b.clock(), "born": b.born.UnixMilli(), "Running": running, "Ended": ended,
	})
}

// awaitEnd waits for the end of a run. The caller holds mu, which is released meanwhile.
func (b *backend) awaitEnd(ctx context.Context, wait time.Duration) {
	changed := b.changed

	b.mu.Unlock()
	defer b.mu.Lock()

	select {
	case <-changed:
	case <-time.After(wait):
	case <-ctx.Done():
	}
}

// announce sends heartbeats until the deployment is closed. One that is not acknowledged is sent again soon.
func (b *backend) announce() {
	for {
		wait := heartbeatInterval
		if !b.heartbeat() {
			wait = 100 * time.Millisecond
		}

		select {
		case <-time.After(wait):
		case <-b.deployment.closed:
			return
		}
	}
}

func (b *backend) heartbeat() bool {
	b.mu.Lock()
	b.sequence++
	body, err := json.Marshal(map[string]any{
		"Service": "desk", "Addr": b.deployment.address(b.deployment.sidecarIP(b.number), b.deployment.ports.app),
		"Zone": zoneOf(b.number), "Version": "v1", "Slots": 8, "State": "ready", "ColdLeftMs": 0,
		"Capacity": map[string]int64{"Cpu": b.cpu, "MemMb": 65536, "Gpu": 0},
		"Labels":   []string{"a", "r" + strconv.Itoa(1+b.number/3)}, "ClockMs": b.clock(), "Seq": b.sequence,
		"born": b.born.UnixMilli(),
	})
	b.mu.Unlock()
	must(err)

	c := http.Client{Timeout: time.Second}

	resp, err := c.Post("http://"+b.controlAddress+"/instances/"+b.instance+"/heartbeat", "application/json", bytes.NewReader(body))
	if err != nil {
		return false
	}
	defer resp.Body.Close()

	return resp.StatusCode < http.StatusMultipleChoices
}

// runs returns copies of all runs of a job so far.
func (b *backend) runs(id string) (all []runRecord) {
	b.mu.Lock()
	defer b.mu.Unlock()

	for _, r := range b.history {
		if strings.HasPrefix(r.Task, id+".") {
			all = append(all, *r)
		}
	}

	return all
}
