package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file with what was sent, answered and run.
type record struct {
	began time.Time

	mu   sync.Mutex
	file *os.File
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}

	return &record{began: time.Now(), file: f}, nil
}

// printf adds a line with the time in seconds since the start of the case.
func (r *record) printf(format string, a ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()

	if r.file != nil {
		fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, a...))
	}
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.file.Close()
	r.file = nil
}
