package checker_test

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/skylarkweir/skylarkweir/standin/caller"
	"github.com/skylarkweir/skylarkweir/standin/checker"
	"github.com/skylarkweir/skylarkweir/weir/process/settings"
)

// leavingEntry refuses the first submission with the code leaving and ran none, and completes the next one, which has
// another ticket.
type leavingEntry struct {
	issued, submitted atomic.Int64
}

func (e *leavingEntry) tickets(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(map[string]any{"tickets": []string{fmt.Sprintf("ticket-%d", e.issued.Add(1))}})
}

func (e *leavingEntry) submit(w http.ResponseWriter, r *http.Request) {
	if e.submitted.Add(1) == 1 {
		w.WriteHeader(http.StatusServiceUnavailable)
		_ = json.NewEncoder(w).Encode(map[string]any{"error": map[string]any{"code": "leaving", "ran": "none"}})

		return
	}

	output := []byte("1")
	sum := sha256.Sum256(output)
	_ = json.NewEncoder(w).Encode(map[string]any{
		"submission": r.Header.Get("Idempotency-Key"), "state": "complete", "length": len(output),
		"digest": hex.EncodeToString(sum[:]), "results": []map[string]any{{"index": 0, "output": output}},
	})
}

type taskStart struct {
	submission string
	begin      time.Time
}

func (s taskStart) Submission() string { return s.submission }
func (s taskStart) Task() int          { return 0 }
func (s taskStart) Attempt() int       { return 0 }
func (s taskStart) Begin() time.Time   { return s.begin }

// Guards against a false refusal with ran none that goes unnoticed, because the caller continued with a new ticket and
// only the last ticket was checked.
func TestRefusalUnderAbandonedTicket(t *testing.T) {
	is := is.New(t)
	entry := &leavingEntry{}
	mux := http.NewServeMux()
	mux.HandleFunc("/v1/tickets", entry.tickets)
	mux.HandleFunc("/v1/requests", entry.submit)

	server := httptest.NewServer(mux)
	defer server.Close()

	load := &caller.Load{}
	is.NoErr(settings.Parse("load", fmt.Appendf(nil, `{"entries": [%q], "token": "token", "rate": 1, "batch": 1, "mix": [{"kind": "order"}]}`, server.URL), load))

	client := caller.NewClient(load)
	defer client.Close()

	record := client.Submit(t.Context(), caller.NewRequest("order", false, caller.TaskInput(0, 1, "")))
	is.True(record.Complete())
	is.Equal(record.Ticket(), "ticket-2")

	history := &checker.History{}
	history.Record(record)
	history.Start(taskStart{"ticket-2", time.Now()})
	is.Equal(len(history.Violations()), 0)

	history.Start(taskStart{"ticket-1", time.Now()})

	found := history.Violations()
	is.Equal(len(found), 1)

	_, ok := found[0].(checker.FalseNotRun)
	is.True(ok)
}
