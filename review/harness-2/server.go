package main

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	heartbeatInterval = 1500 * time.Millisecond
	heartbeatTimeout  = time.Second
	maxLease          = time.Second
	serverCPU         = 16000
	taskCPU           = 1000
)

// server is a stand-in of a backend server that guards its capacity. The input of a task is its run time in milliseconds.
type server struct {
	record          *record
	id              string
	address         string
	control         string
	labels          []string
	born            time.Time
	mu              sync.Mutex
	token, sequence int64
	leaseEnd        time.Duration
	runs            map[string]*taskRun
	highest         map[string]int64
	ended           [][]any
	lastEnd         int64
	changed         chan struct{}
	draining        bool
	// tasksHaveNoSize is true if the tasks of the case need no processor time and no memory, so that any number has room.
	tasksHaveNoSize bool
	// isQuiet is true if there are too many runs to record each of them.
	isQuiet bool
	// capacity is what it says, and doesn't guard it if isUnguarded. overCapacity counts the starts that were beyond it.
	capacity     int
	isUnguarded  bool
	overCapacity int
	// beats is the number of heartbeats that the server itself has sent.
	beats int
	// muteUntil is the time up to which starts are neither carried out nor answered.
	muteUntil time.Time
	drainedAt time.Time
	starts    []start
}

type taskRun struct {
	number int64
	timer  *time.Timer
}

// start is a task that has begun.
type start struct {
	task string
	at   time.Time
}

func newServer(r *record, id, address, control string, labels ...string) *server {
	return &server{
		record: r, id: id, address: address, control: control, labels: labels, born: time.Now(),
		capacity: serverCPU, runs: map[string]*taskRun{}, highest: map[string]int64{}, changed: make(chan struct{}),
	}
}

func (s *server) clock() time.Duration { return time.Since(s.born) + time.Second }

// heartbeat returns the next report, with the number of GPUs as it stands in the text.
func (s *server) heartbeat(state, gpu string, labels []string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.sequence++

	quoted := make([]string, 0, len(labels))
	for _, l := range labels {
		quoted = append(quoted, strconv.Quote(l))
	}

	return []byte(fill(heartbeatText, map[string]string{
		"ADDRESS": s.address, "STATE": state, "GPU": gpu, "LABELS": strings.Join(quoted, ", "),
		"CPU":      strconv.Itoa(s.capacity),
		"CLOCK":    strconv.FormatInt(s.clock().Milliseconds(), 10),
		"SEQUENCE": strconv.FormatInt(s.sequence, 10), "STARTED": strconv.FormatInt(s.born.UnixMilli(), 10),
	}))
}

