package command_test

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"

	"github.com/skylarkweir/skylarkweir/standin/cluster"
	"github.com/skylarkweir/skylarkweir/standin/logservice"
	"github.com/skylarkweir/skylarkweir/weirctl/command"
)

func weirctl(args ...string) (code int, out, errOut string) {
	var o, e bytes.Buffer
	code = command.Run(args, &o, &e)

	return code, o.String(), e.String()
}

func agreementDir(t *testing.T) string {
	t.Helper()

	directory := t.TempDir()
	if err := cluster.WriteAgreement(directory, "token", "scan", "check"); err != nil {
		t.Fatal(err)
	}

	return directory
}

func logServer(t *testing.T) *httptest.Server {
	t.Helper()

	s := httptest.NewServer(&logservice.Log{})
	t.Cleanup(func() { s.CloseClientConnections(); s.Close() })

	return s
}

func setFaults(t *testing.T, s *httptest.Server, body string) {
	t.Helper()

	a, err := s.Client().Post(s.URL+"/admin/faults", "application/json", strings.NewReader(body))
	if err != nil || a.StatusCode != http.StatusOK {
		t.Fatal(err, a)
	}
	a.Body.Close()
}

// Guards against messages about errors in agreement files that do not name the file, the line and the key.
func TestCheckNamesFileLineAndKey(t *testing.T) {
	is := is.New(t)
	directory := agreementDir(t)

	code, out, _ := weirctl("check", directory)
	is.Equal(code, 0)
	is.True(strings.Contains(out, "1 members, 2 kinds"))

	file := filepath.Join(directory, "service.weir.jsonc")
	is.NoErr(os.WriteFile(file, []byte("{\"service\": \"s\",\n\"kinds\": [{\"name\": \"k\", \"share_percent\": 101, \"urgent\": true}]}"), 0o600))
	code, _, errOut := weirctl("check", directory)
	is.Equal(code, 1)
	is.True(strings.Contains(errOut, "service.weir.jsonc:2: kinds[0].share_percent"))
}

// Guards against publications that do not come into force as the next version.
func TestPublishCountsVersions(t *testing.T) {
	is := is.New(t)
	directory, log := agreementDir(t), logServer(t)

	for _, want := range []string{"accepted: version 1\n", "accepted: version 2\n"} {
		code, out, errOut := weirctl("publish", directory, "--log", log.URL)
		is.Equal(errOut, "")
		is.Equal(code, 0)
		is.Equal(out, want)
	}
}

// Guards against a publication that overwrites one that its operator has not seen. Both are based on version 0, so the
// second one must fail.
func TestPublishConflict(t *testing.T) {
	is := is.New(t)
	directory, log := agreementDir(t), logServer(t)

	code, _, _ := weirctl("publish", directory, "--log", log.URL, "--as", "first", "--base", "0")
	is.Equal(code, 0)

	code, out, errOut := weirctl("publish", directory, "--log", log.URL, "--as", "second", "--base", "0", "--json")
	is.Equal(code, 3)
	is.True(strings.Contains(errOut, "version 1 by first"))

	var b struct {
		Outcome string
		Version int64
	}
	is.NoErr(json.Unmarshal([]byte(out), &b))
	is.Equal(b.Outcome, "conflict")
	is.Equal(b.Version, int64(1))
}

// Guards against several publications that are reported as accepted for the same base version, when operators publish
// concurrently.
func TestConcurrentPublishers(t *testing.T) {
	is := is.New(t)
	directory, log := agreementDir(t), logServer(t)

	const publishers = 8

	var (
		group sync.WaitGroup
		codes [publishers]int
	)

	for i := range publishers {
		group.Go(func() { codes[i], _, _ = weirctl("publish", directory, "--log", log.URL, "--base", "0") })
	}
	group.Wait()

	count := map[int]int{}
	for _, c := range codes {
		count[c]++
	}
	is.Equal(count[0], 1)
	is.Equal(count[3], publishers-1)
}

// Guards against a publication that is reported as failed although it is in force: the log appended the record, and
// only its answer was lost.
func TestPublishWithLostAnswer(t *testing.T) {
	is := is.New(t)
	directory, log := agreementDir(t), logServer(t)
	setFaults(t, log, `{"lose_answers": true}`)

	code, out, errOut := weirctl("publish", directory, "--log", log.URL)
	is.Equal(errOut, "")
	is.Equal(code, 0)
	is.Equal(out, "accepted: version 1\n")
}

