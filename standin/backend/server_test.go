package backend_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/skylarkweir/skylarkweir/standin/backend"
)

// Guards against injected faults without effect, with which tests of other packages would pass without testing
// anything.
func TestFaults(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer((&backend.Server{}).Handler())
	defer server.Close()

	post := func(path, body string) (status int, text string) {
		r, err := http.Post(server.URL+path, "", strings.NewReader(body))
		if err != nil {
			return 0, ""
		}
		defer r.Body.Close()

		raw, _ := io.ReadAll(r.Body)

		return r.StatusCode, string(raw)
	}

	status, text := post("/run/k", "plain")
	is.Equal(status, http.StatusOK)
	is.Equal(text, "plain")

	_, text = post("/run/k", `{"echo":"ab","size":5}`)
	is.Equal(text, "ababa")

	status, _ = post("/admin/faults", `{"unknown":true}`)
	is.Equal(status, http.StatusBadRequest)

	_, _ = post("/admin/faults", `{"fail_all":true}`)
	status, _ = post("/run/k", "")
	is.Equal(status, http.StatusInternalServerError)

	_, _ = post("/admin/faults", `{"slow_factor":20}`)
	began := time.Now()
	status, _ = post("/run/k", `{"run_ms":10}`)
	is.Equal(status, http.StatusOK)
	is.True(time.Since(began) >= 200*time.Millisecond)

	_, _ = post("/admin/faults", `{"refuse":true}`)
	status, _ = post("/run/k", "")
	is.Equal(status, 0)

	r, err := http.Get(server.URL + "/admin/counts")
	is.NoErr(err)
	defer r.Body.Close()

	counts, err := io.ReadAll(r.Body)
	is.NoErr(err)
	// All starts came without headers, so each one after the first counts as repeated.
	is.True(strings.Contains(string(counts), `"started":4,"running":0,"completed":3,"failed":1,"cancelled":0,"refused":1,"repeated":3`))
}
