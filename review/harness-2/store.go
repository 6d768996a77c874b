package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// store is a stand-in of the platform's store, with keyed topics of any number of partitions.
type store struct {
	mu     sync.Mutex
	topics map[string][][]byte
	epochs map[string]int64
	// changed is closed and replaced when a record is added.
	changed chan struct{}
}

func newStore() *store {
	return &store{topics: map[string][][]byte{}, epochs: map[string]int64{}, changed: make(chan struct{})}
}

// put adds the record of a key and returns the end of the partition.
func (s *store) put(partition, key string, value []byte) int {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.add(partition, append(append([]byte{byte(len(key))}, key...), value...))
}

func (s *store) add(partition string, record []byte) int {
	s.topics[partition] = append(s.topics[partition], record)
	close(s.changed)
	s.changed = make(chan struct{})

	return len(s.topics[partition])
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(4 * time.Millisecond)

	q := r.URL.Query()
	partition := q.Get("Topic") + "/" + q.Get("part")

	switch r.URL.Path {
	case names["append"]:
		s.appendRecords(w, r, partition)
	case names["newest"]:
		s.newest(w, partition)
	case names["read"]:
		s.read(w, r, partition)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) appendRecords(w http.ResponseWriter, r *http.Request, partition string) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}

	s.mu.Lock()
	defer s.mu.Unlock()

	producer := partition + "/" + r.URL.Query().Get("Producer")
	epoch, _ := strconv.ParseInt(r.URL.Query().Get("epoch"), 10, 64)

	if epoch < s.epochs[producer] {
		w.WriteHeader(http.StatusConflict)
		_ = json.NewEncoder(w).Encode(map[string]string{names["reason"]: "fenced"})

		return
	}

	s.epochs[producer] = epoch
	first := len(s.topics[partition])

	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		s.add(partition, body[4:4+n])
		body = body[4+n:]
	}

	_ = json.NewEncoder(w).Encode(map[string]int{"Offset": first, "End": len(s.topics[partition])})
}

func (s *store) newest(w http.ResponseWriter, partition string) {
	type item struct {
		Key, Value string
		Offset     int
	}

	s.mu.Lock()
	defer s.mu.Unlock()

	last := map[string]item{}

	for n, record := range s.topics[partition] {
		end := 1 + int(record[0])
		key := string(record[1:end])

		if len(record) == end {
			delete(last, key)
		} else {
			last[key] = item{key, base64.StdEncoding.EncodeToString(record[end:]), n}
		}
	}

	items := make([]item, 0, len(last))
	for _, i := range last {
		items = append(items, i)
	}

	_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "More": false, "End": len(s.topics[partition])})
}

func (s *store) read(w http.ResponseWriter, r *http.Request, partition string) {
	from, _ := strconv.Atoi(r.URL.Query().Get("From"))
	ms, _ := strconv.Atoi(r.URL.Query().Get(names["wait"]))
	timeout := time.After(time.Duration(ms) * time.Millisecond)

	for expired := false; ; {
		s.mu.Lock()
		all, changed := s.topics[partition], s.changed
		s.mu.Unlock()

		if from < len(all) || expired {
			response := binary.BigEndian.AppendUint64(nil, uint64(len(all)))
			response = binary.BigEndian.AppendUint64(response, 0)

			for _, record := range all[min(from, len(all)):] {
				response = binary.BigEndian.AppendUint32(response, uint32(len(record)))
				response = append(response, record...)
			}

			_, _ = w.Write(response)

			return
		}

		select {
		case <-changed:
		case <-timeout:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}
