// Package logs reconstructs the timeline of one request from the collected logs of several processes.
package logs

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Line is a parsed log line.
type Line struct {
	// process is the name of the process that wrote the line. Lines of one process are in the order in which it wrote
	// them.
	process, event, message string
	time                    time.Time
	fields                  map[string]json.RawMessage
}

// Process returns the name of the process that wrote the line.
func (l Line) Process() string { return l.process }

// Event returns the name of the logged event.
func (l Line) Event() string { return l.event }

// Time returns when the line was written, by the clock of its process.
func (l Line) Time() time.Time { return l.time }

// Details returns the remaining fields as name=value pairs, sorted by name.
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

// textField returns the value of a field, or an empty string if the field is missing or not a text.
func (l Line) textField(name string) string {
	var s string
	_ = json.Unmarshal(l.fields[name], &s)

	return s
}

// isAbout reports whether the line is about the request. The daemons log a job as member/name.
func (l Line) isAbout(id string) bool {
	for _, field := range []string{"job", "submission"} {
		if v := l.textField(field); v == id || (v != "" && strings.HasSuffix(v, "/"+id)) {
			return true
		}
	}

	return false
}

// parse parses a log line. Text before the JSON object, such as the prefix of a log collector, is skipped.
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

// parseTime parses a time in RFC 3339 format or a Unix time in microseconds.
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
