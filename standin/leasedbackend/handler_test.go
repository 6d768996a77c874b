package leasedbackend_test

import (
	"errors"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/gorilla/mux"
	"github.com/matryer/is"

	client "github.com/skylarkweir/skylarkweir/sidecar/leasedbackend"
	"github.com/skylarkweir/skylarkweir/sidecar/repeatable"
	"github.com/skylarkweir/skylarkweir/standin/leasedbackend"
)

func serve(t *testing.T, s *leasedbackend.Server) *client.Client {
	t.Helper()

	r := mux.NewRouter()
	s.Register(r)
	h := httptest.NewServer(r)
	t.Cleanup(h.Close)

	return client.NewClient(h.URL)
}

// leaseTime is longer than any test takes.
const leaseTime = time.Minute

// Guards against a request or an answer that changes its meaning on its way over HTTP.
func TestRunOverHTTP(t *testing.T) {
	is := is.New(t)
	s := leasedbackend.New("life-1")
	c := serve(t, s)

	status, err := c.Status(t.Context())
	is.NoErr(err)
	is.Equal(status.Instance, "life-1")
	is.Equal(status.StartedAtMS, s.StartedAtMS())

	watched, err := c.Watch(t.Context(), 0, 0, repeatable.NewPermit("life-1", 5, 0))
	is.NoErr(err)

	permit := repeatable.NewPermit("life-1", 5, watched.Clock()+leaseTime)
	hang := repeatable.NewRun(repeatable.NewTask("a job/with marks", 3), 7)

	answer, err := c.Start(t.Context(), hang, leasedbackend.Hang, permit)
	is.NoErr(err)
	is.Equal(answer.Result(), repeatable.Started)
	is.True(answer.Clock() >= watched.Clock())

	answer, err = c.Start(t.Context(), hang, leasedbackend.Hang, repeatable.NewPermit("life-1", 4, answer.Clock()+leaseTime))
	is.NoErr(err)
	is.Equal(answer.Result(), repeatable.Fenced)

	watched, err = c.Watch(t.Context(), 0, 0, permit)
	is.NoErr(err)
	is.Equal(watched.Running(), []repeatable.Run{hang})

	quick := repeatable.NewRun(repeatable.NewTask("b", 0), 8)
	answer, err = c.Start(t.Context(), quick, "20ms", permit)
	is.NoErr(err)
	is.Equal(answer.Result(), repeatable.Started)

	watched, err = c.Watch(t.Context(), 0, leaseTime, permit)
	is.NoErr(err)
	is.Equal(watched.Running(), []repeatable.Run{hang})
	is.Equal(watched.Ended(), []repeatable.EndedRun{repeatable.NewEndedRun(1, quick, repeatable.Done)})
	is.NoErr(c.Stop(t.Context(), hang, permit))

	watched, err = c.Watch(t.Context(), 1, 0, permit)
	is.NoErr(err)
	is.Equal(len(watched.Running()), 0)
	is.Equal(watched.Ended(), []repeatable.EndedRun{repeatable.NewEndedRun(2, hang, repeatable.Stopped)})

	watched, err = c.Watch(t.Context(), 2, 0, repeatable.NewPermit("life-1", 3, 0))
	is.NoErr(err)
	is.True(watched.Fenced())
}

// Guards against a request for an earlier incarnation of the backend server that a later one carries out, and against a
// dropped answer that the client reports as an answer.
func TestDroppedAnswerIsAnError(t *testing.T) {
	is := is.New(t)
	s := leasedbackend.New("life-2")
	c := serve(t, s)

	run := repeatable.NewRun(repeatable.NewTask("a", 0), 1)

	_, err := c.Start(t.Context(), run, "1ms", repeatable.NewPermit("life-1", 1, time.Hour))
	is.True(errors.Is(err, repeatable.ErrOtherInstance))

	s.DropAnswers(1)

	_, err = c.Start(t.Context(), run, leasedbackend.Hang, repeatable.NewPermit("life-2", 1, time.Hour))
	is.True(err != nil)
	is.Equal(s.StartCount(run.Task()), 1)
}
