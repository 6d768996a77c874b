package command_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against pairs of kinds that an entry keeps apart and that operators don't see, and against a table without rows.
func TestStatusListsInterferingPairs(t *testing.T) {
	is := is.New(t)
	pairs := `,"interfering_pairs":[{"kind":"lookup","beside":"scan","factor":1.75,"score":6.2,"tasks":41,"age_ms":95000}]`

	entry := http.NewServeMux()
	entry.HandleFunc("/v1/status", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`{"entry":{"name":"entry-1","incarnation":"1"},"ready":true` + pairs + `}`))
	})
	entry.HandleFunc("/v1/show", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(`{}`)) })
	entry.HandleFunc("/metrics", func(http.ResponseWriter, *http.Request) {})

	s := httptest.NewServer(entry)
	defer s.Close()

	code, out, errOut := weirctl("status", "--entry", s.URL)
	is.Equal(errOut, "")
	is.Equal(code, 0)
	is.True(strings.Contains(out, "RUNS LONGER BESIDE"))
	is.Equal(strings.Fields(out[strings.LastIndex(out, "entry-1"):]),
		[]string{"entry-1", "lookup", "scan", "1.75", "6.2", "41", "1m35s"})

	pairs = ""
	_, out, _ = weirctl("status", "--entry", s.URL)
	is.True(!strings.Contains(out, "RUNS LONGER BESIDE"))
}
