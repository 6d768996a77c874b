// Package homelost finds out how much of a submission ran whose home is lost.
package homelost

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
	"github.com/skylarkweir/skylarkweir/weir/request/fault"
	"github.com/skylarkweir/skylarkweir/weir/request/ticket"
	"github.com/skylarkweir/skylarkweir/weir/version/ledger"
)

const (
	// closeWait bounds the wait for the ledger to reach the ticket's position and for all sidecars together.
	closeWait = 2 * time.Second
	// maxKept bounds the results in memory: at 500 bytes each it is 8 MB. Without a kept result the sidecars are asked
	// again, which gives the same result unless one of them has died since.
	maxKept = 1 << 14
)

// Closer closes submissions at sidecars.
type Closer interface {
	Close(ctx context.Context, worker string, incarnation uint64, submissions []string, cancel bool) (*wire.CloseReply, error)
}

// Resolver closes submissions of lost homes and keeps the results. Use sets it up.
type Resolver struct {
	closer Closer
	book   *ledger.Replica
	log    zerolog.Logger

	mu sync.Mutex
	// results holds running and ended resolutions by submission.
	results map[string]*result
}

type result struct {
	// done is closed once err is set.
	done   chan struct{}
	err    error
	expiry time.Time
}

// NewResolver returns a resolver.
func NewResolver(closer Closer, book *ledger.Replica, log zerolog.Logger) *Resolver {
	return &Resolver{closer: closer, book: book, log: log, results: map[string]*result{}}
}

// Kept returns the result that was found before, or nil.
func (r *Resolver) Kept(id string) error {
	r.mu.Lock()
	found, ok := r.results[id]
	r.mu.Unlock()

	if !ok {
		return nil
	}

	select {
	case <-found.done:
		return found.err
	default:
		return nil
	}
}

// Resolve closes the submission at every sidecar that its home could have given work to, and returns home_lost with
// what ran. Calls for the same submission share one resolution.
func (r *Resolver) Resolve(ctx context.Context, id string, t ticket.Ticket, cancel bool) error {
	r.mu.Lock()

	found, ok := r.results[id]
	if !ok {
		found = &result{done: make(chan struct{}), expiry: t.Expiry()}
		r.trim(time.Now())
		r.results[id] = found
	}

	r.mu.Unlock()

	if ok {
		<-found.done

		return found.err
	}

	ran, reason := r.close(ctx, id, t, cancel)
	found.err = fault.WithRan(fault.New(fault.HomeLost, "the home of the submission is lost: %s", reason), ran)
	close(found.done)

	r.log.Warn().Str("event", "home_lost").Str("submission", id).Str("member", t.Member()).
		Str("ran", string(ran)).Str("reason", reason).Msg("closed a submission of a lost home")

	return found.err
}

// trim makes room for one more result: it drops the expired ones, and if that is not enough any that has ended.
func (r *Resolver) trim(now time.Time) {
	if len(r.results) < maxKept {
		return
	}

	for id, k := range r.results {
		if now.After(k.expiry) {
			delete(r.results, id)
		}
	}

	for id, k := range r.results {
		if len(r.results) < maxKept {
			return
		}

		select {
		case <-k.done:
			delete(r.results, id)
		default:
		}
	}
}

func (r *Resolver) close(ctx context.Context, id string, t ticket.Ticket, cancel bool) (fault.Ran, string) {
	ctx, stop := context.WithTimeout(ctx, closeWait)
	defer stop()

	workers, known := r.workersAt(ctx, t.Position())
	if !known {
		return fault.RanUnknown, "the ledger of this entry does not cover the position of the ticket"
	}

	answers := make(chan bool, len(workers))
	silent := make(chan string, len(workers))

	for _, w := range workers {
		q := &question{closer: r.closer, worker: w, id: id, cancel: cancel, answers: answers, silent: silent}
		go q.run(ctx)
	}

	started, unknown := 0, ""

	for range workers {
		select {
		case some := <-answers:
			if some {
				started++
			}
		case unknown = <-silent:
		}
	}

	switch {
	case started > 0:
		return fault.RanSome, "tasks were started"
	case unknown != "":
		return fault.RanUnknown, "worker " + unknown + " did not answer"
	default:
		return fault.RanNone, "no task was started and none will be"
	}
}

// workersAt waits for the ledger to reach the position.
func (r *Resolver) workersAt(ctx context.Context, position int64) ([]ledger.Worker, bool) {
	for {
		changed := r.book.Changed()

		state := r.book.State()
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

// question asks one sidecar.
type question struct {
	closer  Closer
	worker  ledger.Worker
	id      string
	cancel  bool
	answers chan<- bool
	silent  chan<- string
}

func (q *question) run(ctx context.Context) {
	reply, err := q.closer.Close(ctx, q.worker.Name(), q.worker.Incarnation(), []string{q.id}, q.cancel)
	if err != nil || reply.GetIncarnation() != q.worker.Incarnation() {
		q.silent <- q.worker.Name()

		return
	}

	for _, c := range reply.GetClosed() {
		if c.GetSubmission() == q.id {
			q.answers <- len(c.GetStarted()) > 0

			return
		}
	}

	// An answer that leaves the submission out does not confirm a tombstone.
	q.silent <- q.worker.Name()
}
