package command_test

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/skylarkweir/skylarkweir/standin/command"
)

func runStandin(args ...string) (code int, out, errOut string) {
	var o, e bytes.Buffer
	code = command.Run(args, &o, &e)

	return code, o.String(), e.String()
}

// Guards against exit codes that do not distinguish wrong usage from failures, and against errors without a message.
func TestUsage(t *testing.T) {
	is := is.New(t)

	for _, args := range [][]string{{}, {"unknown"}, {"caller"}, {"relay"}, {"relay", "--target", "x", "--network", "sctp"}} {
		code, _, errOut := runStandin(args...)
		is.Equal(code, 2)
		is.True(errOut != "")
	}

	for _, args := range [][]string{
		{"experiment"}, {"experiment", "--output", t.TempDir(), "--rule", "unknown"},
		{"experiment", "--output", t.TempDir(), "--load", "unknown"},
		{"experiment", "--output", t.TempDir(), "--seeds", "0"}, {"experiment", "--output", t.TempDir(), "--level", "0"},
	} {
		code, _, errOut := runStandin(args...)
		is.Equal(code, 2)
		is.True(errOut != "")
	}

	for _, args := range [][]string{{"--help"}, {"--version"}, {"demo", "--help"}, {"log", "--help"}, {"backend", "--help"}} {
		code, out, _ := runStandin(args...)
		is.Equal(code, 0)
		is.True(out != "")
	}

	code, _, errOut := runStandin("caller", "--load", filepath.Join(t.TempDir(), "none"))
	is.Equal(code, 1)
	is.True(errOut != "")
}

// Guards against a report that omits refused submissions, and against an invalid load in the examples.
func TestCallerReport(t *testing.T) {
	is := is.New(t)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "/tickets") {
			w.Write([]byte(`{"tickets": ["a"]}`))

			return
		}

		w.WriteHeader(http.StatusTooManyRequests)
		w.Write([]byte(`{"error": {"code": "overloaded", "message": "m", "ran": "none"}}`))
	}))
	defer s.Close()

	records := filepath.Join(t.TempDir(), "records")
	code, out, errOut := runStandin("caller", "--load", "../../examples/load.jsonc", "--entry", s.URL, "--rate", "200",
		"--duration", "100ms", "--seed", "5", "--records", records, "--json")
	is.Equal(errOut, "")
	is.Equal(code, 0)

	var b struct {
		All struct {
			Submitted, Complete int
			Refused             map[string]int
		}
	}
	is.NoErr(json.Unmarshal([]byte(out), &b))
	is.True(b.All.Submitted > 5) // 20 are expected
	is.Equal(b.All.Complete, 0)
	is.Equal(b.All.Refused["overloaded ran none"], b.All.Submitted)

	lines, err := os.ReadFile(records)
	is.NoErr(err)
	is.Equal(bytes.Count(lines, []byte("\n")), b.All.Submitted)
	is.True(strings.Contains(string(lines), `"ran":"none"`))
}
