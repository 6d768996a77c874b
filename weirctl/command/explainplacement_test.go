package command_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against a question about another job than that of the options, and against figures or reasons that operators don't
// see.
func TestExplainPlacementPrintsDecisionAndReasons(t *testing.T) {
	is := is.New(t)

	var query url.Values

	entry := http.NewServeMux()
	entry.HandleFunc("/v1/explain-placement", func(w http.ResponseWriter, r *http.Request) {
		query = r.URL.Query()

		_, _ = w.Write([]byte(`{"kind":"scan","service":"s","tasks":4,"admission":{"reason":"no room","retry_after_ms":750,
			"load":{"free":1500}},"candidates":[{"sidecar":"w-1","requests":3,"suspect":true,"last_resort":true,"slowness":1.25},
			{"sidecar":"w-2","reason":"too far"}],"left_out":[{"sidecar":"w-3","reason":"closed"}],"left_out_not_listed":7}`))
	})

	s := httptest.NewServer(entry)
	defer s.Close()

	args := []string{"explain-placement", "--entry", s.URL, "--kind", "scan", "--tasks", "4", "--cores", "2",
		"--memory-mb", "9", "--estimate", "60ms", "--required-label", "r", "--preferred-label", "p", "--max-per-server", "1"}
	code, out, errOut := weirctl(args...)
	is.Equal(errOut, "")
	is.Equal(code, 0)
	is.Equal(query.Encode(), "cores=2&estimate_ms=60&kind=scan&max_per_server=1&memory_mb=9&preferred_label=p&required_label=r&tasks=4")

	for _, text := range []string{
		"refused: no room; retry after 750 ms", "free 1.5,", "suspect, last resort", "1.25", "too far", "closed", "7 more are not listed",
	} {
		is.True(strings.Contains(out, text)) // text
	}

	code, out, _ = weirctl(append(args, "--json")...)
	is.Equal(code, 0)

	var answers []struct {
		Explanation struct{ Tasks int }
	}
	is.NoErr(json.Unmarshal([]byte(out), &answers))
	is.Equal(answers[0].Explanation.Tasks, 4)

	code, out, _ = weirctl("explain-placement", "--entry", s.URL+"/none", "--kind", "scan")
	is.Equal(code, 1)
	is.True(!strings.Contains(out, "decision"))
}
