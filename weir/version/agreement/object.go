package agreement

import (
	"bytes"
	"fmt"
	"math"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"

	"github.com/skylarkweir/skylarkweir/weir/request/fault"
)

// maxReportedProblems bounds the length of an error text; further problems are only counted.
const maxReportedProblems = 20

// maxTextBytes bounds the size of a file; 190 members take about 30 KB.
const maxTextBytes = 1 << 20

// maxOpeningBrackets bounds the nesting depth: the parser recurses without a limit, and 1 MB of opening brackets
// overflows the stack, which terminates the process.
const maxOpeningBrackets = 50_000

// maxQuotedBytes bounds the part of an invalid value that an error text quotes.
const maxQuotedBytes = 60

var namePattern = regexp.MustCompile(`^[a-z0-9-]{1,40}$`)

// problemList collects the problems of all files, so that one run reports all of them to the operator.
type problemList struct {
	lines   []string
	omitted int
}

func (p *problemList) add(line string) {
	if len(p.lines) == maxReportedProblems {
		p.omitted++

		return
	}

	p.lines = append(p.lines, line)
}

func (p *problemList) err() error {
	if len(p.lines) == 0 {
		return nil
	}

	text := strings.Join(p.lines, "\n")
	if p.omitted > 0 {
		text += fmt.Sprintf("\nand %d more", p.omitted)
	}

	return fault.New(fault.InvalidRequest, "%s", text)
}

// sourceFile is the text of one file, from which the line of a value is found.
type sourceFile struct {
	path     string
	text     []byte
	problems *problemList
}

func (s *sourceFile) reject(v hujson.Value, key, value, allowed string) {
	if len(value) > maxQuotedBytes {
		value = strings.ToValidUTF8(value[:maxQuotedBytes], "") + "..."
	}

	s.problems.add(fmt.Sprintf("%s:%d: %s: %s is not allowed; allowed: %s", s.path, s.line(v), key, value, allowed))
}

func (s *sourceFile) line(v hujson.Value) int {
	return 1 + bytes.Count(s.text[:min(v.StartOffset, len(s.text))], []byte("\n"))
}

// parse returns the top-level object; ok is false if the text is not one.
func (s *sourceFile) parse(allowComments bool) (objectReader, bool) {
	if len(s.text) > maxTextBytes {
		s.problems.add(fmt.Sprintf("%s: %d bytes are not allowed; allowed: up to %d", s.path, len(s.text), maxTextBytes))

		return objectReader{}, false
	}

	if n := bytes.Count(s.text, []byte("[")) + bytes.Count(s.text, []byte("{")); n > maxOpeningBrackets {
		s.problems.add(fmt.Sprintf(
			"%s: %d opening brackets are not allowed; allowed: up to %d", s.path, n, maxOpeningBrackets,
		))

		return objectReader{}, false
	}

	v, err := hujson.Parse(s.text)
	if err != nil {
		// The text of the error contains line and column.
		s.problems.add(fmt.Sprintf("%s: %s", s.path, strings.TrimPrefix(err.Error(), "hujson: ")))

		return objectReader{}, false
	}

	if !allowComments && !v.IsStandard() {
		s.problems.add(fmt.Sprintf("%s: comments and trailing commas are not allowed in the canonical form", s.path))

		return objectReader{}, false
	}

	return s.object(v, "")
}

// objectReader reads the keys of a JSON object one by one; rejectUnknownKeys then rejects the keys that were not read.
type objectReader struct {
	source    *sourceFile
	value     hujson.Value
	path      string
	fields    map[string]hujson.Value
	keys      []string
	knownKeys []string
}

func (s *sourceFile) object(v hujson.Value, path string) (objectReader, bool) {
	o := objectReader{source: s, value: v, path: path, fields: map[string]hujson.Value{}}

	members, ok := v.Value.(*hujson.Object)
	if !ok {
		s.reject(v, o.keyPath("(whole)"), describe(v), "an object")

		return o, false
	}

	for _, m := range members.Members {
		name := m.Name.Value.(hujson.Literal).String()
		if _, duplicate := o.fields[name]; duplicate {
			s.reject(m.Name, o.keyPath(name), strconv.Quote(name), "each key once")

			continue
		}

		o.fields[name] = m.Value
		o.keys = append(o.keys, name)
	}

	return o, true
}