// Guards against an evacuation that is not in the log although the command says so, against an end that ends another one,
// and against a repeated command that fails.
func TestEvacuate(t *testing.T) {
	is := is.New(t)
	log := logServer(t)

	for n, step := range []struct {
		args    []string
		domains []string
	}{
		{[]string{"a"}, []string{"a"}}, {[]string{"b"}, []string{"a", "b"}}, {[]string{"b"}, []string{"a", "b"}},
		{[]string{"--end", "a"}, []string{"b"}}, {[]string{"--end", "a"}, []string{"b"}}, {[]string{"--end", "b"}, []string{}},
	} {
		code, out, errOut := weirctl(append([]string{"--json", "evacuate", "--log", log.URL}, step.args...)...)
		is.Equal(errOut, "")
		is.Equal(code, 0)

		var b struct {
			Domains  []string
			Position int64
		}
		is.NoErr(json.Unmarshal([]byte(out), &b))
		is.Equal(b.Domains, step.domains)
		is.Equal(b.Position, int64(n+1))
	}

	code, out, _ := weirctl("evacuate", "a", "--log", log.URL)
	is.Equal(code, 0)
	is.Equal(out, "failure domain a, which has 0 registered processes, is evacuated, position 7\n")

	setFaults(t, log, `{"lose_answers": true}`)

	code, out, _ = weirctl("evacuate", "--end", "a", "--log", log.URL)
	is.Equal(code, 0)
	is.True(strings.Contains(out, "is not evacuated any more"))

	setFaults(t, log, `{"down": true}`)

	code, _, errOut := weirctl("evacuate", "a", "--log", log.URL, "--timeout", "300ms")
	is.Equal(code, 1)
	is.True(strings.Contains(errOut, "nothing was changed"))
}

// Guards against a publication that is reported as accepted although its record was not read back, because the log is
// down or rejects appends.
func TestPublishWhileLogIsDown(t *testing.T) {
	is := is.New(t)
	directory, log := agreementDir(t), logServer(t)
	setFaults(t, log, `{"down": true}`)

	code, out, errOut := weirctl("publish", directory, "--log", log.URL, "--timeout", "300ms")
	is.Equal(code, 1)
	is.Equal(out, "")
	is.True(strings.Contains(errOut, "nothing was published"))

	setFaults(t, log, `{"reject_appends": true}`)
	code, _, errOut = weirctl("publish", directory, "--log", log.URL, "--timeout", "300ms")
	is.Equal(code, 1)
	is.True(strings.Contains(errOut, "nothing was published"))
}

// Guards against usage errors that exit with a code other than 2 or without a message, and against missing help.
func TestUsage(t *testing.T) {
	is := is.New(t)

	for _, args := range [][]string{
		{}, {"unknown"}, {"check"}, {"publish", "."}, {"--nonsense"}, {"show"}, {"completion", "zsh"},
		{"settings", "x"}, {"keys", t.TempDir(), "--valid", "-1h"},
	} {
		code, _, errOut := weirctl(args...)
		is.Equal(code, 2)
		is.True(errOut != "")
	}

	for _, args := range [][]string{{"--help"}, {"--version"}, {"publish", "--help"}, {"completion", "bash"}} {
		code, out, _ := weirctl(args...)
		is.Equal(code, 0)
		is.True(out != "")
	}
}

// Guards against a set of keys that lacks a file.
func TestKeys(t *testing.T) {
	is := is.New(t)
	directory := filepath.Join(t.TempDir(), "keys")
	code, out, _ := weirctl("keys", directory)
	is.Equal(code, 0)
	is.Equal(strings.Count(out, "wrote"), 3)
	_, err := os.Stat(filepath.Join(directory, "key.pem"))
	is.NoErr(err)
}

// Guards against a settings page that differs from the code. "weirctl settings --markdown > docs/settings.md"
// regenerates it.
func TestSettingsPage(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../docs/settings.md")
	is.NoErr(err)
	code, out, _ := weirctl("settings", "--markdown")
	is.Equal(code, 0)
	is.Equal(out, string(page))

	code, out, _ = weirctl("settings", "entry", "--json")
	is.Equal(code, 0)
	var keys []struct{ Program, Key, Default string }
	is.NoErr(json.Unmarshal([]byte(out), &keys))
	is.True(len(keys) > 20)
	for _, k := range keys {
		is.Equal(k.Program, "entry")
		if k.Key == "slots" {
			is.Equal(k.Default, "8")
		}
	}
}

// Guards against an explain command that does not read the collected logs, and against exit code 0 if no line is about
// the request.
func TestExplainFromLogs(t *testing.T) {
	is := is.New(t)
	file := filepath.Join(t.TempDir(), "all.log")
	is.NoErr(os.WriteFile(file, []byte(`{"node":"front-1","event":"job_refused","job":"j1","reason":"full","time":9000000}`+"\n"), 0o600))

	code, out, _ := weirctl("explain", "j1", "--logs", file)
	is.Equal(code, 0)
	is.True(strings.Contains(out, "job_refused  job=j1 reason=full"))

	code, out, _ = weirctl("explain", "j1", "--logs", file, "--json")
	is.Equal(code, 0)
	is.True(json.Valid([]byte(out)))

	code, _, errOut := weirctl("explain", "j2", "--logs", file)
	is.Equal(code, 1)
	is.True(strings.Contains(errOut, "j2"))

	code, _, _ = weirctl("explain", "j1")
	is.Equal(code, 2)
}
