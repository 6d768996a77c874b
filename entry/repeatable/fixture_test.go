package repeatable_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/skylarkweir/skylarkweir/entry/repeatable"
	sidecar "github.com/skylarkweir/skylarkweir/sidecar/repeatable"
	"github.com/skylarkweir/skylarkweir/standin/leasedbackend"
	"github.com/skylarkweir/skylarkweir/weir/connection/quic"
	"github.com/skylarkweir/skylarkweir/weir/process/sessionset"
	"github.com/skylarkweir/skylarkweir/weir/process/succession"
	"github.com/skylarkweir/skylarkweir/weir/request/job"
	"github.com/skylarkweir/skylarkweir/weir/version/routes"
)

const (
	service = "blades"
	core    = 1000
	// testTimeout limits every wait of a test.
	testTimeout = 20 * time.Second
	// callerTimeout is how long callers wait for a job.
	callerTimeout = 10 * time.Second
)

// fixture runs entries and sidecars in one process, connected over loopback.
type fixture struct {
	t        *testing.T
	keys     quic.Keys
	entries  []*entry
	sidecars []*sidecarNode
}

type entry struct {
	*repeatable.Dispatcher

	routes *routes.Current
	node   *quic.Node
	cancel context.CancelFunc
	// path is where sidecars dial the entry.
	path string
	// stopChecks ends the checks of the dispatcher, as in a pause of its process.
	stopChecks context.CancelFunc
}

// sidecarNode is a backend server and the sidecar beside it.
type sidecarNode struct {
	fixture *fixture
	name    string
	backend *leasedbackend.Server
	worker  *sidecar.Worker
	node    *quic.Node
	cancel  context.CancelFunc
	cores   int64
	labels  []string
	domain  string
	links   *sidecar.Links
	// lastSequence is the sequence number of the last announcement.
	lastSequence int64
}

func newFixture(t *testing.T, entries, sidecars int, cores int64) *fixture {
	t.Helper()

	keys, err := quic.SharedKeys(t.Name())
	is.New(t).NoErr(err)

	f := &fixture{t: t, keys: keys}
	for range entries {
		f.addEntry()
	}

	for n := range sidecars {
		f.addSidecar(fmt.Sprintf("sidecar-%d", n), leasedbackend.New(fmt.Sprintf("i-%d", n)), cores)
	}

	f.await("all backend servers take tasks", func() bool {
		for _, e := range f.entries {
			if e.OpenServers(service) != sidecars {
				return false
			}
		}

		return true
	})

	return f
}

func (f *fixture) addEntry() *entry {
	f.t.Helper()

	ctx, cancel := context.WithCancel(f.t.Context())
	b := &routes.Current{}
	e := &entry{
		Dispatcher: repeatable.NewDispatcher(b, nil, zerolog.Nop()), routes: b, node: &quic.Node{}, cancel: cancel,
	}

	is.New(f.t).NoErr(e.node.Listen("127.0.0.1:0", f.keys))
	f.t.Cleanup(func() { cancel(); _ = e.node.Close() })

	e.path = e.node.Address().String()

	checks, stop := context.WithCancel(ctx)
	e.stopChecks = stop

	go e.accept(ctx)
	go e.Run(checks)

	f.entries = append(f.entries, e)

	return e
}

// accept serves incoming connections.
func (e *entry) accept(ctx context.Context) {
	for {
		c, err := e.node.Accept(ctx)
		if err != nil {
			return
		}

		go e.Serve(ctx, "entry", 1, c)
	}
}

// kill ends the entry without notice to its sidecars.
func (e *entry) kill() {
	e.cancel()
	_ = e.node.Close()
}

func (f *fixture) addSidecar(name string, b *leasedbackend.Server, cores int64) {
	f.t.Helper()
	f.addSidecarIn("domain", name, b, cores)
}

// addSidecarIn adds a sidecar whose backend server is in a failure domain.
func (f *fixture) addSidecarIn(domain, name string, b *leasedbackend.Server, cores int64) {
	f.t.Helper()

	ctx, cancel := context.WithCancel(f.t.Context())
	s := &sidecarNode{
		fixture: f, name: name, backend: b, node: &quic.Node{}, cancel: cancel, cores: cores, labels: []string{"a"}, domain: domain,
	}
	s.worker = sidecar.NewWorker(name, b, sidecar.NewRouteDistributor(zerolog.Nop()), nil, zerolog.Nop())

	is.New(f.t).NoErr(s.node.Listen("127.0.0.1:0", f.keys))
	f.t.Cleanup(func() { cancel(); _ = s.node.Close() })

	s.links = sidecar.NewLinks(s.node, s.worker, sessionset.NewSidecar(name, domain), rand.Uint64(), zerolog.Nop())
	for _, e := range f.entries {
		s.links.Add(sessionset.NewEntry(e.path, "domain"))
	}

	go s.worker.Run(ctx)
	go s.links.Run(ctx)

	s.announce(false)

	f.sidecars = append(f.sidecars, s)
}

