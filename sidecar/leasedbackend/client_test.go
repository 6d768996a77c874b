package leasedbackend_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/skylarkweir/skylarkweir/sidecar/leasedbackend"
	"github.com/skylarkweir/skylarkweir/sidecar/repeatable"
)

// Guards against an answer that says nothing of the outcome and is taken for a rejection: the task is then started
// elsewhere, though it may run here.
func TestStartIsNotRejectedByAnUnclearAnswer(t *testing.T) {
	run := repeatable.NewRun(repeatable.NewTask("job", 0), 17)

	for name, c := range map[string]struct {
		status int
		body   string
		clear  bool
	}{
		"rejected":       {200, `{"answer":"invalid","clock_ms":5}`, true},
		"no answer":      {200, `{"clock_ms":5}`, false},
		"unknown answer": {200, `{"answer":"queued","clock_ms":5}`, false},
		"not JSON":       {200, `<html>`, false},
		"empty":          {204, ``, false},
		"server error":   {500, `{"answer":"invalid"}`, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(c.status)
				fmt.Fprint(w, c.body)
			}))
			t.Cleanup(s.Close)

			answer, err := leasedbackend.NewClient(s.URL).Start(t.Context(), run, "", repeatable.NewPermit("a7", 1, 0))
			is.Equal(err == nil, c.clear)

			if c.clear {
				is.Equal(answer.Result(), repeatable.Invalid)
			}
		})
	}
}

// Guards against calls that wait behind those whose answers are lost, up to the time limit of these.
func TestLostAnswersDoNotHoldBackOtherCalls(t *testing.T) {
	const lostAnswers = 16

	is := is.New(t)
	run := repeatable.NewRun(repeatable.NewTask("job", 0), 17)
	permit := repeatable.NewPermit("a7", 1, 0)
	arrived := make(chan struct{}, lostAnswers)

	s := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)

		if r.URL.Path == leasedbackend.StartPath {
			arrived <- struct{}{}

			<-r.Context().Done()
		}
	}))
	t.Cleanup(s.Close)

	c := leasedbackend.NewClient(s.URL)

	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()

	for range lostAnswers {
		go func() { _, _ = c.Start(ctx, run, "", permit) }()
	}

	for range lostAnswers {
		select {
		case <-arrived:
		case <-ctx.Done():
			t.Fatal("a start waits for the answers to others")
		}
	}

	is.NoErr(c.Stop(ctx, run, permit))
}
