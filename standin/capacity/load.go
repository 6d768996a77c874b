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

var errNotCompleted = errors.New("task was not completed")

// runAtRate calls f in goroutines, rate times per second, until ctx ends, and waits for them. It limits the number of
// concurrent calls, so that a slow process under test cannot exhaust the memory of this one.
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

// jobLoad submits equal jobs to one entry.
type jobLoad struct {
	url, token string
	body       []byte
	tasks      int
	client     http.Client
	// answeredTasks counts the tasks of answered jobs, refusedJobs the jobs that were refused or not answered.
	answeredTasks, refusedJobs atomic.Int64
	lastError                  atomic.Pointer[error]
}

func newJobLoad(url, token string, tasks, input int) *jobLoad {
	type task struct {
		Input string `json:"input"`
	}

	taskInputs := make([]task, tasks)
	for i := range taskInputs {
		taskInputs[i].Input = base64.StdEncoding.EncodeToString(make([]byte, input))
	}

	body, _ := json.Marshal(map[string]any{
		"kind": "scan", "tasks": taskInputs, "cores": 1, "wait": true, "deadline_ms": 10_000,
	})

	return &jobLoad{
		url: url + "/v1/jobs", token: token, body: body, tasks: tasks,
		client: http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024}},
	}
}

// run submits jobs until ctx ends, at a rate at which about starts tasks start per second.
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

// submitUntilAnswered submits jobs until n jobs have been answered since the creation of j, or one has failed.
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
