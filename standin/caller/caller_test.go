package caller_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/skylarkweir/skylarkweir/standin/caller"
	"github.com/skylarkweir/skylarkweir/weir/process/settings"
)

// seed determines the arrivals and run times.
const seed = 20261204

// fakeEntry answers every submission after the longest run time of its tasks. The output of a task is the echo of its
// input.
type fakeEntry struct {
	*httptest.Server
	issuedTickets atomic.Int64
	mutex         sync.Mutex
	inputs        map[string]string
	// longest holds the run time of the longest task of each submission.
	longest      []time.Duration
	beforeAnswer func(w http.ResponseWriter) bool
	falsify      func(answer map[string]any)
}

func newFakeEntry(t *testing.T) *fakeEntry {
	f := &fakeEntry{inputs: map[string]string{}}
	m := http.NewServeMux()
	m.HandleFunc("/v1/tickets", func(w http.ResponseWriter, r *http.Request) {
		var q struct{ Count int }
		json.NewDecoder(r.Body).Decode(&q)
		var tickets []string
		for range q.Count {
			tickets = append(tickets, fmt.Sprintf("%s-%d", f.URL, f.issuedTickets.Add(1)))
		}
		json.NewEncoder(w).Encode(map[string]any{"tickets": tickets})
	})
	m.HandleFunc("/v1/", f.submit)
	f.Server = httptest.NewServer(m)
	t.Cleanup(f.Close)

	return f
}

func (f *fakeEntry) submit(w http.ResponseWriter, r *http.Request) {
	var q struct {
		Kind  string
		Input []byte
		Tasks []struct{ Input []byte }
	}
	json.NewDecoder(r.Body).Decode(&q)

	if q.Input != nil {
		q.Tasks = append(q.Tasks, struct{ Input []byte }{q.Input})
	}

	if f.beforeAnswer != nil && !f.beforeAnswer(w) {
		return
	}

	var longest time.Duration
	digest, length, results := sha256.New(), 0, []map[string]any{}

	for i, task := range q.Tasks {
		var in struct {
			RunMS float64 `json:"run_ms"`
			Echo  string
		}
		json.Unmarshal(task.Input, &in)
		longest = max(longest, time.Duration(in.RunMS*1e6))
		digest.Write([]byte(in.Echo))
		length += len(in.Echo)
		results = append(results, map[string]any{"index": i, "output": []byte(in.Echo)})
	}

	key := r.Header.Get("Idempotency-Key")
	f.mutex.Lock()
	f.inputs[string(q.Tasks[0].Input)] = key
	f.longest = append(f.longest, longest.Round(time.Microsecond))
	f.mutex.Unlock()
	time.Sleep(longest)

	a := map[string]any{
		"submission": key, "state": "complete", "length": length, "digest": hex.EncodeToString(digest.Sum(nil)),
		"results": results,
	}
	if f.falsify != nil {
		f.falsify(a)
	}
	json.NewEncoder(w).Encode(a)
}

func newLoad(t *testing.T, rate float64, mix string, entries ...*fakeEntry) *caller.Load {
	t.Helper()

	urls := []string{}
	for _, e := range entries {
		urls = append(urls, e.URL)
	}

	list, _ := json.Marshal(urls)
	text := fmt.Sprintf(
		`{"entries": %s, "token": "t", "rate": %g, "duration": "500ms", "seed": %d, "mix": %s}`, list, rate, seed, mix)

	l := &caller.Load{}
	if err := settings.Parse("load", []byte(text), l); err != nil {
		t.Fatal(err)
	}

	return l
}

// Guards against coordinated omission: a generator that waits for answers sends less during a stall and so hides it.
// Each submission that is due while the entry stalls must include the rest of the stall in its response time.
func TestNoCoordinatedOmission(t *testing.T) {
	is := is.New(t)
	f := newFakeEntry(t)
	start := time.Now()
	f.beforeAnswer = func(http.ResponseWriter) bool {
		time.Sleep(time.Until(start.Add(400 * time.Millisecond)))

		return true
	}

	var slow atomic.Int64

	report := caller.NewGenerator(newLoad(t, 400, `[{"kind": "k", "run": "fixed 1ms"}]`, f), func(r *caller.Record) {
		if r.ResponseTime() > 200*time.Millisecond {
			slow.Add(1)
		}
	}).Run(context.Background())

	is.Equal(report.All().Complete(), report.All().Submitted())
	is.True(report.All().Submitted() > 120) // 200 are expected in 500 ms
	is.True(slow.Load() > 50)               // 80 are due in the first 200 ms
	is.True(report.All().ResponseTime(50) > 50*time.Millisecond)
}

