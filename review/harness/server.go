package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// maxLeaseMS is the longest lease that a server grants.
	maxLeaseMS = 1000
	// firstClockMS is the reading of a server's clock at its start.
	firstClockMS = 1000
	// heartbeatInterval is the time between two announcements of a server.
	heartbeatInterval = 1500 * time.Millisecond
	// leaseTick is the time between two checks of the lease.
	leaseTick = 2 * time.Millisecond
	// maxListedEnds is how many ended runs a server lists at a time.
	maxListedEnds = 500
)

// run is one run of a task at a server. Its times are those of the record.
type run struct {
	server    *server
	task      string
	number    int64
	cpu       int64
	startedAt time.Duration
	endedAt   time.Duration
	how       string
	endNumber int64
	// remaining is how long the run goes on from resumedAt, unless it is ended before, and outcome is how it ends then.
	remaining   time.Duration
	resumedAt   time.Time
	outcome     string
	finishTimer *time.Timer
}

// job returns the id of the job that the task belongs to.
func (r *run) job() string {
	id, _, _ := strings.Cut(r.task, ".")

	return id
}

// server stands in for a backend server, in one life. The input of a task is its run time. It keeps its room, its lease and
// its fencing token as the pages say, and answers every call.
type server struct {
	record  *record
	number  int
	id      string
	address string
	// control is the address of the sidecar that receives the announcements.
	control string
	began   time.Time

	mu sync.Mutex
	// suspendedAt is when the machine of the server was suspended, zero while it is not; suspended is how long it was
	// suspended before. resumed is closed while it is not suspended.
	suspendedAt time.Time
	suspended   time.Duration
	resumed     chan struct{}
	// failing is true while each task that is started fails at once, mute while calls are carried out and not answered.
	failing  bool
	mute     bool
	draining bool
	sequence int64
	token    int64
	// leaseEnd is on the clock of this server.
	leaseEnd int64
	freeCPU  int64
	running  map[string]*run
	ended    []*run
	lastEnd  int64
	// highest has the highest run of each task that has ended or was stopped here.
	highest map[string]int64
	// changed is closed and replaced when a run ends.
	changed chan struct{}
	// history has all runs.
	history []*run
}

func newServer(rec *record, number int, id, address, control string) *server {
	resumed := make(chan struct{})
	close(resumed)

	return &server{
		resumed: resumed, record: rec, number: number, id: id, address: address, control: control, began: time.Now(), freeCPU: serverCPU,
		running: map[string]*run{}, highest: map[string]int64{}, changed: make(chan struct{}),
	}
}

// clock returns the reading of the server's steady clock in milliseconds, which does not count the time for which its
// machine was suspended. The caller holds mu.
func (s *server) clock() int64 {
	now := time.Now()
	if !s.suspendedAt.IsZero() {
		now = s.suspendedAt
	}

	return firstClockMS + (now.Sub(s.began) - s.suspended).Milliseconds()
}

// suspend stops the clock, the runs and the answers of the server, as its machine is suspended, until resume.
func (s *server) suspend() {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.suspendedAt, s.resumed = time.Now(), make(chan struct{})

	for _, r := range s.running {
		r.finishTimer.Stop()
		r.remaining -= time.Since(r.resumedAt)
	}
}

func (s *server) resume() {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.suspended += time.Since(s.suspendedAt)
	s.suspendedAt = time.Time{}

	for _, r := range s.running {
		s.finishLater(r)
	}

	close(s.resumed)
}

// lockResumed waits until the machine is not suspended, and locks mu.
func (s *server) lockResumed() {
	for {
		s.mu.Lock()

		if s.suspendedAt.IsZero() {
			return
		}

		resumed := s.resumed
		s.mu.Unlock()
		<-resumed
	}
}

func (s *server) bornMS() int64 { return s.began.UnixMilli() }

// start serves the calls of the sidecar and sends announcements until the context ends.
func (s *server) start(ctx context.Context) error {
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}

	h := &http.Server{Handler: s}
	context.AfterFunc(ctx, func() { _ = h.Close() })

	go func() { _ = h.Serve(l) }()
	go s.watchLease(ctx)
	go s.announceAll(ctx)

	return nil
}

