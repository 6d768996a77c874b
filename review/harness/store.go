package main

import (
	"encoding/base64"
	"encoding/binary"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// store stands in for the platform's metadata store. It has keyed topics with partitions, appends with the epoch of their
// producer, and reads that wait for records. It keeps everything and answers at once.
type store struct {
	mu         sync.Mutex
	partitions map[partitionKey]*partition
	// appended is closed and replaced when a record is added.
	appended chan struct{}
}

type partitionKey struct{ topic, number string }

type partition struct {
	// records hold the length of the key in one byte, the key and the value.
	records [][]byte
	epochs  map[string]int64
}

func newStore() *store {
	return &store{partitions: map[partitionKey]*partition{}, appended: make(chan struct{})}
}

// partition returns a partition, which the first use creates. The caller holds mu.
func (s *store) partition(topic, number string) *partition {
	k := partitionKey{topic, number}
	if s.partitions[k] == nil {
		s.partitions[k] = &partition{epochs: map[string]int64{}}
	}

	return s.partitions[k]
}

// put writes a value under a key of partition 0.
func (s *store) put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()

	p := s.partition(topic, "0")
	p.records = append(p.records, append(append([]byte{byte(len(key))}, key...), value...))
	s.wake()
}

func (s *store) wake() {
	close(s.appended)
	s.appended = make(chan struct{})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case name("append path"):
		s.appendRecords(w, r)
	case name("newest path"):
		s.newest(w, r)
	case name("read path"):
		s.read(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) appendRecords(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}

	q := r.URL.Query()
	epoch, _ := strconv.ParseInt(q.Get("epoch"), 10, 64)

	s.mu.Lock()
	defer s.mu.Unlock()

	p := s.partition(q.Get("Topic"), q.Get("part"))

	if producer := q.Get("Producer"); producer != "" {
		if epoch < p.epochs[producer] {
			w.WriteHeader(http.StatusConflict)
			_, _ = w.Write(encode(map[string]any{"Reason": "fenced"}))

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

		p.records = append(p.records, body[4:4+n])
		body = body[4+n:]
	}

	s.wake()

	_, _ = w.Write(encode(map[string]any{"Offset": first, "End": len(p.records)}))
}

func (s *store) newest(w http.ResponseWriter, r *http.Request) {
	type item struct {
		Key, Value string
		Offset     int
	}

	q := r.URL.Query()

	s.mu.Lock()
	defer s.mu.Unlock()

	p := s.partition(q.Get("Topic"), q.Get("part"))
	last := map[string]item{}

	for offset, record := range p.records {
		end := 1 + int(record[0])
		key := string(record[1:end])

		if len(record) == end {
			delete(last, key)

			continue
		}

		last[key] = item{key, base64.StdEncoding.EncodeToString(record[end:]), offset}
	}

	items := []item{}

	for key, i := range last {
		if key > q.Get("After") {
			items = append(items, i)
		}
	}

	slices.SortFunc(items, func(a, b item) int { return a.Offset - b.Offset })

	_, _ = w.Write(encode(map[string]any{"items": items, "More": false, "End": len(p.records)}))
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("From"))
	wait, _ := strconv.Atoi(q.Get(name("wait")))
	timeout := time.After(time.Duration(wait) * time.Millisecond)

	for {
		s.mu.Lock()
		records, appended := slices.Clone(s.partition(q.Get("Topic"), q.Get("part")).records), s.appended
		s.mu.Unlock()

		if from < len(records) {
			_, _ = w.Write(encodeRecords(len(records), records[from:]))

			return
		}

		select {
		case <-appended:
		case <-timeout:
			_, _ = w.Write(encodeRecords(len(records), nil))

			return
		case <-r.Context().Done():
			return
		}
	}
}

// encodeRecords returns the answer to a read: the end of the partition, the first offset that is kept, and records.
func encodeRecords(end int, records [][]byte) []byte {
	answer := binary.BigEndian.AppendUint64(nil, uint64(end))
	answer = binary.BigEndian.AppendUint64(answer, 0)

	for _, record := range records {
		answer = binary.BigEndian.AppendUint32(answer, uint32(len(record)))
		answer = append(answer, record...)
	}

	return answer
}
