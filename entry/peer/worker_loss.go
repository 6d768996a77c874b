package peer

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/skylarkweir/skylarkweir/weir/process/fleet"
	"github.com/skylarkweir/skylarkweir/weir/version/ledger"
)

const (
	// workerTimeout is the time without contact after which a worker is unresponsive and may be declared lost.
	workerTimeout = 10 * time.Second
	// workerCheckInterval is the time between two checks of the workers.
	workerCheckInterval = time.Second
	// recentContactLimit is the age of the last contact up to which this entry counts as in contact with a worker.
	recentContactLimit = 2 * time.Second
	// maxSuspectedWorkers bounds the names in an exchange. It is above the 690 workers of a fleet: a worker is declared
	// lost only while the latest exchanges with all peers name it, which rarely happens for workers beyond the bound.
	maxSuspectedWorkers = 1024
	// maxDeclarationDelay bounds the random delay of a declaration, which keeps several entries from appending the same
	// record at once.
	maxDeclarationDelay = 2 * time.Second
	// lossAppendTimeout bounds one append of a loss record, and is the time after which a worker that is still registered
	// is declared lost again.
	lossAppendTimeout = 10 * time.Second
)

// Appender appends records to the log and returns nil once they were read back.
type Appender interface {
	Append(ctx context.Context, record []byte) error
}

// WorkerLossDetector declares workers lost that are unresponsive to this entry and to all entries it is connected to.
type WorkerLossDetector struct {
	workers   *fleet.Fleet
	replica   *ledger.Replica
	appender  Appender
	log       zerolog.Logger
	startTime time.Time
	// maxConnections is the number of sidecars that this entry is connected to if there are at least as many.
	maxConnections int

	mu sync.Mutex
	// lastContact is the time of the last contact by worker name, or of the first check if there was no contact yet.
	lastContact map[string]time.Time
	// declareAt is when a worker is declared lost if it stays unresponsive, by name.
	declareAt map[string]time.Time
}

// NewWorkerLossDetector returns a detector for the workers that are registered in the ledger.
func NewWorkerLossDetector(
	workers *fleet.Fleet, replica *ledger.Replica, appender Appender, maxConnections int, log zerolog.Logger,
) *WorkerLossDetector {
	return &WorkerLossDetector{
		workers: workers, replica: replica, appender: appender, log: log, startTime: time.Now(), maxConnections: maxConnections,
		lastContact: map[string]time.Time{}, declareAt: map[string]time.Time{},
	}
}

// Run checks the workers until ctx ends. A worker is declared lost once every connected peer confirms that it is
// unresponsive.
func (d *WorkerLossDetector) Run(ctx context.Context, p *Peers) {
	tick := time.NewTicker(workerCheckInterval)
	defer tick.Stop()

	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}

		now := time.Now()
		d.updateContacts(now)

		for _, w := range d.lostWorkers(now, p) {
			d.declareLost(ctx, w)
		}
	}
}

// updateContacts records the last contact with each registered worker, and removes the other workers.
func (d *WorkerLossDetector) updateContacts(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()

	registered := map[string]bool{}

	for _, w := range d.replica.State().Workers() {
		registered[w.Name()] = true

		if _, found := d.lastContact[w.Name()]; !found {
			d.lastContact[w.Name()] = now
		}
	}

	for _, w := range d.workers.View().Workers() {
		d.lastContact[w.Name()] = w.LastContact()
	}

	for name := range d.lastContact {
		if !registered[name] {
			delete(d.lastContact, name)
			delete(d.declareAt, name)
		}
	}
}

// unresponsive reports whether this entry had no contact with the worker within workerTimeout. d.mu is held.
func (d *WorkerLossDetector) unresponsive(worker string, now time.Time) bool {
	last, found := d.lastContact[worker]
	if !found {
		last = d.startTime
	}

	return now.Sub(last) >= workerTimeout
}

// Suspected returns workers that are unresponsive to this entry, for the peers to confirm.
func (d *WorkerLossDetector) Suspected() []string {
	d.mu.Lock()
	defer d.mu.Unlock()

	var suspected []string

	for name := range d.lastContact {
		if d.unresponsive(name, time.Now()) {
			suspected = append(suspected, name)
		}
	}

	// The iteration order of a map varies, so workers beyond the bound are named in other exchanges.
	suspected = suspected[:min(len(suspected), maxSuspectedWorkers)]
	slices.Sort(suspected)

	return suspected
}

// ConfirmUnresponsive returns those of the workers that are unresponsive to this entry too.
func (d *WorkerLossDetector) ConfirmUnresponsive(workers []string) []string {
	d.mu.Lock()
	defer d.mu.Unlock()

	var confirmed []string

	for _, w := range workers {
		if d.unresponsive(w, time.Now()) {
			confirmed = append(confirmed, w)
		}
	}

	return confirmed
}

// lostWorkers returns the workers to declare lost now. It returns none while this entry has recent contact with less
// than half of the workers that it should be connected to, since then the entry itself is more likely to be isolated.
func (d *WorkerLossDetector) lostWorkers(now time.Time, p *Peers) []ledger.Worker {
	registered := d.replica.State().Workers()

	d.mu.Lock()
	defer d.mu.Unlock()

	inContact := 0

	for _, w := range registered {
		if now.Sub(d.lastContact[w.Name()]) < recentContactLimit {
			inContact++
		}
	}

	if 2*inContact < min(len(registered), d.maxConnections) {
		return nil
	}

	var lost []ledger.Worker

	for _, w := range registered {
		if !d.unresponsive(w.Name(), now) || !p.allConfirmUnresponsive(w.Name()) {
			delete(d.declareAt, w.Name())

			continue
		}

		due, found := d.declareAt[w.Name()]
		if !found {
			d.declareAt[w.Name()] = now.Add(rand.N(maxDeclarationDelay)) //nolint:gosec // no secret

			continue
		}

		if !now.Before(due) {
			d.declareAt[w.Name()] = now.Add(lossAppendTimeout)

			lost = append(lost, w)
		}
	}

	return lost
}

// allConfirmUnresponsive reports whether every connected entry has confirmed that the worker is unresponsive.
func (p *Peers) allConfirmUnresponsive(worker string) bool {
	for _, l := range p.allLinks() {
		if c, _ := l.connection(); c != nil && !l.confirmsUnresponsive(worker) {
			return false
		}
	}

	return true
}

func (d *WorkerLossDetector) declareLost(ctx context.Context, w ledger.Worker) {
	d.log.Warn().Str("event", "worker_lost").Str("worker", w.Name()).Uint64("incarnation", w.Incarnation()).
		Msg("worker is unresponsive to this entry and to all connected entries; declaring it lost")

	l := &lossDeclaration{detector: d, worker: w}
	go l.append(ctx)
}

type lossDeclaration struct {
	detector *WorkerLossDetector
	worker   ledger.Worker
}

func (l *lossDeclaration) append(ctx context.Context) {
	ctx, stop := context.WithTimeout(ctx, lossAppendTimeout)
	defer stop()

	record := ledger.WorkerLeftRecord(l.worker.Name(), l.worker.Incarnation(), true)
	if err := l.detector.appender.Append(ctx, record); err != nil {
		l.detector.log.Warn().Str("event", "append_failed").Str("worker", l.worker.Name()).Err(err).
			Msg("could not confirm the loss of the worker in the log; retrying while it stays unresponsive")
	}
}
