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
	maxKindBytes    = 64
	// maxQuotedBytes bounds how much of an invalid value is quoted in an error.
	maxQuotedBytes = 40
)

// Forms of submissions, as Forward messages and errors name them.
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

// Wait reports whether the caller waits for the answer.
func (b Body) Wait() bool { return b.wait }

// Deadline returns how long the submission may take.
func (b Body) Deadline() time.Duration { return b.deadline }

// Submission returns the body as a submission with the id and ticket. Its deadline counts from now.
func (b Body) Submission(id string, t ticket.Ticket, now time.Time) submission.Submission {
	var form submission.Form = submission.Job{}
	if b.form == formRequest {
		form = submission.NewRequest(b.repeatable)
	}

	return submission.New(id, t, b.kind, form, b.inputs, b.cores, b.memoryMB, now.Add(b.deadline))
}

// DecodeBody decodes the body of a job or a request. It refuses fields that are unknown, repeated, of the wrong type or
// out of range.
func DecodeBody(form string, data []byte, maxTasks int) (Body, error) {
	b := Body{form: form, cores: 1, deadline: defaultDeadline, wait: true}
	present := map[string]bool{}

	err := decodeObject(data, "", func(name string, raw json.RawMessage) error {
		present[name] = true

		return b.decodeField(name, raw, maxTasks)
	})
	if err != nil {
		return Body{}, err
	}

	for _, name := range []string{"kind", b.inputField()} {
		if !present[name] {
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

func (b *Body) decodeField(name string, raw json.RawMessage, maxTasks int) (err error) {
	switch {
	case name == "kind":
		b.kind, err = decodeString(name, raw, maxKindBytes)
	case name == "tasks" && b.form == formJob:
		err = b.decodeTasks(raw, maxTasks)
	case name == "input" && b.form == formRequest:
		b.inputs = make([][]byte, 1)
		b.inputs[0], err = decodeBase64(name, raw)
	case name == "repeatable" && b.form == formRequest:
		b.repeatable, err = decodeBool(name, raw)
	case name == "cores":
		b.cores, err = decodeInteger(name, raw, 1, maxCores)
	case name == "memory_mb":
		b.memoryMB, err = decodeInteger(name, raw, 0, maxMemoryMB)
	case name == "deadline_ms":
		var ms int
		ms, err = decodeInteger(name, raw, 1, int(maxDeadline/time.Millisecond))
		b.deadline = time.Duration(ms) * time.Millisecond
	case name == "wait":
		b.wait, err = decodeBool(name, raw)
	default:
		err = invalid(name, "%s is not a field of a %s", quote([]byte(name)), b.form)
	}

	return err
}

func (b *Body) decodeTasks(raw json.RawMessage, maxTasks int) error {
	d := json.NewDecoder(bytes.NewReader(raw))

	if t, err := d.Token(); err != nil || t != json.Delim('[') {
		return invalid("tasks", "tasks is %s; it must be an array of 1 to %d tasks", quote(raw), maxTasks)
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
	present := false

	err = decodeObject(raw, prefix, func(name string, value json.RawMessage) error {
		path := prefix + "." + name
		if name != "input" {
			return invalid(path, "%s is not a field of a task", quote([]byte(path)))
		}

		present = true
		input, err = decodeBase64(path, value)

		return err
	})
	if err == nil && !present {
		err = invalid(prefix+".input", "%s.input is missing", prefix)
	}

	return input, err
}

// DecodeTicketCount decodes the body of a ticket request. An empty body requests one ticket.
func DecodeTicketCount(data []byte, maxCount int) (int, error) {
	count := 1
	if len(bytes.TrimSpace(data)) == 0 {
		return count, nil
	}

	err := decodeObject(data, "", func(name string, raw json.RawMessage) (err error) {
		if name != "count" {
			return invalid(name, "%s is not a field of a ticket request", quote([]byte(name)))
		}

		count, err = decodeInteger(name, raw, 1, maxCount)

		return err
	})

	return count, err
}

// decodeObject calls visit for each field of a JSON object. encoding/json alone would ignore the case of names and
// accept repeated fields.
func decodeObject(data []byte, field string, visit func(name string, raw json.RawMessage) error) error {
	subject := field
	if subject == "" {
		subject = "the body"
	}

	d := json.NewDecoder(bytes.NewReader(data))
	if t, err := d.Token(); err != nil || t != json.Delim('{') {
		return invalid(field, "%s is %s; it must be a JSON object", subject, quote(data))
	}

	seen := map[string]bool{}

	for d.More() {
		t, err := d.Token()
		if err != nil {
			return invalid(field, "%s is not valid JSON: %v", subject, err)
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
		return invalid(field, "%s is not valid JSON: %v", subject, err)
	}

	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return invalid(field, "%s is followed by other text", subject)
	}

	return nil
}

func decodeString(field string, raw json.RawMessage, maxBytes int) (string, error) {
	var s string
	if raw[0] != '"' || json.Unmarshal(raw, &s) != nil || s == "" || len(s) > maxBytes {
		return "", invalid(field, "%s is %s; it must be a string of 1 to %d bytes", field, quote(raw), maxBytes)
	}

	return s, nil
}

func decodeBool(field string, raw json.RawMessage) (bool, error) {
	switch string(raw) {
	case "true":
		return true, nil
	case "false":
		return false, nil
	default:
		return false, invalid(field, "%s is %s; it must be true or false", field, quote(raw))
	}
}

func decodeInteger(field string, raw json.RawMessage, minimum, maximum int) (int, error) {
	n, err := strconv.Atoi(string(raw))
	if err != nil || n < minimum || n > maximum {
		return 0, invalid(field, "%s is %s; it must be an integer from %d to %d", field, quote(raw), minimum, maximum)
	}

	return n, nil
}

func decodeBase64(field string, raw json.RawMessage) ([]byte, error) {
	if raw[0] != '"' {
		return nil, invalid(field, "%s is %s; it must be a base64 string", field, quote(raw))
	}

	// Base64 needs no JSON escapes, but some encoders write "/" as "\/". Text without escapes is decoded without a
	// copy.
	text := raw[1 : len(raw)-1]
	if bytes.IndexByte(text, '\\') >= 0 {
		var s string
		if err := json.Unmarshal(raw, &s); err != nil {
			return nil, invalid(field, "%s is not a valid JSON string: %v", field, err)
		}

		text = []byte(s)
	}

	out := make([]byte, base64.StdEncoding.DecodedLen(len(text)))

	n, err := base64.StdEncoding.Strict().Decode(out, text)
	if err != nil || bytes.ContainsAny(text, "\r\n") {
		return nil, invalid(field, "%s is %s; it must be a base64 string with padding", field, quote(raw))
	}

	return out[:n], nil
}

func quote(raw []byte) string {
	s := strings.ToValidUTF8(string(raw[:min(len(raw), maxQuotedBytes)]), "?")
	if len(raw) > maxQuotedBytes {
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
