package caller_test

import (
	"net/url"
	"strings"
	"testing"
	"time"

	"github.com/skylarkweir/skylarkweir/entry/caller"
	"github.com/skylarkweir/skylarkweir/weir/connection/adminapi"
	"github.com/skylarkweir/skylarkweir/weir/request/job"
	"github.com/skylarkweir/skylarkweir/weir/version/ledger"
)

// fakeExplainer records jobs. While release is not nil, it waits for it.
type fakeExplainer struct {
	jobs             []job.Job
	limit            int
	entered, release chan struct{}
}

func (e *fakeExplainer) Explain(j job.Job, limit int) adminapi.PlacementExplanation {
	e.jobs, e.limit = append(e.jobs, j), limit

	if e.release != nil {
		e.entered <- struct{}{}
		<-e.release
	}

	return adminapi.PlacementExplanation{Kind: j.Policy().Kind()}
}

func newPlacementExplainer(e *fakeExplainer) *caller.PlacementExplainer {
	replica := &ledger.Replica{}
	record := ledger.PublicationRecord(0, []byte("n"), "op", agreementOf("a"))
	replica.ApplyLog([]ledger.Record{ledger.NewRecord(0, time.Now(), record)}, 1)

	return caller.NewPlacementExplainer(e, replica, 10)
}

// Guards against an explanation of another job than the one that was asked for, and against one of a job that the entry
// would reject before any decision on its load.
func TestPlacementQuery(t *testing.T) {
	is := newIs(t)
	e := &fakeExplainer{}
	p := newPlacementExplainer(e)

	explain := func(query string) caller.Reply {
		values, err := url.ParseQuery(query)
		is.NoErr(err)

		return p.ExplainPlacement(values)
	}

	reply := explain("kind=k&tasks=3&cores=1&memory_mb=7&estimate_ms=60&deadline_ms=900&objective_ms=50" +
		"&required_label=r&preferred_label=p&max_per_server=2")
	is.Equal(reply.Status(), 200)
	is.True(strings.Contains(string(reply.Body()), `"kind":"k"`))
	is.True(e.limit > 0)

	j := e.jobs[0]
	is.Equal(j.Tasks(), 3)
	is.Equal(j.Size(), job.NewSize(1000, 7))
	is.Equal(j.Estimate(), 60*time.Millisecond)
	is.Equal(j.Timeout(), 900*time.Millisecond)
	is.Equal(j.Policy().Service(), "s")
	is.Equal(j.Policy().Objective(100*time.Millisecond), 210*time.Millisecond)
	is.Equal(j.Constraints(), job.NewConstraints("r", "p", 2))

	for _, query := range []string{
		"", "kind=x", "kind=k&tasks=0", "kind=k&tasks=", "kind=k&tasks=1,%22cores%22:2", "kind=k&wait=true", "kind=k&max_per_server=-1",
		"kind=k&cores=900", "kind=k&required_label=a&required_label=b",
	} {
		status := explain(query).Status()
		is.True(status == 400 || status == 422) // query
	}

	is.Equal(len(e.jobs), 1)
}

// Guards against explanations that hold the lock of the dispatcher in turn while jobs wait for it.
func TestOnePlacementIsExplainedAtATime(t *testing.T) {
	is := newIs(t)
	e := &fakeExplainer{entered: make(chan struct{}), release: make(chan struct{})}
	p := newPlacementExplainer(e)
	query := url.Values{"kind": {"k"}}
	first := make(chan caller.Reply)

	go func() { first <- p.ExplainPlacement(query) }()

	<-e.entered
	is.Equal(p.ExplainPlacement(query).Status(), 429)

	close(e.release)
	is.Equal((<-first).Status(), 200)
}
