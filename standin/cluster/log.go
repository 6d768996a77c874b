package cluster

import (
	"context"
	"net/http"
	"regexp"
)

var logListeningLine = regexp.MustCompile(`listens on (\S+)`)

// Log is the stand-in log of a cluster.
type Log struct {
	process *Process
	address string
}

// StartLog starts the stand-in log with further arguments of "standin log".
func (c *Cluster) StartLog(ctx context.Context, args ...string) error {
	p, err := c.start(ctx, "log", StandinProgram, append([]string{"log", "--listen", loopback}, args...)...)
	if err != nil {
		return err
	}

	match, err := p.waitForOutput(ctx, logListeningLine)
	if err != nil {
		return err
	}

	c.log = &Log{p, match[1]}

	return nil
}

// URL returns where the log is served.
func (l *Log) URL() string { return "http://" + l.address }

// Process returns the process.
func (l *Log) Process() *Process { return l.process }

// SetFaults replaces the faults of the log; the keys are those of its POST /admin/faults.
func (l *Log) SetFaults(ctx context.Context, faults map[string]any) error {
	return sendJSON(ctx, http.MethodPost, l.URL()+"/admin/faults", faults, nil)
}

// Trim drops all records but the newest.
func (l *Log) Trim(ctx context.Context, keep int) error {
	return sendJSON(ctx, http.MethodPost, l.URL()+"/admin/trim", map[string]int{"keep": keep}, nil)
}

// Counts are the log's own counters.
type LogCounts struct {
	appends, reads, nextOffset int64
	recordsByType              map[string]int64
}

// Appends returns the number of appends.
func (c LogCounts) Appends() int64 { return c.appends }

// Reads returns the number of reads.
func (c LogCounts) Reads() int64 { return c.reads }

// Next returns the offset after the last record.
func (c LogCounts) NextOffset() int64 { return c.nextOffset }

// Type returns the number of records of a type, such as "binding".
func (c LogCounts) RecordsOfType(name string) int64 { return c.recordsByType[name] }

// Counts returns the log's own counters.
func (l *Log) Counts(ctx context.Context) (LogCounts, error) {
	var b struct {
		Appends int64            `json:"appends"`
		Reads   int64            `json:"reads"`
		Next    int64            `json:"next"`
		Types   map[string]int64 `json:"types"`
	}

	err := getJSON(ctx, l.URL()+"/admin/records", &b)

	return LogCounts{b.Appends, b.Reads, b.Next, b.Types}, err
}
