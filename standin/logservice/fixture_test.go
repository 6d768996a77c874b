package logservice_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	standin "github.com/skylarkweir/skylarkweir/standin/logservice"
	"github.com/skylarkweir/skylarkweir/weir/connection/logservice"
	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
	"github.com/skylarkweir/skylarkweir/weir/version/agreement"
	"github.com/skylarkweir/skylarkweir/weir/version/ledger"
)

// fixture is a log service that the processes of a test use.
type fixture struct {
	t      *testing.T
	server *httptest.Server
}

func newFixture(t *testing.T) *fixture {
	t.Helper()

	fx := &fixture{t, httptest.NewServer(&standin.Log{})}
	t.Cleanup(func() {
		fx.server.CloseClientConnections()
		fx.server.Close()
	})

	return fx
}

func (fx *fixture) post(path, body string) {
	fx.t.Helper()

	response, err := http.Post(fx.server.URL+path, "application/json", bytes.NewReader([]byte(body)))
	if err != nil {
		fx.t.Fatal(err)
	}
	defer response.Body.Close()

	if response.StatusCode != http.StatusOK {
		fx.t.Fatalf("status %d", response.StatusCode)
	}
}

func (fx *fixture) setFaults(body string) { fx.post("/admin/faults", body) }

type logStatus struct {
	First, Next, Appends, Lost int64
	Refused                    int64
	RefusedAppends             int64 `json:"refused_appends"`
	Types                      map[string]int64
}

func (fx *fixture) logStatus() logStatus {
	fx.t.Helper()

	response, err := http.Get(fx.server.URL + "/admin/records")
	if err != nil {
		fx.t.Fatal(err)
	}
	defer response.Body.Close()

	s := logStatus{}
	if err := json.NewDecoder(response.Body).Decode(&s); err != nil {
		fx.t.Fatal(err)
	}

	return s
}

// process is the log client of an entry, with its replica of the log.
type process struct {
	client   *logservice.Client
	replica  ledger.Replica
	follower *logservice.Follower
	appender *logservice.Appender
}

func (fx *fixture) startProcess(retention time.Duration) *process {
	p := &process{client: logservice.NewClient(fx.server.URL)}
	p.follower = logservice.NewFollower(p.client, &p.replica, retention, zerolog.Nop())
	p.appender = logservice.NewAppender(p.client, &p.replica, 0)
	ctx, cancel := context.WithCancel(fx.t.Context())
	fx.t.Cleanup(cancel)

	go p.follower.Run(ctx)
	go p.appender.Run(ctx)

	return p
}

// await fails the test if the condition does not hold within 10 s.
func (p *process) await(t *testing.T, description string, condition func(*ledger.State) bool) {
	t.Helper()

	timeout := time.After(10 * time.Second)

	for {
		changed := p.replica.Changed()
		if condition(p.replica.State()) {
			return
		}

		select {
		case <-changed:
		case <-timeout:
			t.Fatalf("%s: not within 10 s", description)
		}
	}
}

func publication(t *testing.T, base int64, nonce string) []byte {
	t.Helper()

	parsed, err := agreement.Parse([]byte(`{"agreement":"a","members":[],"kinds":[]}`))
	if err != nil {
		t.Fatal(err)
	}

	return ledger.PublicationRecord(base, []byte(nonce), "operator", parsed)
}

func workerJoinedRecord(i int) []byte {
	w := &wire.Worker{}
	w.SetName(strconv.Itoa(i))
	w.SetIncarnation(1)

	return ledger.WorkerJoinedRecord(w)
}

// appendAll appends the records at the same time and returns their errors.
func (p *process) appendAll(ctx context.Context, records ...[]byte) []error {
	var group sync.WaitGroup

	errs := make([]error, len(records))

	for i, r := range records {
		group.Go(func() { errs[i] = p.appender.Append(ctx, r) })
	}

	group.Wait()

	return errs
}
