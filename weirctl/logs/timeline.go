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
	// around is how long before the first and after the last line of a request other events of its processes may matter.
	contextMargin = time.Second
	// maxLine bounds a line in bytes.
	maxLineBytes = 4 << 20
)

// context are the events that change what a process believes and may explain what became of a request.
var contextEvents = map[string]bool{
	"started": true, "stopping": true, "stopped": true, "process_paused": true, "listening": true, "leaving": true,
	"sidecar_lost": true, "sidecar_connected": true, "entry_lost": true, "entry_connected": true,
	"sidecar_disconnected": true, "entry_disconnected": true, "worker_lost": true,
	"backend_announced": true, "backend_ready": true, "backend_state": true, "backend_silent": true, "backend_gone": true,
	"backend_suspect": true, "backend_health": true, "store_lost": true, "store_back": true, "routes_adopted": true,
	"log_lines_dropped": true, "reservations_expired": true,
}

// Book holds the lines that may matter. The zero value is empty.
type Index struct {
	lines []Line
	// skipped counts lines that are not understood.
	skipped int
}

// Skipped returns the number of lines that were not understood.
func (x *Index) Skipped() int { return x.skipped }

// Read adds the lines of a log that are about the request, or may explain it.
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

// Step is a line of a story.
type Step struct {
	Line

	// at is the time by the clock of the process that took the request.
	at time.Time
	// own is true if the line is about the request itself.
	aboutRequest bool
}

// At returns the time by the clock of the process that took the request.
func (s Step) At() time.Time { return s.at }

// Own tells whether the line is about the request itself, and not about what a process believed.
func (s Step) IsAboutRequest() bool { return s.aboutRequest }

// Story is what the logs tell of one request, in order.
type Timeline struct {
	steps      []Step
	clockSkews []ClockSkew
}

// Steps returns the lines in order.
func (s Timeline) Steps() []Step { return s.steps }

// Skews returns how the clocks of the processes differ from that of the one that took the request.
func (s Timeline) ClockSkews() []ClockSkew { return s.clockSkews }

// Tell returns the story of a request.
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

// taker returns the process that took the request: only entries write of jobs as a whole.
func receivingProcess(requestLines []Line) string {
	for _, l := range requestLines {
		if strings.HasPrefix(l.event, "job_") {
			return l.process
		}
	}

	return requestLines[0].process
}

// involved returns the processes that wrote of the request, or that its lines name.
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
