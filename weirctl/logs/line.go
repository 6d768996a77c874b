// Package logs finds the story of one request in the collected logs of several processes.
package logs

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Line is one line of a log that was understood.
type Line struct {
	// process names who wrote the line; lines of one process are in the order in which it wrote them.
	process, event, message string
	time                    time.Time
	fields                  map[string]json.RawMessage
}

// Process returns who wrote the line.
func (l Line) Process() string { return l.process }

// Event returns the name of the event.
func (l Line) Event() string { return l.event }

// Time returns when it was written, by the clock of its process.
func (l Line) Time() time.Time { return l.time }

// Details returns the other fields in the order of their names.
func (l Line) Details() string {
	names := make([]string, 0, len(l.fields))
	for n := range l.fields {
		names = append(names, n)
	}

	slices.Sort(names)

	parts := make([]string, 0, len(names))
	for _, n := range names {
		parts = append(parts, fmt.Sprintf("%s=%s", n, strings.Trim(string(l.fields[n]), `"`)))
	}

	return strings.Join(parts, " ")
}

// text returns a field, or nothing.
func (l Line) textField(name string) string {
	var s string
	_ = json.Unmarshal(l.fields[name], &s)

	return s
}

// names tells whether the line is about the request. The product prefixes the name of a job with its member.
func (l Line) isAbout(id string) bool {
	for _, field := range []string{"job", "submission"} {
		if v := l.textField(field); v == id || (v != "" && strings.HasSuffix(v, "/"+id)) {
			return true
		}
	}

	return false
}

// parse reads a line; what a collector has put in front of the JSON object is skipped.
func parse(text []byte) (Line, bool) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return Line{}, false
	}

	l := Line{fields: map[string]json.RawMessage{}}
	if json.Unmarshal(text[start:], &l.fields) != nil {
		return Line{}, false
	}

	l.event, l.message = l.textField("event"), l.textField("message")

	for _, name := range []string{"node", "worker", "entry"} {
		if l.process = l.textField(name); l.process != "" {
			break
		}
	}

	var validTime bool

	l.time, validTime = parseTime(l.fields["time"])

	for _, name := range []string{"event", "message", "time", "level", "node", "role"} {
		delete(l.fields, name)
	}

	return l, validTime && l.event != ""
}

// parseTime reads a time in RFC 3339, or as Unix time in microseconds.
func parseTime(raw json.RawMessage) (time.Time, bool) {
	var (
		text         string
		microseconds int64
	)

	if json.Unmarshal(raw, &microseconds) == nil {
		return time.UnixMicro(microseconds).UTC(), true
	}

	if json.Unmarshal(raw, &text) != nil {
		return time.Time{}, false
	}

	t, err := time.Parse(time.RFC3339Nano, text)

	return t.UTC(), err == nil
}