func (s *server) watchLease(ctx context.Context) {
	t := time.NewTicker(leaseTick)
	defer t.Stop()

	for ctx.Err() == nil {
		<-t.C

		s.mu.Lock()
		if s.clock() > s.leaseEnd {
			for _, r := range s.running {
				s.end(r, "lapsed")
			}
		}
		s.mu.Unlock()
	}
}

func (s *server) announceAll(ctx context.Context) {
	t := time.NewTicker(heartbeatInterval)
	defer t.Stop()

	for {
		s.announce(ctx)

		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// announce sends the server's announcement and returns the status of the answer, zero if there is none.
func (s *server) announce(ctx context.Context) int {
	s.lockResumed()
	s.sequence++
	m := newMessage("announcement")
	m["Addr"], m["ClockMs"], m["Seq"], m["born"] = s.address, s.clock(), s.sequence, s.bornMS()
	m["Labels"] = []string{"a", fmt.Sprintf("r1-%d", 1+s.number/3)}

	if s.draining {
		m["State"], m["RemainingMs"] = "draining", drainRemaining.Milliseconds()
	}
	s.mu.Unlock()

	return sendAnnouncement(ctx, s.control, s.id, m)
}

// sendAnnouncement sends an announcement and returns the status of the answer, zero if there is none.
func sendAnnouncement(ctx context.Context, control, id string, m map[string]any) int {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()

	r, err := http.NewRequestWithContext(
		ctx, http.MethodPost, "http://"+control+"/instances/"+id+"/heartbeat", bytes.NewReader(encode(m)))
	if err != nil {
		return 0
	}

	r.Header.Set("Content-Type", "application/json")

	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0
	}

	_ = resp.Body.Close()

	return resp.StatusCode
}

func (s *server) setFailing(failing bool) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.failing = failing
}

func (s *server) setMute(mute bool) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.mute = mute
}

func (s *server) isMute() bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.mute
}

func (s *server) setDraining() {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.draining = true
}

// call is the body of a call of the sidecar.
type call struct {
	task              string
	run               int64
	input             string
	leaseEnd, token   int64
	acknowledged      int64
	waitMS            int64
	hasLease, isValid bool
}

func readCall(r *http.Request) call {
	var m map[string]any

	d := json.NewDecoder(r.Body)
	d.UseNumber()

	if d.Decode(&m) != nil {
		return call{}
	}

	number := func(field string) int64 {
		n, _ := m[field].(json.Number)
		i, _ := n.Int64()

		return i
	}
	text := func(field string) string {
		t, _ := m[field].(string)

		return t
	}
	_, hasLease := m[name("lease end")]

	return call{
		task: text("Task"), run: number("Run"), input: text("Spec"), leaseEnd: number(name("lease end")),
		token: number(name("token")), acknowledged: number(name("acknowledged")), waitMS: number(name("wait")),
		hasLease: hasLease, isValid: true,
	}
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "application/json")

	if id := r.Header.Get(name("instance header")); id != "" && id != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)

		return
	}

	c := readCall(r)
	if !c.isValid {
		w.WriteHeader(http.StatusBadRequest)

		return
	}

	answer := httptest.NewRecorder()

	switch r.URL.Path {
	case name("start path"):
		s.handleStart(answer, c)
	case name("stop path"):
		s.handleStop(answer, c)
	case name("hold path"):
		s.handleHold(answer, r, c)
	default:
		answer.WriteHeader(http.StatusNotFound)
	}

	if s.isMute() {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}

	w.WriteHeader(answer.Code)
	_, _ = w.Write(answer.Body.Bytes())
}

// isFenced reports whether the token of a call is lower than one that the server has seen. The caller holds mu.
func (s *server) isFenced(c call) bool {
	if c.token < s.token {
		return true
	}

	s.token = c.token

	return false
}

// extendLease extends the lease to the end that a call names. The caller holds mu.
func (s *server) extendLease(c call) {
	if c.hasLease {
		s.leaseEnd = max(s.leaseEnd, min(c.leaseEnd, s.clock()+maxLeaseMS))
	}
}

func (s *server) reject(w http.ResponseWriter, reason string) {
	w.WriteHeader(http.StatusConflict)
	_, _ = w.Write(encode(map[string]any{"ClockMs": s.clock(), "Reason": reason, "born": s.bornMS()}))
}

func (s *server) accept(w http.ResponseWriter) {
	_, _ = w.Write(encode(map[string]any{"ClockMs": s.clock(), "born": s.bornMS()}))
}