// connectSidecars lets the sidecars connect to an entry that was added after them.
func (f *fixture) connectSidecars(e *entry) {
	for _, s := range f.sidecars {
		s.links.Add(sessionset.NewEntry(e.path, "domain"))
	}
}

// announce passes an announcement of the backend server to its sidecar.
func (s *sidecarNode) announce(draining bool) {
	s.lastSequence++
	s.worker.Announce(s.fixture.t.Context(), succession.NewAnnouncement(
		s.backend.Instance(), service, s.domain, s.backend.StartedAtMS(), s.lastSequence, job.NewSize(s.cores*core, 1<<20),
		s.labels, draining,
	))
}

// kill ends the sidecar at once: none of its later calls reach the backend server, whose tasks continue until their
// lease ends.
func (s *sidecarNode) kill() {
	s.backend.SetFault(leasedbackend.FaultUnresponsive)
	s.cancel()
	_ = s.node.Close()
}

func (f *fixture) await(what string, done func() bool) {
	f.t.Helper()

	deadline := time.Now().Add(testTimeout)
	tick := time.NewTicker(5 * time.Millisecond)

	defer tick.Stop()

	for !done() {
		if time.Now().After(deadline) {
			f.t.Fatalf("condition %q not met within %s", what, testTimeout)
		}

		<-tick.C
	}
}

// running returns the number of tasks of a job that run at any backend server.
func (f *fixture) running(id string) int {
	n := 0

	for _, s := range f.sidecars {
		for _, t := range s.backend.Running() {
			if t.Job() == id {
				n++
			}
		}
	}

	return n
}

// startCount returns how often a task was started at any backend server.
func (f *fixture) startCount(id string, index uint32) int {
	n := 0
	for _, s := range f.sidecars {
		n += s.backend.StartCount(sidecar.NewTask(id, index))
	}

	return n
}

func newJob(id, input string, tasks int) job.Job {
	return newJobWithPriority(id, input, tasks, 1, 3)
}

// relaxedTarget lets jobs wait for capacity for as long as a busy test machine may take; with strictTarget they are
// refused early.
const (
	relaxedTarget = 10 * time.Second
	strictTarget  = 200 * time.Millisecond
)

func newJobWithPriority(id, input string, tasks, priority, attempts int) job.Job {
	return newJobWithTarget(id, input, tasks, priority, attempts, relaxedTarget)
}

// newJobWithTarget returns a job whose objective is its stretched run time plus target.
func newJobWithTarget(id, input string, tasks, priority, attempts int, target time.Duration) job.Job {
	policy := job.NewPolicy("kind", service, priority, attempts, 1.6, target)

	estimate, err := time.ParseDuration(input)
	if err != nil {
		estimate = 50 * time.Millisecond
	}

	return job.New(id, input, tasks, job.NewSize(core, 1), estimate, callerTimeout, policy, job.Constraints{})
}

// newJobWithEstimate returns a job whose tasks declare a run time of estimate, whatever they really take.
func newJobWithEstimate(id, input string, estimate time.Duration, tasks int) job.Job {
	policy := job.NewPolicy("kind", service, 1, 3, 1.6, relaxedTarget)

	return job.New(id, input, tasks, job.NewSize(core, 1), estimate, callerTimeout, policy, job.Constraints{})
}

// pendingJob is a call of Submit that runs in the background.
type pendingJob struct {
	result chan job.Outcome
	entry  *entry
	job    job.Job
	ctx    context.Context
}

func (p *pendingJob) run() { p.result <- p.entry.Submit(p.ctx, p.job) }

func (f *fixture) submit(ctx context.Context, e *entry, j job.Job) *pendingJob {
	p := &pendingJob{make(chan job.Outcome, 1), e, j, ctx}
	go p.run()

	return p
}

// resendPause is the time after which callers send a job again that was not carried out. The delays that entries name
// would take most of callerTimeout.
const resendPause = 50 * time.Millisecond

// persistentCaller sends a job again while it is refused or interrupted, as callers do until their deadline.
type persistentCaller struct {
	*pendingJob
	deadline time.Time
}

// run sends the job until it has an outcome with which callers are content, or until the deadline.
func (c *persistentCaller) run() {
	for {
		o := c.entry.Submit(c.ctx, c.job)

		switch o.(type) {
		case job.Refused, job.Interrupted:
		default:
			c.result <- o

			return
		}

		if !time.Now().Before(c.deadline) || c.ctx.Err() != nil {
			c.result <- o

			return
		}

		<-time.After(resendPause)
	}
}

// submitPersistently submits a job that is sent again while it is refused or interrupted.
func (f *fixture) submitPersistently(ctx context.Context, e *entry, j job.Job) *pendingJob {
	c := &persistentCaller{&pendingJob{make(chan job.Outcome, 1), e, j, ctx}, time.Now().Add(j.Timeout())}
	go c.run()

	return c.pendingJob
}

func (p *pendingJob) wait(t *testing.T) job.Outcome {
	t.Helper()

	select {
	case r := <-p.result:
		return r
	case <-time.After(testTimeout):
		t.Fatalf("job %s did not end within %s", p.job.ID(), testTimeout)

		return nil
	}
}