// recordedRatios collects the run time of the longest task and the response ratio of each submission.
type recordedRatios struct {
	t      *testing.T
	mutex  sync.Mutex
	ideals []time.Duration
	ratios []float64
}

func (r *recordedRatios) add(record *caller.Record) {
	var b struct {
		Ideal float64 `json:"ideal_ms"`
	}

	text, err := json.Marshal(record)
	if err != nil || json.Unmarshal(text, &b) != nil || b.Ideal <= 0 {
		r.t.Errorf("record without an ideal time: %s", text)

		return
	}

	r.mutex.Lock()
	defer r.mutex.Unlock()

	r.ideals = append(r.ideals, time.Duration(b.Ideal*float64(time.Millisecond)).Round(time.Microsecond))
	r.ratios = append(r.ratios, record.ResponseTime().Seconds()*1000/b.Ideal)
}

// Guards against response ratios that do not relate the response time to the run time of the longest task. The verdict
// does not depend on how long the answers took.
func TestRatioToIdeal(t *testing.T) {
	is := is.New(t)
	f := newFakeEntry(t)
	l := newLoad(t, 50, `[{"kind": "j", "form": "job", "tasks_least": 2, "tasks_most": 5, "run": "uniform 30ms 60ms"},
		{"kind": "r", "run": "fixed 40ms"}]`, f)
	recorded := &recordedRatios{t: t}
	report := caller.NewGenerator(l, recorded.add).Run(context.Background())
	report.Print(testWriter{t})

	is.Equal(report.All().Wrong(), 0)
	is.Equal(report.All().Complete(), report.Kind("j").Complete()+report.Kind("r").Complete())
	is.True(report.Kind("j").Complete() > 0)
	is.Equal(len(recorded.ratios), report.All().Complete())

	// The entry answers after the longest task, so no ratio is below one, and it has seen the same longest tasks.
	slices.Sort(recorded.ratios)
	slices.Sort(recorded.ideals)
	slices.Sort(f.longest)
	is.True(recorded.ratios[0] >= 1)
	is.Equal(recorded.ideals, f.longest)

	// The report's median is that of the records, but for the precision of its histogram.
	const precision = 0.02

	low, high := recorded.ratios[(len(recorded.ratios)-1)/2], recorded.ratios[len(recorded.ratios)/2]
	is.True(report.All().ResponseRatio(50) >= low*(1-precision))
	is.True(report.All().ResponseRatio(50) <= high*(1+precision))

	text, err := json.Marshal(report)
	is.NoErr(err)
	var b struct{ All struct{ Complete int } }
	is.NoErr(json.Unmarshal(text, &b))
	is.Equal(b.All.Complete, report.All().Complete())
}

// Guards against loads that differ between runs with the same seed, which would make runs incomparable.
func TestSeedDeterminesSubmissions(t *testing.T) {
	is := is.New(t)

	var runs [2]map[string]string
	for i := range runs {
		f := newFakeEntry(t)
		caller.NewGenerator(newLoad(t, 100, `[{"kind": "k", "run": "exponential 5ms"}]`, f), nil).Run(context.Background())
		runs[i] = f.inputs
	}

	is.True(len(runs[0]) > 10)
	for input := range runs[0] {
		_, inBoth := runs[1][input]
		is.True(inBoth)
	}
}