func (o *objectReader) keyPath(name string) string {
	if o.path == "" {
		return name
	}

	return o.path + "." + name
}

func (o *objectReader) reject(name, allowed string) {
	v, ok := o.fields[name]
	if !ok {
		o.source.reject(o.value, o.keyPath(name), "(missing)", allowed)

		return
	}

	o.source.reject(v, o.keyPath(name), describe(v), allowed)
}

// has marks the key as known and reports whether the object contains it.
func (o *objectReader) has(name string) bool {
	if !slices.Contains(o.knownKeys, name) {
		o.knownKeys = append(o.knownKeys, name)
	}

	_, ok := o.fields[name]

	return ok
}

func (o *objectReader) literal(name string, kind hujson.Kind) (hujson.Literal, bool) {
	if !o.has(name) {
		return nil, false
	}

	l, ok := o.fields[name].Value.(hujson.Literal)

	return l, ok && l.Kind() == kind
}

// name reads the name of a member, kind, service or agreement.
func (o *objectReader) name(key string) string {
	l, ok := o.literal(key, '"')
	if !ok || !namePattern.MatchString(l.String()) {
		o.reject(key, "a name of 1 to 40 characters out of a-z, 0-9 and -")

		return ""
	}

	return l.String()
}

func (o *objectReader) text(key, allowed string) string {
	l, ok := o.literal(key, '"')
	if !ok {
		o.reject(key, allowed)

		return ""
	}

	return l.String()
}

// integer reads an integer in [low, high].
func (o *objectReader) integer(key string, low, high int) int {
	l, ok := o.literal(key, '0')
	n, err := strconv.Atoi(string(l))

	if !ok || err != nil || n < low || n > high {
		o.reject(key, fmt.Sprintf("whole numbers from %d to %d", low, high))

		return 0
	}

	return n
}

// basisPoints reads a percentage in [0.01, 100] with at most two decimals and returns it times 100.
func (o *objectReader) basisPoints(key string) int {
	l, ok := o.literal(key, '0')
	f, err := strconv.ParseFloat(string(l), 64)
	n := math.Round(f * 100)

	if !ok || err != nil || n < 1 || n > wholeFleetBasisPoints || math.Abs(n-f*100) > 1e-6 {
		o.reject(key, "numbers from 0.01 to 100 with at most two decimals")

		return 0
	}

	return int(n)
}

func (o *objectReader) boolean(key string) bool {
	if !o.has(key) {
		return false
	}

	l, ok := o.fields[key].Value.(hujson.Literal)
	if !ok || (l.Kind() != 't' && l.Kind() != 'f') {
		o.reject(key, "true or false")

		return false
	}

	return l.Bool()
}

// objects reads a list of objects. It reports other elements of the list as problems and leaves them out.
func (o *objectReader) objects(key string) []objectReader {
	if !o.has(key) {
		o.reject(key, "a list of objects")

		return nil
	}

	list, ok := o.fields[key].Value.(*hujson.Array)
	if !ok {
		o.reject(key, "a list of objects")

		return nil
	}

	all := make([]objectReader, 0, len(list.Elements))

	for i, e := range list.Elements {
		if m, ok := o.source.object(e, fmt.Sprintf("%s[%d]", o.keyPath(key), i)); ok {
			all = append(all, m)
		}
	}

	return all
}

// rejectUnknownKeys rejects the keys that no method asked for.
func (o *objectReader) rejectUnknownKeys() {
	for _, k := range o.keys {
		if !slices.Contains(o.knownKeys, k) {
			o.source.reject(o.fields[k], o.keyPath(k), "this key", strings.Join(o.knownKeys, ", "))
		}
	}
}

func describe(v hujson.Value) string {
	switch x := v.Value.(type) {
	case hujson.Literal:
		return string(x)
	case *hujson.Array:
		return "a list"
	case *hujson.Object:
		return "an object"
	default:
		return "this value"
	}
}
