package logs

import (
	"bufio"
	"bytes"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
)

const (
	// contextMargin is how long before the first and after the last line of a request the context events of the involved
	// processes are included.
	contextMargin = time.Second
	// maxLineBytes limits the length of a line; AddLog fails on a longer one.
	maxLineBytes = 4 << 20
)

// contextEvents are the events that change a process's view of the system and may explain the outcome of a request.
var contextEvents = map[string]bool{
	"started": true, "stopping": true, "stopped": true, "process_paused": true, "listening": true, "leaving": true,
	"sidecar_lost": true, "sidecar_connected": true, "entry_lost": true, "entry_connected": true,
	"sidecar_disconnected": true, "entry_disconnected": true, "worker_lost": true,
	"backend_announced": true, "backend_ready": true, "backend_state": true, "backend_silent": true, "backend_gone": true,
	"backend_suspect": true, "backend_health": true, "store_lost": true, "store_back": true, "routes_adopted": true,
	"log_lines_dropped": true, "reservations_expired": true,
}

// Index holds the log lines that may belong to a request's timeline. The zero value is empty.
type Index struct {
	lines []Line
	// skipped counts lines that could not be parsed.
	skipped int
}

// Skipped returns the number of lines that could not be parsed.
func (x *Index) Skipped() int { return x.skipped }

// AddLog adds the lines of a log that are about the request or may explain its outcome.
func (x *Index) AddLog(r io.Reader, id string) error {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLineBytes)

	for s.Scan() {
		if len(bytes.TrimSpace(s.Bytes())) == 0 {
			continue
		}

		l, valid := parse(s.Bytes())

		switch {
		case !valid:
			x.skipped++
		case l.isAbout(id) || contextEvents[l.event]:
			x.lines = append(x.lines, l)
		}
	}

	return merry.Prepend(s.Err(), "read the log")
}

// Step is a line of a timeline.
type Step struct {
	Line

	// at is the time by the clock of the process that received the request.
	at time.Time
	// aboutRequest is false for a context event.
	aboutRequest bool
}

// At returns the time by the clock of the process that received the request.
func (s Step) At() time.Time { return s.at }

// IsAboutRequest reports whether the line is about the request itself and not a context event.
func (s Step) IsAboutRequest() bool { return s.aboutRequest }

// Timeline holds the log lines that are about one request or may explain its outcome, ordered by corrected time.
type Timeline struct {
	steps      []Step
	clockSkews []ClockSkew
}

// Steps returns the lines, ordered by corrected time.
func (t Timeline) Steps() []Step { return t.steps }

// ClockSkews returns how the clocks of the processes differ from that of the process that received the request.
func (t Timeline) ClockSkews() []ClockSkew { return t.clockSkews }

// Timeline returns the timeline of a request. It is empty if no line is about the request.
func (x *Index) Timeline(id string) Timeline {
	requestLines := slices.DeleteFunc(slices.Clone(x.lines), func(l Line) bool { return !l.isAbout(id) })
	if len(requestLines) == 0 {
		return Timeline{}
	}

	involved := x.involvedProcesses(requestLines)
	skews := x.clockSkews(receivingProcess(requestLines))
	aheadByProcess := map[string]time.Duration{}

	for _, s := range skews {
		aheadByProcess[s.process] = s.ahead
	}

	var steps []Step

	for _, l := range x.lines {
		if involved[l.process] {
			steps = append(steps, Step{l, l.time.Add(-aheadByProcess[l.process]), l.isAbout(id)})
		}
	}

	slices.SortStableFunc(steps, func(a, b Step) int { return a.at.Compare(b.at) })

	first := slices.IndexFunc(steps, Step.IsAboutRequest)
	last := len(steps) - 1

	for !steps[last].aboutRequest {
		last--
	}

	from, to := steps[first].at.Add(-contextMargin), steps[last].at.Add(contextMargin)
	steps = slices.DeleteFunc(steps, func(s Step) bool { return s.at.Before(from) || s.at.After(to) })
	skews = slices.DeleteFunc(skews, func(s ClockSkew) bool { return !involved[s.process] })

	return Timeline{steps, skews}
}

// receivingProcess returns the process that received the request: only entries log events of whole jobs.
func receivingProcess(requestLines []Line) string {
	for _, l := range requestLines {
		if strings.HasPrefix(l.event, "job_") {
			return l.process
		}
	}

	return requestLines[0].process
}

// involvedProcesses returns the processes that logged lines about the request, and those that are named in these lines.
func (x *Index) involvedProcesses(requestLines []Line) map[string]bool {
	processes := map[string]bool{}

	for _, l := range requestLines {
		processes[l.process] = true

		for _, field := range []string{"sidecar", "worker", "slowest_at"} {
			if name := l.textField(field); name != "" {
				processes[name] = true
			}
		}
	}

	return processes
}