func (s *server) handleStart(w http.ResponseWriter, c call) {
	s.lockResumed()
	defer s.mu.Unlock()

	if s.isFenced(c) {
		s.reject(w, "fence")

		return
	}

	if !c.hasLease || c.leaseEnd <= s.clock() {
		s.reject(w, "late")

		return
	}

	s.extendLease(c)

	old := s.running[c.task]

	switch {
	case old != nil && old.number == c.run:
		s.accept(w)

		return
	case old != nil, c.run <= s.highest[c.task]:
		s.reject(w, "old")

		return
	case taskCPU > s.freeCPU:
		s.reject(w, "room")

		return
	}

	s.begin(c)
	s.accept(w)
}

// begin starts a run. The caller holds mu.
func (s *server) begin(c call) {
	duration, err := time.ParseDuration(c.input)
	how := "done"

	if err != nil || s.failing {
		duration, how = failTime, "failed"
	}

	r := &run{
		server: s, task: c.task, number: c.run, cpu: taskCPU, startedAt: s.record.elapsed(), remaining: duration, outcome: how,
	}
	s.running[c.task] = r
	s.history = append(s.history, r)
	s.freeCPU -= r.cpu
	s.record.line("server %d  start of %s, run %d", s.number, r.task, r.number)

	s.finishLater(r)
}

// finishLater ends a run by itself after its remaining time. The caller holds mu.
func (s *server) finishLater(r *run) {
	r.resumedAt = time.Now()
	r.finishTimer = time.AfterFunc(r.remaining, func() {
		s.mu.Lock()
		defer s.mu.Unlock()

		if s.suspendedAt.IsZero() {
			s.end(r, r.outcome)
		}
	})
}

// end ends a run. The caller holds mu.
func (s *server) end(r *run, how string) {
	if s.running[r.task] != r {
		return
	}

	r.finishTimer.Stop()
	delete(s.running, r.task)

	s.lastEnd++
	r.endNumber, r.how, r.endedAt = s.lastEnd, how, s.record.elapsed()
	s.ended = append(s.ended, r)
	s.highest[r.task] = max(s.highest[r.task], r.number)
	s.freeCPU += r.cpu
	s.record.line("server %d  end of %s, run %d: %s", s.number, r.task, r.number, how)

	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *server) handleStop(w http.ResponseWriter, c call) {
	s.lockResumed()
	defer s.mu.Unlock()

	if s.isFenced(c) {
		s.reject(w, "fence")

		return
	}

	if r := s.running[c.task]; r != nil && r.number <= c.run {
		s.end(r, "stopped")
	}

	s.highest[c.task] = max(s.highest[c.task], c.run)
	s.accept(w)
}

func (s *server) handleHold(w http.ResponseWriter, r *http.Request, c call) {
	s.lockResumed()
	defer s.mu.Unlock()

	if s.isFenced(c) {
		s.reject(w, "fence")

		return
	}

	s.extendLease(c)
	s.ended = slices.DeleteFunc(s.ended, func(r *run) bool { return r.endNumber <= c.acknowledged })

	timeout := time.After(time.Duration(c.waitMS) * time.Millisecond)
	for waiting := c.waitMS > 0; waiting && len(s.ended) == 0; {
		changed := s.changed
		s.mu.Unlock()

		select {
		case <-changed:
		case <-timeout:
			waiting = false
		case <-r.Context().Done():
			waiting = false
		}

		s.lockResumed()
	}

	running, ended := [][]any{}, [][]any{}

	for _, task := range slices.Sorted(maps.Keys(s.running)) {
		running = append(running, []any{task, s.running[task].number, "", 100})
	}

	for _, e := range s.ended[:min(len(s.ended), maxListedEnds)] {
		ended = append(ended, []any{e.endNumber, e.task, e.number, e.how, ""})
	}

	_, _ = w.Write(encode(map[string]any{
		"ClockMs": s.clock(), "born": s.bornMS(), "Running": running, "Ended": ended,
	}))
}

// runs returns a copy of all runs so far; the end of one that goes on is zero.
func (s *server) runs() []run {
	s.mu.Lock()
	defer s.mu.Unlock()

	all := make([]run, 0, len(s.history))
	for _, r := range s.history {
		all = append(all, *r)
	}

	return all
}
