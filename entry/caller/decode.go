package caller

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/skylarkweir/skylarkweir/weir/request/fault"
	"github.com/skylarkweir/skylarkweir/weir/request/submission"
	"github.com/skylarkweir/skylarkweir/weir/request/ticket"
)

const (
	defaultDeadline = 30 * time.Second
	maxDeadline     = 2 * time.Minute
	maxCores        = 1024
	maxMemoryMB     = 1 << 20
	maxKind         = 64
	// maxQuoted bounds how much of a wrong value an error repeats.
	maxQuoted = 40
)

// Names of the forms in paths and in Forward.
const (
	formJob     = "job"
	formRequest = "request"
)

// Body is a decoded submission body.
type Body struct {
	kind       string
	inputs     [][]byte
	repeatable bool
	cores      int
	memoryMB   int
	deadline   time.Duration
	wait       bool
	form       string
}

// Wait tells whether the caller waits for the answer.
func (b Body) Wait() bool { return b.wait }

// Deadline returns the time that the submission may take.
func (b Body) Deadline() time.Duration { return b.deadline }

// Submission returns the body under a ticket; the deadline counts from now.
func (b Body) Submission(id string, t ticket.Ticket, now time.Time) submission.Submission {
	var form submission.Form = submission.Job{}
	if b.form == formRequest {
		form = submission.NewRequest(b.repeatable)
	}

	return submission.New(id, t, b.kind, form, b.inputs, b.cores, b.memoryMB, now.Add(b.deadline))
}

// DecodeBody reads the body of a job or a request strictly: every field is known, given once, of its type and in range.
func DecodeBody(form string, data []byte, maxTasks int) (Body, error) {
	b := Body{form: form, cores: 1, deadline: defaultDeadline, wait: true}
	given := map[string]bool{}

	err := object(data, "", func(name string, raw json.RawMessage) error {
		given[name] = true

		return b.field(name, raw, maxTasks)
	})
	if err != nil {
		return Body{}, err
	}

	for _, name := range []string{"kind", b.inputField()} {
		if !given[name] {
			return Body{}, invalid(name, "%s is missing", name)
		}
	}

	return b, nil
}

func (b *Body) inputField() string {
	if b.form == formJob {
		return "tasks"
	}

	return "input"
}

func (b *Body) field(name string, raw json.RawMessage, maxTasks int) (err error) {
	switch {
	case name == "kind":
		b.kind, err = text(name, raw, maxKind)
	case name == "tasks" && b.form == formJob:
		err = b.tasks(raw, maxTasks)
	case name == "input" && b.form == formRequest:
		b.inputs = make([][]byte, 1)
		b.inputs[0], err = encoded(name, raw)
	case name == "repeatable" && b.form == formRequest:
		b.repeatable, err = boolean(name, raw)
	case name == "cores":
		b.cores, err = integer(name, raw, 1, maxCores)
	case name == "memory_mb":
		b.memoryMB, err = integer(name, raw, 0, maxMemoryMB)
	case name == "deadline_ms":
		var ms int
		ms, err = integer(name, raw, 1, int(maxDeadline/time.Millisecond))
		b.deadline = time.Duration(ms) * time.Millisecond
	case name == "wait":
		b.wait, err = boolean(name, raw)
	default:
		err = invalid(name, "%s is not a field of a %s", quote([]byte(name)), b.form)
	}

	return err
}

func (b *Body) tasks(raw json.RawMessage, maxTasks int) error {
	d := json.NewDecoder(bytes.NewReader(raw))

	if t, err := d.Token(); err != nil || t != json.Delim('[') {
		return invalid("tasks", "tasks is %s, an array of 1 to %d tasks is allowed", quote(raw), maxTasks)
	}

	for d.More() {
		if len(b.inputs) == maxTasks {
			return invalid("tasks", "tasks has more than %d elements, 1 to %d are allowed", maxTasks, maxTasks)
		}

		var task json.RawMessage
		if err := d.Decode(&task); err != nil {
			return invalid("tasks", "tasks is not valid JSON: %v", err)
		}

		input, err := decodeTask(len(b.inputs), task)
		if err != nil {
			return err
		}

		b.inputs = append(b.inputs, input)
	}

	if len(b.inputs) == 0 {
		return invalid("tasks", "tasks has 0 elements, 1 to %d are allowed", maxTasks)
	}

	return nil
}

