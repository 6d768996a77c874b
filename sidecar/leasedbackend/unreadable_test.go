package leasedbackend_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/skylarkweir/skylarkweir/sidecar/leasedbackend"
	"github.com/skylarkweir/skylarkweir/sidecar/repeatable"
)

// answering returns a client of a backend server that answers each call with a body.
func answering(t *testing.T, body string) *leasedbackend.Client {
	t.Helper()

	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, body) }))
	t.Cleanup(s.Close)

	return leasedbackend.NewClient(s.URL)
}

var permit = repeatable.NewPermit("i-1", 7, time.Hour)

// Guards against tasks that are reported as lost while they run: an answer without the clock that each list of runs has
// counts as an empty list.
func TestListWithoutContentIsNotAnEmptyList(t *testing.T) {
	for _, body := range []string{`{}`, `null`, `{"running":[]}`} {
		t.Run(body, func(t *testing.T) {
			_, err := answering(t, body).Watch(t.Context(), 0, 0, permit)
			is.New(t).True(err != nil)
		})
	}
}

// Guards against a task that runs twice: an answer that does not tell whether a start was carried out counts as a
// rejection, so that the task is placed again while its run goes on.
func TestUnknownAnswerDoesNotSettleAStart(t *testing.T) {
	for _, body := range []string{`{}`, `null`, `{"answer":"queued","clock_ms":4810}`} {
		t.Run(body, func(t *testing.T) {
			_, err := answering(t, body).Start(t.Context(), repeatable.NewRun(repeatable.NewTask("a", 0), 1), "x", permit)
			is.New(t).True(err != nil)
		})
	}
}
