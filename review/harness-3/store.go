package main

import (
	"bytes"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"time"
)

// store stands in for the platform's store: keyed topics, appends with producers and epochs, and reads that wait.
type store struct {
	// own is an address of an entry that the records tell as public, so that a relay can stand before it.
	own, public string

	mu         sync.Mutex
	partitions map[string]*partition
	// appended is closed and replaced when a record is added.
	appended chan struct{}
}

type partition struct {
	// records have a key of one byte of length, the key and the value.
	records [][]byte
	epochs  map[string]int64
}

func newStore() *store {
	return &store{partitions: map[string]*partition{}, appended: make(chan struct{})}
}

// partition returns a partition of a topic. The caller holds mu.
func (s *store) partition(topic, number string) *partition {
	name := topic + "/" + number
	if s.partitions[name] == nil {
		s.partitions[name] = &partition{epochs: map[string]int64{}}
	}

	return s.partitions[name]
}

// put adds a record to partition 0 of a keyed topic.
func (s *store) put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()

	p := s.partition(topic, "0")
	p.records = append(p.records, slices.Concat([]byte{byte(len(key))}, []byte(key), value))
	s.wake()
}

func (s *store) wake() {
	close(s.appended)
	s.appended = make(chan struct{})
}

// ServeHTTP answers a call of an entry or a sidecar.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case wire.Append:
		s.append(w, r)
	case wire.Newest:
		s.newest(w, r.URL.Query())
	case wire.Read:
		s.read(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) append(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}

	time.Sleep(4 * time.Millisecond)

	s.mu.Lock()
	defer s.mu.Unlock()

	q := r.URL.Query()
	p := s.partition(q.Get("Topic"), q.Get("part"))

	if producer := q.Get("Producer"); producer != "" {
		epoch, _ := strconv.ParseInt(q.Get("epoch"), 10, 64)
		if epoch < p.epochs[producer] {
			writeJSON(w, http.StatusConflict, map[string]any{"Reason": "fenced"})

			return
		}

		p.epochs[producer] = epoch
	}

	first := len(p.records)

	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		if n > len(body)-4 {
			w.WriteHeader(http.StatusBadRequest)

			return
		}

		content := body[4 : 4+n]
		if s.own != "" {
			content = bytes.ReplaceAll(content, []byte(`"`+s.own+`"`), []byte(`"`+s.public+`"`))
		}

		p.records = append(p.records, slices.Clone(content))
		body = body[4+n:]
	}

	s.wake()
	writeJSON(w, http.StatusOK, map[string]any{"Offset": first, "End": len(p.records)})
}

// item is the newest record of a key.
type item struct {
	Key, Value string
	Offset     int
}

func (s *store) newest(w http.ResponseWriter, q url.Values) {
	s.mu.Lock()
	defer s.mu.Unlock()

	p := s.partition(q.Get("Topic"), q.Get("part"))
	last := map[string]item{}

	for n, content := range p.records {
		key, value := string(content[1:1+content[0]]), content[1+int(content[0]):]
		if len(value) == 0 {
			delete(last, key)
		} else {
			last[key] = item{key, base64.StdEncoding.EncodeToString(value), n}
		}
	}

	items := make([]item, 0, len(last))
	for _, i := range last {
		items = append(items, i)
	}

	writeJSON(w, http.StatusOK, map[string]any{"items": items, "More": false, "End": len(p.records)})
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("From"))
	ms, _ := strconv.Atoi(q.Get(wire.Wait))
	timeout := time.After(time.Duration(ms) * time.Millisecond)

	for {
		s.mu.Lock()
		records, appended := s.partition(q.Get("Topic"), q.Get("part")).records, s.appended
		s.mu.Unlock()

		if from < len(records) {
			writeRecords(w, records, from)

			return
		}

		select {
		case <-appended:
		case <-timeout:
			writeRecords(w, records, len(records))

			return
		case <-r.Context().Done():
			return
		}
	}
}

// writeRecords writes the end, the first offset and the records from an offset on.
func writeRecords(w io.Writer, records [][]byte, from int) {
	body := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
	body = binary.BigEndian.AppendUint64(body, 0)

	for _, content := range records[from:] {
		body = binary.BigEndian.AppendUint32(body, uint32(len(content)))
		body = append(body, content...)
	}

	_, _ = w.Write(body)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
