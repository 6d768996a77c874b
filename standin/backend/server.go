// Package backend stands in for a backend server.
package backend

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"github.com/skylarkweir/skylarkweir/standin/leasedbackend"
)

const (
	// maxInputBytes limits the input of a task.
	maxInputBytes = 64 << 20
	// maxEchoBytes limits what a record keeps of an echo.
	maxEchoBytes = 40
)

// Server runs tasks by sleeping and keeps a record of each start. The zero value is a healthy server.
type Server struct {
	mu        sync.Mutex
	starts    []*startRecord
	startKeys map[startKey]struct{}
	counts    counts
	faults    faults
}

type startRecord struct {
	Submission string `json:"submission"`
	Task       int    `json:"task"`
	Attempt    int    `json:"attempt"`
	Kind       string `json:"kind"`
	// Echo is the beginning of the input's echo. It distinguishes tasks whose submission is not known.
	Echo  string    `json:"echo,omitempty"`
	Start time.Time `json:"start"`
	// End is zero while the task runs.
	End    time.Time `json:"end,omitzero"`
	Status int       `json:"status"`
}

// startKey must be unique to each start. Starts that share one count as repeated.
type startKey struct {
	submission    string
	task, attempt int
}

// counts sum up the starts. Repeated counts the starts of a submission, task and attempt beyond its first one.
type counts struct {
	Started   int            `json:"started"`
	Running   int            `json:"running"`
	Completed int            `json:"completed"`
	Failed    int            `json:"failed"`
	Cancelled int            `json:"cancelled"`
	Refused   int            `json:"refused"`
	Repeated  int            `json:"repeated"`
	Peak      int            `json:"peak"`
	Kinds     map[string]int `json:"kinds"`
}

// faults are the injected faults.
type faults struct {
	// FailAll answers every task at once with status 500.
	FailAll bool `json:"fail_all"`
	// SlowFactor multiplies run times; zero means 1.
	SlowFactor float64 `json:"slow_factor"`
	// Refuse closes every connection without an answer, health checks included.
	Refuse bool `json:"refuse"`
}

// input is the JSON input of a task. An input that does not decode to it is echoed.
type input struct {
	RunMS float64 `json:"run_ms"`
	Echo  string  `json:"echo"`
	// Fail is "4xx" or "5xx" to answer with such a status.
	Fail string `json:"fail"`
	// Size is the length of the output in bytes, which repeats Echo.
	Size int `json:"size"`
}

// Handler returns the HTTP API, including that of a new incarnation of a leased backend server.
func (s *Server) Handler() http.Handler {
	r := mux.NewRouter()
	r.UseEncodedPath()
	r.HandleFunc("/run/{kind}", s.serveRun).Methods(http.MethodPost)
	leasedbackend.New(strconv.FormatInt(time.Now().UnixNano(), 36)).Register(r)
	r.HandleFunc("/healthz", s.serveHealth).Methods(http.MethodGet)
	r.HandleFunc("/admin/starts", s.serveStarts).Methods(http.MethodGet)
	r.HandleFunc("/admin/counts", s.serveCounts).Methods(http.MethodGet)
	r.HandleFunc("/admin/faults", s.serveFaults).Methods(http.MethodPost)

	return r
}

func (s *Server) serveRun(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxInputBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}

	f := s.currentFaults()
	if f.Refuse {
		s.updateCounts(func(c *counts) { c.Refused++ })
		panic(http.ErrAbortHandler)
	}

	var in input
	if json.Unmarshal(body, &in) != nil {
		in = input{Echo: string(body)}
	}

	record := s.recordStart(r, in.Echo)

	status := s.execute(r, in, f)
	s.recordEnd(record, status)

	if status != http.StatusOK {
		http.Error(w, "task failed as requested by its input or an injected fault", status)
		return
	}

	_, _ = w.Write(in.output())
}

// execute sleeps for the run time of the task and returns its status; 499 means that the caller closed the request.
func (s *Server) execute(r *http.Request, in input, f faults) int {
	const statusClientClosed = 499

	if f.FailAll {
		return http.StatusInternalServerError
	}

	if f.SlowFactor > 0 {
		in.RunMS *= f.SlowFactor
	}

	timer := time.NewTimer(time.Duration(in.RunMS * float64(time.Millisecond)))
	defer timer.Stop()

	select {
	case <-r.Context().Done():
		return statusClientClosed
	case <-timer.C:
	}

	switch in.Fail {
	case "4xx":
		return http.StatusUnprocessableEntity
	case "5xx":
		return http.StatusInternalServerError
	default:
		return http.StatusOK
	}
}

func (i input) output() []byte {
	if i.Size <= 0 {
		return []byte(i.Echo)
	}

	pattern := []byte(i.Echo)
	if len(pattern) == 0 {
		pattern = []byte{'.'}
	}

	return bytes.Repeat(pattern, i.Size/len(pattern)+1)[:i.Size]
}

func (s *Server) recordStart(r *http.Request, echo string) *startRecord {
	headerInt := func(header string) int {
		n, _ := strconv.Atoi(r.Header.Get(header))
		return n
	}

	kind, err := url.PathUnescape(mux.Vars(r)["kind"])
	if err != nil {
		kind = mux.Vars(r)["kind"]
	}

	record := &startRecord{
		Submission: r.Header.Get("Weir-Submission"), Task: headerInt("Weir-Task"), Attempt: headerInt("Weir-Attempt"),
		Kind: kind, Echo: strings.Clone(echo[:min(len(echo), maxEchoBytes)]), Start: time.Now(),
	}

	s.mu.Lock()
	defer s.mu.Unlock()

	if s.startKeys == nil {
		s.startKeys = map[startKey]struct{}{}
		s.counts.Kinds = map[string]int{}
	}

	id := startKey{record.Submission, record.Task, record.Attempt}
	if _, repeated := s.startKeys[id]; repeated {
		s.counts.Repeated++
	}

	s.startKeys[id] = struct{}{}
	s.starts = append(s.starts, record)
	s.counts.Started++
	s.counts.Running++
	s.counts.Peak = max(s.counts.Peak, s.counts.Running)

	s.counts.Kinds[record.Kind]++

	return record
}

func (s *Server) recordEnd(record *startRecord, status int) {
	s.mu.Lock()
	defer s.mu.Unlock()

	record.End, record.Status = time.Now(), status
	s.counts.Running--

	switch {
	case status == http.StatusOK:
		s.counts.Completed++
	case status >= 400 && status != 499:
		s.counts.Failed++
	default:
		s.counts.Cancelled++
	}
}

func (s *Server) updateCounts(f func(*counts)) {
	s.mu.Lock()
	defer s.mu.Unlock()

	f(&s.counts)
}

func (s *Server) currentFaults() faults {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.faults
}

func (s *Server) serveHealth(w http.ResponseWriter, _ *http.Request) {
	if s.currentFaults().Refuse {
		panic(http.ErrAbortHandler)
	}

	_, _ = w.Write([]byte("ok\n"))
}

func (s *Server) serveStarts(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()

	records := make([]startRecord, 0, len(s.starts))
	for _, st := range s.starts {
		records = append(records, *st)
	}

	s.mu.Unlock()
	slices.SortFunc(records, func(a, b startRecord) int { return a.Start.Compare(b.Start) })
	writeJSON(w, records)
}

func (s *Server) serveCounts(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	body, err := json.Marshal(s.counts)
	s.mu.Unlock()

	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}

	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}

func (s *Server) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f faults

	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()

	if err := d.Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}

	s.mu.Lock()
	s.faults = f
	s.mu.Unlock()
	writeJSON(w, f)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
