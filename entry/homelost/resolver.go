// Package homelost determines how much ran of a submission whose home is lost.
package homelost

import (
	"cmp"
	"context"
	"maps"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
	"github.com/skylarkweir/skylarkweir/weir/request/fault"
	"github.com/skylarkweir/skylarkweir/weir/request/ticket"
	"github.com/skylarkweir/skylarkweir/weir/version/ledger"
)

const (
	// resolveTimeout bounds one resolution: the wait until the ledger reaches the ticket's position, and the closes at all
	// sidecars, which run in parallel.
	resolveTimeout = 2 * time.Second
	// defaultMaxResults bounds the results in memory: 8 MB at 500 bytes each. Without a cached result the sidecars are
	// asked again, which gives the same result unless one of them has ended since.
	defaultMaxResults = 1 << 14
)

// Closer closes submissions at sidecars.
type Closer interface {
	Close(ctx context.Context, worker string, incarnation uint64, submissions []string, cancel bool) (*wire.CloseReply, error)
}

// Resolver closes submissions of lost homes and caches the results.
type Resolver struct {
	closer  Closer
	replica *ledger.Replica
	log     zerolog.Logger
	// maxResults bounds the results in memory; zero stands for defaultMaxResults.
	maxResults int

	mu sync.Mutex
	// resolutions holds running and completed resolutions by submission.
	resolutions map[string]*resolution
}

type resolution struct {
	// done is closed once err is set.
	done   chan struct{}
	err    error
	expiry time.Time
}

// NewResolver returns a resolver without cached results.
func NewResolver(closer Closer, replica *ledger.Replica, log zerolog.Logger) *Resolver {
	return &Resolver{closer: closer, replica: replica, log: log, resolutions: map[string]*resolution{}}
}

// CachedResult returns the result of an earlier resolution, or nil if there is none or it is still running.
func (r *Resolver) CachedResult(id string) error {
	r.mu.Lock()
	res, ok := r.resolutions[id]
	r.mu.Unlock()

	if !ok || !res.completed() {
		return nil
	}

	return res.err
}

// Resolve closes the submission at every sidecar that its home could have sent tasks to, and returns home_lost with
// what ran. Calls for the same submission share one resolution.
func (r *Resolver) Resolve(ctx context.Context, id string, t ticket.Ticket, cancel bool) error {
	r.mu.Lock()

	res, ok := r.resolutions[id]
	if !ok {
		res = &resolution{done: make(chan struct{}), expiry: t.Expiry()}
		r.evict(time.Now())
		r.resolutions[id] = res
	}

	r.mu.Unlock()

	if ok {
		<-res.done

		return res.err
	}

	ran, reason := r.closeAtSidecars(ctx, id, t, cancel)
	res.err = fault.WithRan(fault.New(fault.HomeLost, "the home of the submission is lost: %s", reason), ran)
	close(res.done)

	r.log.Warn().Str("event", "home_lost").Str("submission", id).Str("member", t.Member()).
		Str("ran", string(ran)).Str("reason", reason).Msg("home of the submission is lost; closed it at the sidecars that answered")

	return res.err
}

// evict makes room for one more result: it drops the expired ones, and then others in any order until there is room. A
// resolution that is still running stays, so that later calls share it. r.mu is held.
func (r *Resolver) evict(now time.Time) {
	if len(r.resolutions) < r.capacity() {
		return
	}

	maps.DeleteFunc(r.resolutions, func(_ string, res *resolution) bool {
		return res.completed() && now.After(res.expiry)
	})

	for id, res := range r.resolutions {
		if len(r.resolutions) < r.capacity() {
			return
		}

		if res.completed() {
			delete(r.resolutions, id)
		}
	}
}

// SetCapacity sets the number of results to keep. It is called before the resolver is used.
func (r *Resolver) SetCapacity(n int) { r.maxResults = n }

func (r *Resolver) capacity() int { return cmp.Or(r.maxResults, defaultMaxResults) }

func (r *resolution) completed() bool {
	select {
	case <-r.done:
		return true
	default:
		return false
	}
}

func (r *Resolver) closeAtSidecars(ctx context.Context, id string, t ticket.Ticket, cancel bool) (fault.Ran, string) {
	ctx, stop := context.WithTimeout(ctx, resolveTimeout)
	defer stop()

	workers, known := r.workersAt(ctx, t.Position())
	if !known {
		return fault.RanUnknown, "the ledger of this entry does not cover the position of the ticket"
	}

	started := make(chan bool, len(workers))
	unanswered := make(chan string, len(workers))

	for _, w := range workers {
		c := &closeRequest{closer: r.closer, worker: w, submission: id, cancel: cancel, started: started, unanswered: unanswered}
		go c.send(ctx)
	}

	startedCount, unansweredWorker := 0, ""

	for range workers {
		select {
		case hasStarted := <-started:
			if hasStarted {
				startedCount++
			}
		case unansweredWorker = <-unanswered:
		}
	}

	switch {
	case startedCount > 0:
		return fault.RanSome, "tasks were started"
	case unansweredWorker != "":
		return fault.RanUnknown, "worker " + unansweredWorker + " did not answer"
	default:
		return fault.RanNone, "no task was started and none will be"
	}
}

// workersAt waits until the ledger reaches the position, and returns the workers registered at it. It returns false if
// ctx ends before that or the ledger no longer holds the workers at the position.
func (r *Resolver) workersAt(ctx context.Context, position int64) ([]ledger.Worker, bool) {
	for {
		changed := r.replica.Changed()

		state := r.replica.State()
		if state.Position() >= position {
			return state.WorkersAt(position)
		}

		select {
		case <-changed:
		case <-ctx.Done():
			return nil, false
		}
	}
}

// closeRequest closes the submission at one sidecar.
type closeRequest struct {
	closer     Closer
	worker     ledger.Worker
	submission string
	cancel     bool
	started    chan<- bool
	unanswered chan<- string
}

func (r *closeRequest) send(ctx context.Context) {
	reply, err := r.closer.Close(ctx, r.worker.Name(), r.worker.Incarnation(), []string{r.submission}, r.cancel)
	if err != nil || reply.GetIncarnation() != r.worker.Incarnation() {
		r.unanswered <- r.worker.Name()

		return
	}

	for _, c := range reply.GetClosed() {
		if c.GetSubmission() == r.submission {
			r.started <- len(c.GetStarted()) > 0

			return
		}
	}

	// A reply without the submission does not confirm that the sidecar holds a tombstone for it.
	r.unanswered <- r.worker.Name()
}