// post sends a report to the sidecar and returns the status, or zero if there was no answer within a second.
func (s *server) post(body []byte) int {
	ctx, cancel := context.WithTimeout(context.Background(), heartbeatTimeout)
	defer cancel()

	r, err := http.NewRequestWithContext(
		ctx, http.MethodPost, "http://"+s.control+"/instances/"+s.id+"/heartbeat", bytes.NewReader(body))
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

// beat sends a heartbeat of the server itself.
func (s *server) beat() {
	s.mu.Lock()
	draining := s.draining
	s.mu.Unlock()

	state := "ready"
	if draining {
		state = "draining"
	}

	status := s.post(s.heartbeat(state, "0", s.labels))
	s.record.add("heartbeat of %s: %s, status %d", s.id, state, status)

	s.mu.Lock()
	defer s.mu.Unlock()

	s.beats++

	if draining && status == http.StatusOK && s.drainedAt.IsZero() {
		s.drainedAt = time.Now()
	}
}

// awaitBeat waits until the server has sent its next heartbeat.
func (s *server) awaitBeat() {
	for first := s.beatsSoFar(); s.beatsSoFar() == first; {
		time.Sleep(10 * time.Millisecond)
	}
}

func (s *server) beatsSoFar() int {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.beats
}

func (s *server) run(ctx context.Context) {
	t := time.NewTicker(heartbeatInterval)
	defer t.Stop()

	for {
		s.beat()

		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// drain says that the server leaves, and returns when that was acknowledged.
func (s *server) drain() time.Time {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()

	for {
		s.beat()

		s.mu.Lock()
		at := s.drainedAt
		s.mu.Unlock()

		if !at.IsZero() {
			return at
		}

		time.Sleep(100 * time.Millisecond)
	}
}

// mute leaves starts unanswered, and does not carry them out, until a time.
func (s *server) mute(until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.muteUntil = until
}

// shrinkTo lowers the capacity of the server, which does not guard it.
func (s *server) shrinkTo(capacity int) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.capacity, s.isUnguarded = capacity, true
}

// startsOverCapacity returns how many starts have brought the server over its capacity.
func (s *server) startsOverCapacity() int {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.overCapacity
}

// startsSoFar returns the tasks that have begun.
func (s *server) startsSoFar() []start {
	s.mu.Lock()
	defer s.mu.Unlock()

	return append([]start{}, s.starts...)
}

// request has the fields of all calls, by their names on the wire.
type request map[string]json.RawMessage

func (r request) text(name string) (s string) {
	_ = json.Unmarshal(r[names[name]], &s)

	return s
}

func (r request) number(name string) (n int64) {
	_ = json.Unmarshal(r[names[name]], &n)

	return n
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var q request
	if json.NewDecoder(r.Body).Decode(&q) != nil {
		w.WriteHeader(http.StatusBadRequest)

		return
	}

	if r.Header.Get(names["instanceHeader"]) != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)

		return
	}

	s.mu.Lock()
	defer s.mu.Unlock()

	if r.URL.Path == names["start"] && time.Now().Before(s.muteUntil) {
		s.record.add("%s leaves a start of %s unanswered and does nothing", s.id, q.text("task"))
		s.mu.Unlock()
		<-r.Context().Done()
		s.mu.Lock()

		return
	}

	s.expire()

	if q.number("token") < s.token {
		s.reply(w, http.StatusConflict, "fence")

		return
	}

	s.token = q.number("token")

	switch r.URL.Path {
	case names["start"]:
		s.start(w, q)
	case names["stop"]:
		s.stop(q.text("task"), q.number("run"))
		s.reply(w, http.StatusOK, "")
	case names["hold"]:
		s.hold(w, r, q)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *server) reply(w http.ResponseWriter, status int, reason string) {
	body := map[string]any{names["clock"]: s.clock().Milliseconds()}
	if reason != "" {
		body[names["reason"]] = reason
	}

	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *server) renew(q request) {
	end := time.Duration(q.number("leaseEnd")) * time.Millisecond
	s.leaseEnd = max(s.leaseEnd, min(end, s.clock()+maxLease))
}

// expire ends everything once the lease has ended.
func (s *server) expire() {
	if s.clock() <= s.leaseEnd {
		return
	}

	for task := range s.runs {
		s.end(task, "lapsed")
	}
}

func (s *server) start(w http.ResponseWriter, q request) {
	task, number := q.text("task"), q.number("run")
	current := s.runs[task]

	switch {
	case time.Duration(q.number("leaseEnd"))*time.Millisecond <= s.clock():
		s.reply(w, http.StatusConflict, "late")

		return
	case current != nil && current.number == number:
		s.renew(q)
		s.reply(w, http.StatusOK, "")

		return
	case current != nil || number <= s.highest[task]:
		s.renew(q)
		s.reply(w, http.StatusConflict, "old")

		return
	case !s.tasksHaveNoSize && !s.isUnguarded && (len(s.runs)+1)*taskCPU > s.capacity:
		s.renew(q)
		s.reply(w, http.StatusConflict, "room")

		return
	}

	s.renew(q)

	ms, err := strconv.Atoi(q.text("input"))
	if err != nil {
		ms = 1
	}

	if (len(s.runs)+1)*taskCPU > s.capacity && !s.tasksHaveNoSize {
		s.overCapacity++
		s.record.add("%s starts %s beside %d others, beyond its capacity of %d", s.id, task, len(s.runs), s.capacity)
	}

	t := &taskRun{number: number}
	t.timer = time.AfterFunc(time.Duration(ms)*time.Millisecond, func() { s.finish(task, t) })
	s.runs[task] = t
	s.starts = append(s.starts, start{task, time.Now()})
	s.log("%s has started %s, run %d, for %d ms", s.id, task, number, ms)
	s.reply(w, http.StatusOK, "")
}

func (s *server) finish(task string, t *taskRun) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.expire()

	if s.runs[task] == t {
		s.end(task, "done")
	}
}

func (s *server) stop(task string, number int64) {
	s.highest[task] = max(s.highest[task], number)

	if t := s.runs[task]; t != nil && t.number <= number {
		s.end(task, "stopped")
	}
}

// end ends the run of a task.
func (s *server) end(task, how string) {
	t := s.runs[task]
	t.timer.Stop()
	delete(s.runs, task)

	s.highest[task] = max(s.highest[task], t.number)
	s.lastEnd++
	s.ended = append(s.ended, []any{s.lastEnd, task, t.number, how, ""})
	s.log("%s has ended %s, run %d: %s", s.id, task, t.number, how)

	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *server) hold(w http.ResponseWriter, r *http.Request, q request) {
	s.renew(q)

	acknowledged := q.number("acknowledged")

	kept := [][]any{}
	for _, e := range s.ended {
		if e[0].(int64) > acknowledged {
			kept = append(kept, e)
		}
	}

	s.ended = kept

	if wait := time.Duration(q.number("wait")) * time.Millisecond; len(kept) == 0 && wait > 0 {
		s.await(r.Context(), wait)
		s.expire()
	}

	const maxListedEnds = 500

	running := [][]any{}
	for task, t := range s.runs {
		running = append(running, []any{task, t.number, "", 100, taskCPU})
	}

	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{
		names["clock"]: s.clock().Milliseconds(), names["startedAt"]: s.born.UnixMilli(),
		names["running"]: running, names["ended"]: s.ended[:min(len(s.ended), maxListedEnds)],
	})
}

// await waits for an end, without the lock.
func (s *server) await(ctx context.Context, wait time.Duration) {
	changed := s.changed

	s.mu.Unlock()
	defer s.mu.Lock()

	select {
	case <-changed:
	case <-time.After(wait):
	case <-ctx.Done():
	}
}

// log records an event of a run.
func (s *server) log(format string, values ...any) {
	if !s.isQuiet {
		s.record.add(format, values...)
	}
}

func jobOf(task string) string {
	id, _, _ := strings.Cut(task, ".")

	return id
}
