package cluster

import (
	"context"
	"net/http"
	"regexp"
)

var logListeningLine = regexp.MustCompile(`listens on (\S+)`)

// Log is the stand-in log service of a cluster.
type Log struct {
	process *Process
	address string
}

// StartLog starts the stand-in log service; args are further arguments of "standin log".
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

// URL returns the base URL of the log service.
func (l *Log) URL() string { return "http://" + l.address }

// Process returns the process of the log service.
func (l *Log) Process() *Process { return l.process }

// SetFaults replaces the faults of the log service; the keys are those of its POST /admin/faults.
func (l *Log) SetFaults(ctx context.Context, faults map[string]any) error {
	return sendJSON(ctx, http.MethodPost, l.URL()+"/admin/faults", faults, nil)
}

// Trim drops the oldest records, so that the given number of newest records remains.
func (l *Log) Trim(ctx context.Context, keep int) error {
	return sendJSON(ctx, http.MethodPost, l.URL()+"/admin/trim", map[string]int{"keep": keep}, nil)
}

// LogCounts are the counters of the log service.
type LogCounts struct {
	appends, reads, nextOffset int64
	recordsByType              map[string]int64
}

// Appends returns the number of appends since the log service was started.
func (c LogCounts) Appends() int64 { return c.appends }

// Reads returns the number of reads since the log service was started.
func (c LogCounts) Reads() int64 { return c.reads }

// NextOffset returns the offset of the next record to be appended.
func (c LogCounts) NextOffset() int64 { return c.nextOffset }

// RecordsOfType returns the number of records of a type, such as "binding".
func (c LogCounts) RecordsOfType(name string) int64 { return c.recordsByType[name] }

// Counts reads the counters of the log service.
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
