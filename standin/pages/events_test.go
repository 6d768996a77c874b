package pages_test

import (
	"bytes"
	"encoding/json"
	"io"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// eventLiteral matches the names of events in log calls and in the constants of entry/home.
const eventLiteral = `(?:Str\("event", |\bevent[A-Z]\w+\s+= )"(\w+)"`

// Guards against events that are missing in events.md, against documented events that do not exist any more, and
// against log calls without an event.
func TestEventsPage(t *testing.T) {
	is := is.New(t)
	page := tableRows(is, "events.md")

	compareNames(t, "events.md", page, findInCode(is, eventLiteral, "daemon", "entry", "platform", "sidecar", "weir"))

	// A log call without an event is in neither of the two sets, so the comparison does not find it.
	for call, files := range findInCode(is,
		`(?m)^([^\n]*\b(?:log|Log|placements)\.(?:Debug|Info|Warn|Error)\(\)(?:[^\n]*\n){2})`,
		"daemon", "entry", "platform", "sidecar", "weir") {
		// Handle.decide adds the event itself.
		if !strings.Contains(call, `Str("event", `) && !strings.Contains(call, "decide(") &&
			!strings.Contains(call, "Candidates()") {
			t.Errorf("log call without an event in %v: %s", files, call)
		}
	}
}

// checkLogLines checks the event and level of each log line of running programs against events.md, and returns the
// events.
func checkLogLines(t *testing.T, is *is.I, output io.Reader) []string {
	t.Helper()

	text, err := io.ReadAll(output)
	is.NoErr(err)

	page := tableRows(is, "events.md")

	var events []string

	for line := range bytes.Lines(text) {
		var l struct{ Level, Event string }
		if json.Unmarshal(line, &l) != nil || l.Level == "" {
			continue
		}

		events = append(events, l.Event)

		if cells := page[l.Event]; cells == nil ||
			!slices.Contains(strings.Split(strings.TrimSpace(cells[1]), ", "), l.Level) {
			t.Errorf("events.md has no event with this name and level: %s", line)
		}
	}

	return events
}
