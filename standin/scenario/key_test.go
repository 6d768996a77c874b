package scenario_test

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/matryer/is"

	"github.com/skylarkweir/skylarkweir/standin/cluster"
	"github.com/skylarkweir/skylarkweir/standin/relay"
	"github.com/skylarkweir/skylarkweir/standin/scenario"
)

// maxRefusalTime is the time within which a key is refused while the log is down, with a margin for a busy machine.
const maxRefusalTime = 2500 * time.Millisecond

// keyedRequest is one request that is sent under one idempotency key through all entries at the same time.
type keyedRequest struct {
	key     string
	runTime time.Duration
	entries []*cluster.Entry
	group   sync.WaitGroup

	mu        sync.Mutex
	responses []scenario.Response
}

func (k *keyedRequest) body() map[string]any {
	input, _ := json.Marshal(map[string]any{"run_ms": k.runTime.Milliseconds(), "echo": k.key})

	return map[string]any{"kind": "order", "input": input, "deadline_ms": 8000}
}

// send repeats the request, at first through the numbered entry and then through the next ones, until the response is
// something else than a refusal because the log is unavailable.
func (k *keyedRequest) send(ctx context.Context, firstEntry int) {
	defer k.group.Done()

	const (
		attempts      = 12
		retryInterval = 400 * time.Millisecond
	)

	for i := range attempts {
		response, err := scenario.SendRequest(ctx, k.entries[(firstEntry+i)%len(k.entries)],
			http.MethodPost, "/v1/requests", k.key, k.body())

		if err == nil {
			k.mu.Lock()
			k.responses = append(k.responses, response)
			k.mu.Unlock()

			if response.Code() != "log_unavailable" {
				return
			}
		}

		select {
		case <-ctx.Done():
			return
		case <-time.After(retryInterval):
		}
	}
}

// check compares the responses with the starts of the key, and reports whether a response was complete.
func (k *keyedRequest) check(t *testing.T, starts []cluster.TaskStart) (complete bool) {
	t.Helper()

	if len(starts) > 1 {
		t.Errorf("key %s started %d times, want at most 1", k.key, len(starts))
	}

	for _, a := range k.responses {
		switch {
		case a.Status() == http.StatusOK:
			complete = true

			if string(a.Output()) != k.key || len(starts) == 0 {
				t.Errorf("key %s is complete with output %q and %d starts, want its own key as output and a start",
					k.key, a.Output(), len(starts))
			}
		case a.Ran() == "none" && len(starts) > 0 && starts[0].Begin().Before(a.ReceivedAt()):
			t.Errorf("key %s was refused with %s and ran none %s after its start",
				k.key, a.Code(), a.ReceivedAt().Sub(starts[0].Begin()))
		}

		if a.Code() == "log_unavailable" && a.Latency() > maxRefusalTime {
			t.Errorf("key %s was refused with %s after %s, later than maxRefusalTime", k.key, a.Code(), a.Latency())
		}
	}

	return complete
}

// Guards against a key that runs twice, and against a refusal with ran none of a key that has run. Each key is used at
// all entries at the same time, while responses to appends are lost, the log is down, and one of the three entries, the
// home of a third of the keys, is killed.
func TestKeysRunOnce(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()

	const (
		seed           = 18
		keyCount       = 200
		submitInterval = 60 * time.Millisecond
	)

	t.Logf("seed %d, %d keys", seed, keyCount)

	s := scenario.Start(ctx, t, 3, 4, kinds())
	processes := s.Cluster()
	random := rand.New(rand.NewPCG(seed, 0))
	requests := []*keyedRequest{}

	is.NoErr(processes.Log().SetFaults(ctx, map[string]any{"lose_answers": true}))

	for i := range keyCount {
		switch i {
		case 50:
			is.NoErr(processes.Log().SetFaults(ctx, map[string]any{"down": true}))
		case 100:
			is.NoErr(processes.Log().SetFaults(ctx, map[string]any{}))
		case 160:
			is.NoErr(processes.Entries()[2].Process().Kill())
		}

		key, err := uuid.NewV7()
		is.NoErr(err)

		k := &keyedRequest{key: key.String(), runTime: time.Duration(200+random.IntN(600)) * time.Millisecond,
			entries: processes.Entries()}
		requests = append(requests, k)

		for firstEntry := range k.entries {
			k.group.Add(1)

			go k.send(ctx, firstEntry)
		}

		s.Sleep(ctx, submitInterval)
	}

	for _, k := range requests {
		k.group.Wait()
	}

	starts := map[string][]cluster.TaskStart{}
	for _, x := range s.Starts(ctx) {
		starts[x.Echo()] = append(starts[x.Echo()], x)
	}

	completeKeys, startedKeys := 0, 0
	refused := map[string]int{}

	for _, k := range requests {
		if k.check(t, starts[k.key]) {
			completeKeys++
		}

		startedKeys += min(1, len(starts[k.key]))

		for _, a := range k.responses {
			if a.Code() != "" {
				refused[a.Code()+"/"+a.Ran()]++
			}
		}
	}

	t.Logf("%d of %d keys started, %d complete, refusals: %v", startedKeys, keyCount, completeKeys, refused)
	is.True(completeKeys > keyCount*3/4)
	is.True(refused["log_unavailable/none"]+refused["log_unavailable/unknown"] > 0)
}

// Guards against an entry that cannot reach the log and refuses a key with ran none although the key runs through
// another entry.
func TestKeyAtEntryWithoutLog(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()

	const keyCount = 8

	s := scenario.Start(ctx, t, 2, 2, kinds())
	processes := s.Cluster()
	processes.Entries()[0].LogRelay().SetFaults(relay.Faults{}.WithCut())

	all := []*keyedRequest{}

	for range keyCount {
		key, err := uuid.NewV7()
		is.NoErr(err)

		k := &keyedRequest{key: key.String(), runTime: time.Second, entries: processes.Entries()}
		all = append(all, k)

		k.group.Add(2)

		go k.send(ctx, 1)
		s.Sleep(ctx, 200*time.Millisecond)

		go k.send(ctx, 0)
	}

	for _, k := range all {
		k.group.Wait()
	}

	starts := map[string][]cluster.TaskStart{}
	for _, x := range s.Starts(ctx) {
		starts[x.Echo()] = append(starts[x.Echo()], x)
	}

	for _, k := range all {
		is.True(k.check(t, starts[k.key]))
	}
}
