// Package logservice stands in for the platform's log service, with faults that can be injected.
package logservice

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/gorilla/mux"
)

const (
	maxBodyBytes      = 64 << 20
	maxRecordsPerRead = 10_000
	maxPollWait       = time.Minute
)

// Log is the stand-in as an HTTP handler. It keeps all records in memory. The zero value is an empty log without
// faults.
type Log struct {
	once   sync.Once
	router *mux.Router

	mutex sync.Mutex
	// records holds the retained records; first is the offset of the first one.
	records []record
	first   int64
	faults  faults
	// retention is the age after which records are dropped; zero keeps all.
	retention time.Duration
	counts    counts
	// changed is closed at the next append or change of the faults.
	changed chan struct{}
}

type record struct {
	appendedAt time.Time
	data       []byte
}

// counts are since the start, and include records that have been dropped.
type counts struct {
	appends, reads, rejectedAppends, lostAnswers int64
	// refusedCalls is the number of all calls during an outage; refusedAppends is the number of appends among them.
	refusedCalls, refusedAppends int64
	recordTypes                  map[string]int64
}

// faults are the injected faults.
type faults struct {
	down, silent, loseAnswers, rejectAppends bool
	delay                                    time.Duration
}

// ServeHTTP serves the log's API and the admin API.
func (l *Log) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	l.once.Do(l.initRouter)
	l.router.ServeHTTP(w, r)
}

func (l *Log) initRouter() {
	l.router = mux.NewRouter()
	l.router.HandleFunc("/v1/append", l.serveAppend).Methods(http.MethodPost)
	l.router.HandleFunc("/v1/read", l.serveRead).Methods(http.MethodGet)
	l.router.HandleFunc("/admin/faults", l.serveFaults).Methods(http.MethodPost)
	l.router.HandleFunc("/admin/trim", l.serveTrim).Methods(http.MethodPost)
	l.router.HandleFunc("/admin/records", l.serveRecords).Methods(http.MethodGet)
}

// SetRetention drops records that are older than d from now on; zero keeps all.
func (l *Log) SetRetention(d time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	l.retention = d
}

type appendRequest struct {
	Records [][]byte `json:"records"`
}

type firstResponse struct {
	First int64 `json:"first"`
}

func (l *Log) serveAppend(w http.ResponseWriter, r *http.Request) {
	request := appendRequest{}
	if !decode(w, r, &request) {
		return
	}

	if len(request.Records) == 0 {
		http.Error(w, "append without records", http.StatusBadRequest)

		return
	}

	f, ok := l.applyFaults(w, r)
	if !ok {
		l.updateCounts(func(c *counts) { c.refusedAppends++ })

		return
	}

	if f.rejectAppends {
		l.updateCounts(func(c *counts) { c.rejectedAppends++ })
		http.Error(w, "append rejected by an injected fault", http.StatusTooManyRequests)

		return
	}

	first := l.appendRecords(request.Records)

	if f.loseAnswers {
		l.updateCounts(func(c *counts) { c.lostAnswers++ })
		panic(http.ErrAbortHandler)
	}

	writeResponse(w, http.StatusOK, firstResponse{first})
}

func (l *Log) appendRecords(records [][]byte) int64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	first := l.first + int64(len(l.records))
	now := time.Now()

	for _, data := range records {
		l.records = append(l.records, record{now, data})

		if l.counts.recordTypes == nil {
			l.counts.recordTypes = map[string]int64{}
		}

		l.counts.recordTypes[recordType(data)]++
	}

	l.counts.appends++
	l.dropExpired(now)
	l.signalChange()

	return first
}

type readResponse struct {
	First   int64        `json:"first"`
	Next    int64        `json:"next"`
	Records []readRecord `json:"records"`
}

type readRecord struct {
	Offset int64  `json:"offset"`
	TimeMS int64  `json:"time_ms"`
	Data   []byte `json:"data"`
}

