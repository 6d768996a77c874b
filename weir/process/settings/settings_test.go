package settings_test

import (
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/skylarkweir/skylarkweir/weir/process/settings"
)

type sample struct {
	Name    string            `json:"name" doc:"name of the process" range:"a|b"`
	Slots   int               `json:"slots" doc:"processors" unit:"processors" default:"8" range:"1..64"`
	Wait    settings.Duration `json:"wait" default:"250ms" range:"1ms..5m"`
	Memory  settings.Bytes    `json:"memory" default:"96MB" range:"1MB.."`
	Ratio   float64           `json:"ratio" default:"0.1" range:"0..1"`
	Peers   []netip.AddrPort  `json:"peers" default:""`
	Verbose bool              `json:"verbose" default:"false"`
	Keys    sampleKeys        `json:"keys"`
}

type sampleKeys struct {
	File  string `json:"file"`
	Other string `json:"other" default:"x"`
}

func (s *sample) Check() error {
	if s.Slots > 32 && s.Memory.Value() < 100e6 {
		return settings.KeyErrorf("memory", "more than 32 slots need at least 100MB")
	}

	return nil
}

// Guards against absent keys that lose their default, and against durations and sizes read with the wrong unit.
func TestLoadAppliesDefaultsAndUnits(t *testing.T) {
	is := is.New(t)
	file := filepath.Join(t.TempDir(), "s.jsonc")
	text := "// a comment\n{\n\"name\": \"a\", \"wait\": \"2s\", \"peers\": [\"127.0.0.1:9\"],\n\"keys\": {\"file\": \"k\"}, // trailing comma\n}\n"
	is.NoErr(os.WriteFile(file, []byte(text), 0o600))

	var s sample
	is.NoErr(settings.Load(file, &s))
	is.Equal(s.Wait.Value(), 2*time.Second)
	is.Equal(s.Slots, 8)
	is.Equal(s.Memory.Value(), int64(96e6))
	is.Equal(s.Ratio, 0.1)
	is.Equal(len(s.Peers), 1)
	is.Equal(s.Keys.Other, "x")
}