// Guards against running a task twice: after a broken connection it is unknown whether the submission ran, so the
// client must send the same ticket to another entry.
func TestBrokenConnectionKeepsTicket(t *testing.T) {
	is := is.New(t)
	a, b := newFakeEntry(t), newFakeEntry(t)
	requests := atomic.Int64{}
	// Breaks the connection of the first submission, at whichever entry receives it.
	breakFirst := func(http.ResponseWriter) bool {
		if requests.Add(1) == 1 {
			panic(http.ErrAbortHandler)
		}

		return true
	}
	a.beforeAnswer, b.beforeAnswer = breakFirst, breakFirst

	c := caller.NewClient(newLoad(t, 1, `[{"kind": "k"}]`, a, b))
	defer c.Close()

	r := c.Submit(context.Background(), caller.NewRequest("k", false, caller.TaskInput(0, 1, "")))
	is.True(r.Complete())
	is.Equal(r.AttemptCount(), 2)
	is.Equal(a.issuedTickets.Load()*b.issuedTickets.Load(), int64(0)) // only one entry issued tickets
}

// Guards against losing a submission that an entry refuses because it is leaving: the client must submit it at another
// entry with a ticket of that entry.
func TestLeavingEntryIsReplaced(t *testing.T) {
	is := is.New(t)
	a, b := newFakeEntry(t), newFakeEntry(t)
	requests := atomic.Int64{}
	refuseFirst := func(w http.ResponseWriter) bool {
		if requests.Add(1) > 1 {
			return true
		}

		w.WriteHeader(http.StatusServiceUnavailable)
		w.Write([]byte(`{"error": {"code": "leaving", "message": "m", "ran": "none"}}`))

		return false
	}
	a.beforeAnswer, b.beforeAnswer = refuseFirst, refuseFirst

	c := caller.NewClient(newLoad(t, 1, `[{"kind": "k"}]`, a, b))
	defer c.Close()

	r := c.Submit(context.Background(), caller.NewRequest("k", false, caller.TaskInput(0, 1, "")))
	is.True(r.Complete())
	is.True(a.issuedTickets.Load() > 0)
	is.True(b.issuedTickets.Load() > 0)
}

// Guards against accepting an incomplete answer or one that belongs to another submission: the client must check the
// identifier, state, length, digest and outputs.
func TestWrongAnswersAreDetected(t *testing.T) {
	for title, falsify := range map[string]func(map[string]any){
		"other submission": func(a map[string]any) { a["submission"] = "x" },
		"digest":           func(a map[string]any) { a["digest"] = hex.EncodeToString(make([]byte, 32)) },
		"length":           func(a map[string]any) { a["length"] = 1 },
		"missing result":   func(a map[string]any) { a["results"] = a["results"].([]map[string]any)[:1] },
		"other output": func(a map[string]any) {
			r := a["results"].([]map[string]any)
			r[0]["output"], r[1]["output"] = r[1]["output"], r[0]["output"]
		},
		"order": func(a map[string]any) { a["results"].([]map[string]any)[0]["index"] = 1 },
		"state": func(a map[string]any) { a["state"] = "running" },
	} {
		t.Run(title, func(t *testing.T) {
			is := is.New(t)
			f := newFakeEntry(t)
			f.falsify = falsify
			c := caller.NewClient(newLoad(t, 1, `[{"kind": "k"}]`, f))
			defer c.Close()

			r := c.Submit(context.Background(), caller.NewJob("k", caller.TaskInput(0, 1, ""), caller.TaskInput(0, 2, "")))
			is.True(!r.Complete())
			is.True(r.Wrong())
			is.Equal(r.Code(), "wrong_answer")
		})
	}
}

// Guards against loads that cannot be generated as written: they must be refused when the settings are read.
func TestLoadRefusesBadMix(t *testing.T) {
	is := is.New(t)

	for _, mix := range []string{
		`[]`, `[{"kind": "k", "weight": 0}]`,
		`[{"kind": "k", "run": "uniform 2s 1s"}]`, `[{"kind": "k", "run": "gauss 1s"}]`,
		`[{"kind": "k", "tasks_most": 2}]`, `[{"kind": "k", "form": "job", "tasks_least": 3, "tasks_most": 2}]`,
	} {
		text := fmt.Sprintf(`{"entries": ["http://x"], "token": "t", "rate": 1, "mix": %s}`, mix)
		is.True(settings.Parse("load", []byte(text), &caller.Load{}) != nil)
	}
}

type testWriter struct{ t *testing.T }

func (w testWriter) Write(text []byte) (int, error) {
	w.t.Logf("%s", text)

	return len(text), nil
}
