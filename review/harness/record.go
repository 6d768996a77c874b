package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file in which a case writes what was sent, answered and run. Its lines begin with the milliseconds since the
// start of the case.
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

// elapsed returns the time since the start of the case.
func (r *record) elapsed() time.Duration { return time.Since(r.began) }

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()

	fmt.Fprintf(r.file, "%7d ms  %s\n", r.elapsed().Milliseconds(), fmt.Sprintf(format, args...))
}

func (r *record) close() { _ = r.file.Close() }
