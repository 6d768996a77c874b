package caller_test

import (
	"net/http"
	"testing"

	"github.com/skylarkweir/skylarkweir/weir/request/job"
)

// jobTry is one of several requests for the same repeatable job.
type jobTry struct {
	request *http.Request
	status  chan<- int
}

func (j *jobTry) run() {
	w, err := http.DefaultClient.Do(j.request)
	if err != nil {
		j.status <- 0

		return
	}
	defer w.Body.Close()

	j.status <- w.StatusCode
}

// Guards against a repeated job that is refused, as one of which nothing ran, because its first try fills the share of
// the member; and against a share that stays in use after both tries.
func TestRepeatedJobIsNotRefusedBesideItsFirstTry(t *testing.T) {
	const body = `{"kind":"k","tasks":8}`

	is := newIs(t)
	d := &fakeDispatcher{outcome: job.Completed{}, release: make(chan struct{})}
	f := newRepeatableFixture(t, d)
	status := make(chan int, 2)

	first := &jobTry{f.request("POST", repeatablePath, "token-a", "mine", body), status}
	go first.run()

	eventually(is, func() bool { return len(d.submitted()) == 1 })

	second := &jobTry{f.request("POST", repeatablePath, "token-a", "mine", body), status}
	go second.run()

	eventually(is, func() bool { return len(d.submitted()) == 2 || len(status) == 1 })

	w, _ := f.do(is, f.request("POST", repeatablePath, "token-a", "other", body))
	is.Equal(w.StatusCode, 429) // another job of the member exceeds its share

	close(d.release)
	is.Equal(<-status, 200)
	is.Equal(<-status, 200)

	w, _ = f.do(is, f.request("POST", repeatablePath, "token-a", "other", body))
	is.Equal(w.StatusCode, 200)
}