func (l *Log) serveRead(w http.ResponseWriter, r *http.Request) {
	from, ok := queryInt(w, r, "from", 0)
	if !ok {
		return
	}

	waitMS, ok := queryInt(w, r, "wait_ms", 0)
	if !ok {
		return
	}

	limit, ok := queryInt(w, r, "limit", maxRecordsPerRead)
	if !ok {
		return
	}

	if _, ok := l.applyFaults(w, r); !ok {
		return
	}

	ctx, cancel := context.WithTimeout(r.Context(), min(time.Duration(waitMS)*time.Millisecond, maxPollWait))
	defer cancel()

	l.awaitRecord(ctx, from)

	page, f := l.readPage(from, int(min(limit, maxRecordsPerRead)))

	switch {
	case f.silent:
		<-r.Context().Done()
	case f.down:
		http.Error(w, "log is down because of an injected fault", http.StatusServiceUnavailable)
	case from < page.First:
		writeResponse(w, http.StatusGone, firstResponse{page.First})
	case page.Next < from:
		http.Error(w, "offset is beyond the end of the log", http.StatusBadRequest)
	default:
		writeResponse(w, http.StatusOK, page)
	}
}

// awaitRecord returns once there is a record at from, an outage is injected or the context ends.
func (l *Log) awaitRecord(ctx context.Context, from int64) {
	for {
		l.mutex.Lock()
		ready := from < l.first+int64(len(l.records)) || l.faults.down || l.faults.silent
		changed := l.changeSignal()
		l.mutex.Unlock()

		if ready {
			return
		}

		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// readPage returns the records from the offset on; its Next is below from if the offset is beyond the end.
func (l *Log) readPage(from int64, limit int) (readResponse, faults) {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	l.counts.reads++
	l.dropExpired(time.Now())

	end := l.first + int64(len(l.records))
	page := readResponse{First: l.first, Next: min(max(from, l.first), end), Records: []readRecord{}}

	for page.Next < end && len(page.Records) < limit {
		r := l.records[page.Next-l.first]
		page.Records = append(page.Records, readRecord{page.Next, r.appendedAt.UnixMilli(), r.data})
		page.Next++
	}

	return page, l.faults
}

// applyFaults applies the faults that affect every call, and returns all faults. It reports false if it has ended the
// call because of an outage.
func (l *Log) applyFaults(w http.ResponseWriter, r *http.Request) (faults, bool) {
	l.mutex.Lock()
	f := l.faults
	l.mutex.Unlock()

	// A slow append takes effect even if the client has timed out by then.
	time.Sleep(f.delay)

	switch {
	case f.silent:
		l.updateCounts(func(c *counts) { c.refusedCalls++ })
		<-r.Context().Done()

		return f, false
	case f.down:
		l.updateCounts(func(c *counts) { c.refusedCalls++ })
		http.Error(w, "log is down because of an injected fault", http.StatusServiceUnavailable)

		return f, false
	default:
		return f, true
	}
}

func (l *Log) updateCounts(add func(*counts)) {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	add(&l.counts)
}

// dropExpired is called with the mutex held.
func (l *Log) dropExpired(now time.Time) {
	if l.retention <= 0 {
		return
	}

	n := 0
	for n < len(l.records) && now.Sub(l.records[n].appendedAt) > l.retention {
		n++
	}

	l.dropOldest(n)
}

// dropOldest is called with the mutex held.
func (l *Log) dropOldest(n int) {
	l.records = append([]record(nil), l.records[n:]...)
	l.first += int64(n)
}

// changeSignal is called with the mutex held.
func (l *Log) changeSignal() <-chan struct{} {
	if l.changed == nil {
		l.changed = make(chan struct{})
	}

	return l.changed
}

// signalChange is called with the mutex held.
func (l *Log) signalChange() {
	if l.changed != nil {
		close(l.changed)
		l.changed = nil
	}
}

func queryInt(w http.ResponseWriter, r *http.Request, key string, fallback int64) (int64, bool) {
	text := r.URL.Query().Get(key)
	if text == "" {
		return fallback, true
	}

	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n < 0 {
		http.Error(w, key+" must be a non-negative integer", http.StatusBadRequest)

		return 0, false
	}

	return n, true
}

func decode(w http.ResponseWriter, r *http.Request, into any) bool {
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	d.DisallowUnknownFields()

	if err := d.Decode(into); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)

		return false
	}

	return true
}

func writeResponse(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
