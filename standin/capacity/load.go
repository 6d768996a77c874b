package capacity

import (
	"bytes"
	"context"
	"encoding/base64"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
)

var errNotCompleted = errors.New("the task was not completed")

// pace calls f in goroutines at a rate until ctx ends, and waits for them. At most some thousand run at once, so that a
// slow process under test cannot exhaust the memory of this one.
func pace(ctx context.Context, rate int, f func(n int)) {
	const (
		tick    = 5 * time.Millisecond
		atOnce  = 4096
		perTick = int(time.Second / tick)
	)

	var group sync.WaitGroup
	defer group.Wait()

	places := make(chan struct{}, atOnce)
	ticker := time.NewTicker(tick)

	defer ticker.Stop()

	begin := time.Now()

	for n := 0; ; {
		for due := int(time.Since(begin).Seconds() * float64(rate)); n < due; n++ {
			select {
			case places <- struct{}{}:
			case <-ctx.Done():
				return
			}

			number := n

			group.Go(func() {
				defer func() { <-places }()

				f(number)
			})
		}

		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// jobs submits jobs to one entry.
type jobs struct {
	url, token string
	body       []byte
	tasks      int
	client     http.Client
	// done counts tasks of answered jobs, refused the jobs that were not.
	done, refused atomic.Int64
	last          atomic.Pointer[error]
}

func newJobs(url, token string, tasks, input int) *jobs {
	type task struct {
		Input string `json:"input"`
	}

	all := make([]task, tasks)
	for i := range all {
		all[i].Input = base64.StdEncoding.EncodeToString(make([]byte, input))
	}

	body, _ := json.Marshal(map[string]any{"kind": "scan", "tasks": all, "cores": 1, "wait": true, "deadline_ms": 10_000})

	return &jobs{
		url: url + "/v1/jobs", token: token, body: body, tasks: tasks,
		client: http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024}},
	}
}

// run submits jobs so that about starts tasks begin each second, until ctx ends.
func (j *jobs) run(ctx context.Context, starts int) {
	pace(ctx, max(1, starts/j.tasks), func(int) { j.count(ctx, j.submit(ctx)) })
}

func (j *jobs) count(ctx context.Context, err error) {
	switch {
	case err == nil:
		j.done.Add(int64(j.tasks))
	case ctx.Err() == nil:
		j.refused.Add(1)
		j.last.Store(&err)
	}
}

func (j *jobs) submit(ctx context.Context) error {
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, j.url, bytes.NewReader(j.body))
	if err != nil {
		return merry.Wrap(err)
	}

	q.Header.Set("Authorization", "Bearer "+j.token)
	q.Header.Set("Content-Type", "application/json")

	a, err := j.client.Do(q)
	if err != nil {
		return merry.Wrap(err)
	}
	defer a.Body.Close()

	text, err := io.ReadAll(a.Body)
	if err == nil && a.StatusCode != http.StatusOK {
		err = merry.Errorf("%s: %.300s", a.Status, text)
	}

	return err
}

// until submits jobs until n were answered since the beginning.
func (j *jobs) until(ctx context.Context, n int) error {
	const atOnce = 32

	var group sync.WaitGroup

	for range atOnce {
		group.Go(func() {
			for ctx.Err() == nil && int(j.done.Load())/j.tasks < n && j.refused.Load() == 0 {
				j.count(ctx, j.submit(ctx))
			}
		})
	}

	group.Wait()

	if e := j.last.Load(); e != nil {
		return *e
	}

	return ctx.Err()
}