// Guards against invalid input that is accepted, and against errors that do not point to the file, line and key.
func TestParseNamesFileLineAndKey(t *testing.T) {
	const rest = `"name": "a", "keys": {"file": "k"}`

	for _, c := range []struct{ title, text, want string }{
		{"unknown key", "{" + rest + ",\n\"slot\": 1}", "f:2: slot: unknown key"},
		{"other case", "{" + rest + ",\n\"Slots\": 1}", "f:2: Slots: unknown key, did you mean slots?"},
		{"unknown nested key", "{\"name\": \"a\", \"keys\": {\"file\": \"k\",\n\"x\": 1}}", "f:2: keys.x: unknown key"},
		{"key twice", "{" + rest + ",\n\"slots\": 1, \"slots\": 2}", "f:2: slots: the key is given twice"},
		{"text for a number", "{" + rest + ",\n\"slots\": \"1\"}", "f:2: slots: expected a whole number, found the text \"1\""},
		{"fraction", "{" + rest + ",\n\"slots\": 1.5}", "f:2: slots: expected a whole number, found 1.5"},
		{"null", "{" + rest + ",\n\"slots\": null}", "f:2: slots: expected a whole number, found null"},
		{"number for a bool", "{" + rest + ",\n\"verbose\": 1}", "f:2: verbose: expected true or false"},
		{"no unit", "{" + rest + ",\n\"wait\": 250}", "f:2: wait: expected a duration such as \"250ms\""},
		{"wrong unit", "{" + rest + ",\n\"wait\": \"250MB\"}", "f:2: wait: \"250MB\" is not a duration"},
		{"negative", "{" + rest + ",\n\"wait\": \"-1s\"}", "f:2: wait: the duration -1s is negative"},
		{"wrong size", "{" + rest + ",\n\"memory\": \"5ms\"}", "f:2: memory: \"5ms\" is not a size"},
		{"size beyond 63 bits", "{" + rest + ",\n\"memory\": \"9999999999GB\"}", "f:2: memory: \"9999999999GB\" is not a size"},
		{"too large", "{" + rest + ",\n\"slots\": 65}", "f:2: slots: 65 is outside 1..64"},
		{"duration too long", "{" + rest + ",\n\"wait\": \"6m\"}", "f:2: wait: 6m is outside 1ms..5m"},
		{"size too small", "{" + rest + ",\n\"memory\": \"999KB\"}", "f:2: memory: 999KB is outside 1MB.."},
		{"ratio too large", "{" + rest + ",\n\"ratio\": 1.1}", "f:2: ratio: 1.1 is outside 0..1"},
		{"not in the list", "{\"keys\": {\"file\": \"k\"},\n\"name\": \"c\"}", "f:2: name: \"c\" is none of a, b"},
		{"bad element", "{" + rest + ",\n\"peers\": [\"127.0.0.1:1\",\n\"x\"]}", "f:3: peers[1]: "},
		{"no list", "{" + rest + ",\n\"peers\": \"x\"}", "f:2: peers: expected a list"},
		{"no object", "{\"name\": \"a\",\n\"keys\": \"x\"}", "f:2: keys: expected an object"},
		{"missing", "\n{\"keys\": {\"file\": \"k\"}}", "f:2: name: the key is required"},
		{"missing nested", "{\"name\": \"a\",\n\"keys\": {}}", "f:2: keys.file: the key is required"},
		{"missing object", "{\"name\": \"a\"}", "f:1: keys.file: the key is required"},
		{"combination", "{" + rest + ",\n\"slots\": 33,\n\"memory\": \"99MB\"}", "f:3: memory: more than 32 slots need at least 100MB"},
		{"not JSON", "{" + rest + ",\n]", "f: not valid JSON"},
		{"a list", "[]", "f:1: expected an object, found a list"},
	} {
		t.Run(c.title, func(t *testing.T) {
			is := is.New(t)
			err := settings.Parse("f", []byte(c.text), &sample{})
			is.True(err != nil)
			t.Log(err)
			is.True(strings.Contains(err.Error(), c.want))
		})
	}
}

// Guards against a decoder that stops at the first error, so that each run of the program reveals only one mistake.
func TestParseReportsEveryError(t *testing.T) {
	is := is.New(t)
	err := settings.Parse("f", []byte(`{"slots": 0, "x": 1}`), &sample{})
	is.Equal(len(strings.Split(err.Error(), "\n")), 4)
}

// Guards against a table of keys in which a name, type, unit, range or default is missing or wrong.
func TestDescribe(t *testing.T) {
	is := is.New(t)
	keys := settings.Describe(&sample{})
	is.Equal(len(keys), 9)
	is.Equal(keys[1].Name(), "slots")
	is.Equal(keys[1].Unit(), "processors")
	is.Equal(keys[1].Range(), "1..64")
	is.Equal(keys[1].Default(), "8")
	is.True(!keys[1].Required())
	is.True(keys[0].Required())
	is.Equal(keys[2].Type(), "duration")
	is.Equal(keys[5].Type(), "list of address")
	is.Equal(keys[6].Type(), "true or false")
	is.Equal(keys[7].Name(), "keys.file")
}

// Guards against an empty table of keys for programs, which keep the decoded struct in an unexported field.
func TestDescribeUnwrapsTheOnlyField(t *testing.T) {
	is := is.New(t)
	is.Equal(len(settings.Describe(struct{ file sample }{})), 9)
}

// Guards against printed durations and sizes that do not have the value and form they were read with.
func TestUnitsRoundTrip(t *testing.T) {
	is := is.New(t)

	for _, text := range []string{"250ms", "5m", "1h", "1h30m", "3s", "10m"} {
		var d settings.Duration
		is.NoErr(d.UnmarshalText([]byte(text)))
		is.Equal(d.String(), text)
	}

	for _, text := range []string{"96MB", "64KiB", "2GiB", "1B", "0B"} {
		var b settings.Bytes
		is.NoErr(b.UnmarshalText([]byte(text)))
		is.Equal(b.String(), text)
	}
}
