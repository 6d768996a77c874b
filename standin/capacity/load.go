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
func runAtRate(ctx context.Context, rate int, f func(n int)) {
	const (
		tick          = 5 * time.Millisecond
		maxConcurrent = 4096
		perTick       = int(time.Second / tick)
	)

	var group sync.WaitGroup
	defer group.Wait()

	semaphore := make(chan struct{}, maxConcurrent)
	ticker := time.NewTicker(tick)

	defer ticker.Stop()

	begin := time.Now()

	for n := 0; ; {
		for due := int(time.Since(begin).Seconds() * float64(rate)); n < due; n++ {
			select {
			case semaphore <- struct{}{}:
			case <-ctx.Done():
				return
			}

			number := n

			group.Go(func() {
				defer func() { <-semaphore }()

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
type jobLoad struct {
	url, token string
	body       []byte
	tasks      int
	client     http.Client
	// done counts tasks of answered jobs, refused the jobs that were not.
	answeredTasks, refusedJobs atomic.Int64
	lastError                  atomic.Pointer[error]
}

func newJobLoad(url, token string, tasks, input int) *jobLoad {
	type task struct {
		Input string `json:"input"`
	}

	all := make([]task, tasks)
	for i := range all {
		all[i].Input = base64.StdEncoding.EncodeToString(make([]byte, input))
	}

	body, _ := json.Marshal(map[string]any{"kind": "scan", "tasks": all, "cores": 1, "wait": true, "deadline_ms": 10_000})

	return &jobLoad{
		url: url + "/v1/jobs", token: token, body: body, tasks: tasks,
		client: http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024}},
	}
}

// run submits jobs so that about starts tasks begin each second, until ctx ends.
func (j *jobLoad) run(ctx context.Context, starts int) {
	runAtRate(ctx, max(1, starts/j.tasks), func(int) { j.recordResult(ctx, j.submit(ctx)) })
}

func (j *jobLoad) recordResult(ctx context.Context, err error) {
	switch {
	case err == nil:
		j.answeredTasks.Add(int64(j.tasks))
	case ctx.Err() == nil:
		j.refusedJobs.Add(1)
		j.lastError.Store(&err)
	}
}

func (j *jobLoad) submit(ctx context.Context) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, j.url, bytes.NewReader(j.body))
	if err != nil {
		return merry.Wrap(err)
	}

	request.Header.Set("Authorization", "Bearer "+j.token)
	request.Header.Set("Content-Type", "application/json")

	response, err := j.client.Do(request)
	if err != nil {
		return merry.Wrap(err)
	}
	defer response.Body.Close()

	text, err := io.ReadAll(response.Body)
	if err == nil && response.StatusCode != http.StatusOK {
		err = merry.Errorf("%s: %.300s", response.Status, text)
	}

	return err
}

// until submits jobs until n were answered since the beginning.
func (j *jobLoad) submitUntilAnswered(ctx context.Context, n int) error {
	const concurrency = 32

	var group sync.WaitGroup

	for range concurrency {
		group.Go(func() {
			for ctx.Err() == nil && int(j.answeredTasks.Load())/j.tasks < n && j.refusedJobs.Load() == 0 {
				j.recordResult(ctx, j.submit(ctx))
			}
		})
	}

	group.Wait()

	if e := j.lastError.Load(); e != nil {
		return *e
	}

	return ctx.Err()
}
