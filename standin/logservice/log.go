// Package logservice is a stand-in of the platform's log service, with faults that can be switched on.
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
	maxBody  = 64 << 20
	maxLimit = 10_000
	maxWait  = time.Minute
)

// Log is the stand-in as an HTTP handler. It keeps everything in memory. The zero value is an empty log without faults.
type Log struct {
	once   sync.Once
	router *mux.Router

	mutex sync.Mutex
	// records holds the retained ones; the offset of the first is first.
	records []entry
	first   int64
	faults  faults
	// keepFor drops older records; zero keeps all.
	keepFor time.Duration
	counts  counts
	// changed is closed at the next append or change of the faults.
	changed chan struct{}
}

type entry struct {
	at   time.Time
	data []byte
}

// counts are since the start, and include what was dropped.
type counts struct {
	appends, reads, rejected, lost int64
	// refused is the number of all calls that met an outage; refusedAppends is the part of it that were appends.
	refused, refusedAppends int64
	types                   map[string]int64
}

// faults are the ones that are switched on.
type faults struct {
	down, silent, loseAnswers, rejectAppends bool
	delay                                    time.Duration
}

// ServeHTTP answers the log's API and the admin API.
func (l *Log) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	l.once.Do(l.route)
	l.router.ServeHTTP(w, r)
}

func (l *Log) route() {
	l.router = mux.NewRouter()
	l.router.HandleFunc("/v1/append", l.append).Methods(http.MethodPost)
	l.router.HandleFunc("/v1/read", l.read).Methods(http.MethodGet)
	l.router.HandleFunc("/admin/faults", l.setFaults).Methods(http.MethodPost)
	l.router.HandleFunc("/admin/trim", l.trim).Methods(http.MethodPost)
	l.router.HandleFunc("/admin/records", l.show).Methods(http.MethodGet)
}

// KeepFor drops records that are older from now on; zero keeps all.
func (l *Log) KeepFor(d time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	l.keepFor = d
}

type appendBody struct {
	Records [][]byte `json:"records"`
}

type firstBody struct {
	First int64 `json:"first"`
}

func (l *Log) append(w http.ResponseWriter, r *http.Request) {
	b := appendBody{}
	if !decode(w, r, &b) {
		return
	}

	if len(b.Records) == 0 {
		http.Error(w, "no records", http.StatusBadRequest)

		return
	}

	f, ok := l.admit(w, r)
	if !ok {
		l.count(func(c *counts) { c.refusedAppends++ })

		return
	}

	if f.rejectAppends {
		l.count(func(c *counts) { c.rejected++ })
		http.Error(w, "appends are rejected", http.StatusTooManyRequests)

		return
	}

	first := l.add(b.Records)

	if f.loseAnswers {
		l.count(func(c *counts) { c.lost++ })
		panic(http.ErrAbortHandler)
	}

	answer(w, http.StatusOK, firstBody{first})
}

func (l *Log) add(records [][]byte) int64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	first := l.first + int64(len(l.records))
	now := time.Now()

	for _, data := range records {
		l.records = append(l.records, entry{now, data})

		if l.counts.types == nil {
			l.counts.types = map[string]int64{}
		}

		l.counts.types[typeOf(data)]++
	}

	l.counts.appends++
	l.expire(now)
	l.wake()

	return first
}

type readAnswer struct {
	First   int64        `json:"first"`
	Next    int64        `json:"next"`
	Records []readRecord `json:"records"`
}

type readRecord struct {
	Offset int64  `json:"offset"`
	TimeMS int64  `json:"time_ms"`
	Data   []byte `json:"data"`
}

func (l *Log) read(w http.ResponseWriter, r *http.Request) {
	from, ok := number(w, r, "from", 0)
	if !ok {
		return
	}

	waitMS, ok := number(w, r, "wait_ms", 0)
	if !ok {
		return
	}

	limit, ok := number(w, r, "limit", maxLimit)
	if !ok {
		return
	}

	if _, ok := l.admit(w, r); !ok {
		return
	}

	ctx, cancel := context.WithTimeout(r.Context(), min(time.Duration(waitMS)*time.Millisecond, maxWait))
	defer cancel()

	l.await(ctx, from)

	a, f := l.page(from, int(min(limit, maxLimit)))

	switch {
	case f.silent:
		<-r.Context().Done()
	case f.down:
		http.Error(w, "the log is down", http.StatusServiceUnavailable)
	case from < a.First:
		answer(w, http.StatusGone, firstBody{a.First})
	case a.Next < from:
		http.Error(w, "offset is beyond the end of the log", http.StatusBadRequest)
	default:
		answer(w, http.StatusOK, a)
	}
}

// await returns once there is a record at from, the log goes down or the context ends.
func (l *Log) await(ctx context.Context, from int64) {
	for {
		l.mutex.Lock()
		ready := from < l.first+int64(len(l.records)) || l.faults.down || l.faults.silent
		changed := l.change()
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

// page returns the records from the offset on; its Next is below from if the offset is beyond the end.
func (l *Log) page(from int64, limit int) (readAnswer, faults) {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	l.counts.reads++
	l.expire(time.Now())

	end := l.first + int64(len(l.records))
	a := readAnswer{First: l.first, Next: min(max(from, l.first), end), Records: []readRecord{}}

	for a.Next < end && len(a.Records) < limit {
		e := l.records[a.Next-l.first]
		a.Records = append(a.Records, readRecord{a.Next, e.at.UnixMilli(), e.data})
		a.Next++
	}

	return a, l.faults
}

// admit applies the faults that concern every call, and returns all.
func (l *Log) admit(w http.ResponseWriter, r *http.Request) (faults, bool) {
	l.mutex.Lock()
	f := l.faults
	l.mutex.Unlock()

	// A slow append takes effect even if the client has given up by then.
	time.Sleep(f.delay)

	switch {
	case f.silent:
		l.count(func(c *counts) { c.refused++ })
		<-r.Context().Done()

		return f, false
	case f.down:
		l.count(func(c *counts) { c.refused++ })
		http.Error(w, "the log is down", http.StatusServiceUnavailable)

		return f, false
	default:
		return f, true
	}
}

func (l *Log) count(add func(*counts)) {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	add(&l.counts)
}

// expire is called with the mutex held.
func (l *Log) expire(now time.Time) {
	if l.keepFor <= 0 {
		return
	}

	n := 0
	for n < len(l.records) && now.Sub(l.records[n].at) > l.keepFor {
		n++
	}

	l.drop(n)
}

// drop is called with the mutex held.
func (l *Log) drop(n int) {
	l.records = append([]entry(nil), l.records[n:]...)
	l.first += int64(n)
}

// change is called with the mutex held.
func (l *Log) change() <-chan struct{} {
	if l.changed == nil {
		l.changed = make(chan struct{})
	}

	return l.changed
}

// wake is called with the mutex held.
func (l *Log) wake() {
	if l.changed != nil {
		close(l.changed)
		l.changed = nil
	}
}

func number(w http.ResponseWriter, r *http.Request, key string, fallback int64) (int64, bool) {
	text := r.URL.Query().Get(key)
	if text == "" {
		return fallback, true
	}

	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n < 0 {
		http.Error(w, key+" is not a whole number from 0 on", http.StatusBadRequest)

		return 0, false
	}

	return n, true
}

func decode(w http.ResponseWriter, r *http.Request, into any) bool {
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody))
	d.DisallowUnknownFields()

	if err := d.Decode(into); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)

		return false
	}

	return true
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