func decodeTask(index int, raw json.RawMessage) (input []byte, err error) {
	prefix := fmt.Sprintf("tasks[%d]", index)
	given := false

	err = object(raw, prefix, func(name string, value json.RawMessage) error {
		path := prefix + "." + name
		if name != "input" {
			return invalid(path, "%s is not a field of a task", quote([]byte(path)))
		}

		given = true
		input, err = encoded(path, value)

		return err
	})
	if err == nil && !given {
		err = invalid(prefix+".input", "%s.input is missing", prefix)
	}

	return input, err
}

// DecodeCount reads the body of a ticket request.
func DecodeCount(data []byte, most int) (int, error) {
	count := 1
	if len(bytes.TrimSpace(data)) == 0 {
		return count, nil
	}

	err := object(data, "", func(name string, raw json.RawMessage) (err error) {
		if name != "count" {
			return invalid(name, "%s is not a field of a ticket request", quote([]byte(name)))
		}

		count, err = integer(name, raw, 1, most)

		return err
	})

	return count, err
}

// object calls visit for each field of a JSON object. encoding/json alone would match names without regard to case
// and accept a field given twice.
func object(data []byte, field string, visit func(name string, raw json.RawMessage) error) error {
	what := field
	if what == "" {
		what = "the body"
	}

	d := json.NewDecoder(bytes.NewReader(data))
	if t, err := d.Token(); err != nil || t != json.Delim('{') {
		return invalid(field, "%s is %s, a JSON object is allowed", what, quote(data))
	}

	seen := map[string]bool{}

	for d.More() {
		t, err := d.Token()
		if err != nil {
			return invalid(field, "%s is not valid JSON: %v", what, err)
		}

		name, _ := t.(string)

		path := name
		if field != "" {
			path = field + "." + name
		}

		if seen[name] {
			return invalid(path, "%s is given twice", quote([]byte(path)))
		}

		seen[name] = true

		var raw json.RawMessage
		if err := d.Decode(&raw); err != nil {
			return invalid(path, "%s is not valid JSON: %v", quote([]byte(path)), err)
		}

		if err := visit(name, raw); err != nil {
			return err
		}
	}

	if _, err := d.Token(); err != nil {
		return invalid(field, "%s is not valid JSON: %v", what, err)
	}

	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return invalid(field, "%s is followed by other text", what)
	}

	return nil
}

func text(field string, raw json.RawMessage, most int) (string, error) {
	var s string
	if raw[0] != '"' || json.Unmarshal(raw, &s) != nil || s == "" || len(s) > most {
		return "", invalid(field, "%s is %s, a text of 1 to %d bytes is allowed", field, quote(raw), most)
	}

	return s, nil
}

func boolean(field string, raw json.RawMessage) (bool, error) {
	switch string(raw) {
	case "true":
		return true, nil
	case "false":
		return false, nil
	default:
		return false, invalid(field, "%s is %s, true or false is allowed", field, quote(raw))
	}
}

func integer(field string, raw json.RawMessage, least, most int) (int, error) {
	n, err := strconv.Atoi(string(raw))
	if err != nil || n < least || n > most {
		return 0, invalid(field, "%s is %s, an integer from %d to %d is allowed", field, quote(raw), least, most)
	}

	return n, nil
}

func encoded(field string, raw json.RawMessage) ([]byte, error) {
	if raw[0] != '"' {
		return nil, invalid(field, "%s is %s, a base64 text is allowed", field, quote(raw))
	}

	// Base64 needs no JSON escapes but "\/"; the common case avoids a copy.
	inner := raw[1 : len(raw)-1]
	if bytes.IndexByte(inner, '\\') >= 0 {
		var s string
		if err := json.Unmarshal(raw, &s); err != nil {
			return nil, invalid(field, "%s is not a valid JSON text: %v", field, err)
		}

		inner = []byte(s)
	}

	out := make([]byte, base64.StdEncoding.DecodedLen(len(inner)))

	n, err := base64.StdEncoding.Strict().Decode(out, inner)
	if err != nil || bytes.ContainsAny(inner, "\r\n") {
		return nil, invalid(field, "%s is %s, a base64 text with padding is allowed", field, quote(raw))
	}

	return out[:n], nil
}

func quote(raw []byte) string {
	s := strings.ToValidUTF8(string(raw[:min(len(raw), maxQuoted)]), "?")
	if len(raw) > maxQuoted {
		s += "..."
	}

	if s == "" {
		return "empty"
	}

	return s
}

func invalid(field, format string, args ...any) error {
	return fault.WithField(fault.New(fault.InvalidRequest, format, args...), field)
}
