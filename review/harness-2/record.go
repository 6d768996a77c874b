package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run, with the time since the start of the case.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)

	return &record{file: f, started: time.Now()}, err
}

func (r *record) add(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()

	line := fmt.Sprintf("%9.3f ", time.Since(r.started).Seconds()) + fmt.Sprintf(format, values...) + "\n"
	_, _ = r.file.WriteString(line)
	_, _ = os.Stdout.WriteString(line)
}
