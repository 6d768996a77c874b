package process_test

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/matryer/is"

	"github.com/skylarkweir/skylarkweir/entry/process"
)

// Guards against resubmissions with the same ticket that start tasks a second time or get another answer, depending on
// the entry that receives them. A resubmission with other tasks must be refused.
func TestResubmissionAtEveryEntry(t *testing.T) {
	t.Parallel()

	is := is.New(t)
	s := newTestCluster(t, 2, 2)
	id := s.entries[0].ticket(is)

	first := s.entries[0].submitAsync(id, job(300*time.Millisecond, 3))
	second := s.entries[1].submitAsync(id, job(300*time.Millisecond, 3))

	firstResult, secondResult := <-first, <-second
	is.NoErr(firstResult.err)
	is.Equal(firstResult.status, 200)
	is.NoErr(secondResult.err)
	is.Equal(string(firstResult.body), string(secondResult.body))
	is.Equal(s.startCount(), 3)

	changed := s.entries[1].submit(id, job(300*time.Millisecond, 2))
	is.Equal(changed.status, 409)

	status, body, err := call("GET", "http://"+s.entries[1].AdminAddress()+"/v1/explain/"+id, "", "")
	is.NoErr(err)
	is.Equal(status, 200)
	is.True(bytes.Contains(body, []byte(`"state":"complete"`)))

	for _, path := range []string{"/healthz", "/readyz", "/metrics", "/v1/status", "/v1/show"} {
		status, _, err := call("GET", "http://"+s.entries[0].AdminAddress()+path, "", "")
		is.NoErr(err)
		is.Equal(status, 200)
	}
}

// Guards against an idempotency key that is bound to two homes when several entries receive it at once: the tasks would
// run twice.
func TestKeyAtEveryEntry(t *testing.T) {
	t.Parallel()

	is := is.New(t)
	s := newTestCluster(t, 3, 1)
	key := uuid.Must(uuid.NewV7()).String()

	var results []<-chan result
	for i := range 9 {
		results = append(results, s.entries[i%3].submitAsync(key, job(50*time.Millisecond, 2)))
	}

	first := <-results[0]
	is.NoErr(first.err)
	is.Equal(first.status, 200)

	for _, answer := range results[1:] {
		r := <-answer
		is.NoErr(r.err)
		is.Equal(string(r.body), string(first.body))
	}

	is.Equal(s.startCount(), 2)
}

// Guards against a submission that is started again after its home was lost, and against an answer that reports wrongly
// whether tasks ran. The test closes the socket of the home, which its peers treat as a loss.
func TestHomeLost(t *testing.T) {
	t.Parallel()

	is := is.New(t)
	s := newTestCluster(t, 2, 2)
	used, unused := s.entries[0].ticket(is), s.entries[0].ticket(is)

	s.entries[0].submitAsync(used, job(10*time.Second, 2))
	s.eventually("two starts", func() bool { return s.startCount() == 2 })
	s.entries[0].node.Close()

	for id, ran := range map[string]string{used: "some", unused: "none"} {
		begin := time.Now()
		r := s.entries[1].submit(id, job(10*time.Second, 2))
		is.NoErr(r.err)
		is.Equal(r.status, 502)

		if !bytes.Contains(r.body, []byte(`"home_lost"`)) || !bytes.Contains(r.body, []byte(`"ran":"`+ran+`"`)) {
			t.Fatalf("want home_lost, ran %s, got %s", ran, r.body)
		}

		is.True(time.Since(begin) < 5*time.Second)
		is.Equal(string(s.entries[1].submit(id, job(10*time.Second, 2)).body), string(r.body))
	}

	is.Equal(s.startCount(), 2)
}

// Guards against a graceful shutdown that cuts off active submissions, and against answers that are lost with the
// entry: after the handover the successor must return them.
func TestShutdownInFlight(t *testing.T) {
	t.Parallel()

	is := is.New(t)
	s := newTestCluster(t, 2, 2)
	leaving, other := s.entries[0], s.entries[1]
	id, forwarded := leaving.ticket(is), leaving.ticket(is)

	local := leaving.submitAsync(id, job(4*time.Second, 2))
	remote := other.submitAsync(forwarded, job(4*time.Second, 2))
	s.eventually("four starts", func() bool { return s.startCount() == 4 })

	stopped := make(chan error, 1)
	go func() { stopped <- leaving.app.Stop(context.Background()) }()

	s.eventually("end of readiness", func() bool {
		status, _, err := call("GET", "http://"+leaving.AdminAddress()+"/readyz", "", "")

		return err == nil && status == 503
	})

	beforeRefusal := leaving.submit("", job(10*time.Millisecond, 1))
	is.NoErr(beforeRefusal.err)
	// The entry accepts submissions during the drain delay, since load balancers detect the end of readiness late.
	is.Equal(beforeRefusal.status, 200)

	accepted := 0

	s.eventually("refusal", func() bool {
		r := leaving.submit("", job(10*time.Millisecond, 1))
		is.NoErr(r.err)

		if r.status == 200 {
			accepted++

			return false
		}

		is.Equal(r.status, 503)
		is.True(bytes.Contains(r.body, []byte(`"code":"leaving"`)) && bytes.Contains(r.body, []byte(`"ran":"none"`)))

		return true
	})

	localResult, remoteResult := <-local, <-remote
	is.NoErr(localResult.err)
	is.Equal(localResult.status, 200)
	is.NoErr(remoteResult.err)
	is.Equal(remoteResult.status, 200)
	is.NoErr(<-stopped)

	r := other.submit(id, job(4*time.Second, 2))
	is.NoErr(r.err)
	is.Equal(string(r.body), string(localResult.body)) // returned by the successor
	is.Equal(s.startCount(), 5+accepted)
}

// Guards against exit codes and messages that differ from the documented ones, on which scripts rely.
func TestMainExitCodes(t *testing.T) {
	good := filepath.Join(t.TempDir(), "good.jsonc")
	bad := filepath.Join(t.TempDir(), "bad.jsonc")
	text := `{"name":"e","log_service":"127.0.0.1:1","ticket_key":"0123456789abcdef", // comment
		"keys":{"certificate":"c","key":"k","authority":"a"}}`

	is := is.New(t)
	is.NoErr(os.WriteFile(good, []byte(text), 0o600))
	is.NoErr(os.WriteFile(bad, []byte(strings.Replace(text, `"name"`, `"slots":0,"name"`, 1)), 0o600))

	for _, c := range []struct {
		args []string
		code int
		want string
	}{
		{[]string{"--help"}, 0, "entry --settings /etc"},
		{[]string{"--version"}, 0, "entry"},
		{[]string{"--settings", good, "--check-settings"}, 0, "fine"},
		{[]string{"--settings", bad, "--check-settings"}, 2, "bad.jsonc:1: slots: 0 is outside 1..1024"},
		{[]string{"--settings", good + "x"}, 2, "read settings"},
		{[]string{}, 2, "--settings is required"},
		{[]string{"extra"}, 2, "unexpected argument"},
		{[]string{"--unknown"}, 2, "unknown flag"},
		{[]string{"--settings", good}, 1, "start_failed"},
	} {
		var out bytes.Buffer

		is.Equal(process.Main(c.args, &out, &out), c.code)

		if !strings.Contains(out.String(), c.want) {
			t.Errorf("%v: output %q does not contain %q", c.args, out.String(), c.want)
		}
	}
}
