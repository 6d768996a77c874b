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

// eventLiteral finds the names in calls and in the constants of entry/home.
const eventLiteral = `(?:Str\("event", |\bevent[A-Z]\w+\s+= )"(\w+)"`

// Guards against events that the page leaves out or that are gone, and against lines without an event.
func TestEventsPage(t *testing.T) {
	is := is.New(t)
	page := tableRows(is, "events.md")

	compareNames(t, "events.md", page, findInCode(is, eventLiteral, "daemon", "entry", "platform", "sidecar", "weir"))

	// A line that is written without an event would be missing on both sides.
	for call, files := range findInCode(is, `(?m)^([^\n]*\b(?:log|Log|placements)\.(?:Debug|Info|Warn|Error)\(\)(?:[^\n]*\n){2})`, "daemon", "entry", "platform", "sidecar", "weir") {
		// decide writes the event itself.
		if !strings.Contains(call, `Str("event", `) && !strings.Contains(call, "decide(") && !strings.Contains(call, "Candidates()") {
			t.Errorf("%v log without an event: %s", files, call)
		}
	}
}

// logged checks the lines of running programs against the page and returns the events.
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

		if cells := page[l.Event]; cells == nil || !slices.Contains(strings.Split(strings.TrimSpace(cells[1]), ", "), l.Level) {
			t.Errorf("events.md does not have this event with this level: %s", line)
		}
	}

	return events
}
