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
	// silentAfter is the silence after which a worker may be declared lost.
	workerTimeout = 10 * time.Second
	// watchInterval is how often the workers are looked at.
	workerCheckInterval = time.Second
	// heardWithin is the silence up to which this entry still hears from a worker.
	recentContactLimit = 2 * time.Second
	// maxSuspected bounds the names in an exchange. It is above the 690 workers of a fleet: a worker is declared lost only
	// while the latest exchanges with all peers name it, which workers beyond the bound hardly reach.
	maxSuspectedWorkers = 1024
	// declareSpread is the span over which the declarations of several entries are spread, to save appends.
	maxDeclarationDelay = 2 * time.Second
	// declareWait bounds one append; the worker is declared again later if it fails.
	lossAppendTimeout = 10 * time.Second
)

// Appender appends records to the log and returns nil once they were read back.
type Appender interface {
	Append(ctx context.Context, record []byte) error
}

// Silence finds workers that are silent to every entry and declares them lost.
type WorkerLossDetector struct {
	workers   *fleet.Fleet
	replica   *ledger.Replica
	appender  Appender
	log       zerolog.Logger
	startTime time.Time
	// connections is the number of sidecars that this entry is connected to if there are more of them.
	maxConnections int

	mu sync.Mutex
	// heard is when a worker was last heard from, by name, and when it was first looked for if it never was.
	lastContact map[string]time.Time
	// due is when a worker is declared lost if it stays silent, by name.
	declareAt map[string]time.Time
}

// NewSilence returns a watch over the workers that the ledger registers.
func NewWorkerLossDetector(workers *fleet.Fleet, replica *ledger.Replica, appender Appender, maxConnections int, log zerolog.Logger) *WorkerLossDetector {
	return &WorkerLossDetector{
		workers: workers, replica: replica, appender: appender, log: log, startTime: time.Now(), maxConnections: maxConnections,
		lastContact: map[string]time.Time{}, declareAt: map[string]time.Time{},
	}
}

// Run watches until ctx ends. A worker is declared lost once every reached peer confirms its silence.
func (s *WorkerLossDetector) Run(ctx context.Context, p *Peers) {
	tick := time.NewTicker(workerCheckInterval)
	defer tick.Stop()

	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}

		now := time.Now()
		s.updateContacts(now)

		for _, w := range s.lostWorkers(now, p) {
			s.declareLost(ctx, w)
		}
	}
}

// look notes which workers were heard from.
func (s *WorkerLossDetector) updateContacts(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()

	registered := map[string]bool{}

	for _, w := range s.replica.State().Workers() {
		registered[w.Name()] = true

		if _, found := s.lastContact[w.Name()]; !found {
			s.lastContact[w.Name()] = now
		}
	}

	for _, w := range s.workers.View().Workers() {
		s.lastContact[w.Name()] = w.LastContact()
	}

	for name := range s.lastContact {
		if !registered[name] {
			delete(s.lastContact, name)
			delete(s.declareAt, name)
		}
	}
}

// silent tells whether the worker is silent to this entry. s.mu is held.
func (s *WorkerLossDetector) unresponsive(worker string, now time.Time) bool {
	last, found := s.lastContact[worker]
	if !found {
		last = s.startTime
	}

	return now.Sub(last) >= workerTimeout
}

// Suspected returns workers that are silent to this entry, for the peers to confirm.
func (s *WorkerLossDetector) Suspected() []string {
	s.mu.Lock()
	defer s.mu.Unlock()

	var suspected []string

	for name := range s.lastContact {
		if s.unresponsive(name, time.Now()) {
			suspected = append(suspected, name)
		}
	}

	// The order of a map varies, so each worker beyond the bound has its turn.
	suspected = suspected[:min(len(suspected), maxSuspectedWorkers)]
	slices.Sort(suspected)

	return suspected
}

// Confirm returns those of the workers that are silent to this entry too.
func (s *WorkerLossDetector) ConfirmUnresponsive(workers []string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()

	var confirmed []string

	for _, w := range workers {
		if s.unresponsive(w, time.Now()) {
			confirmed = append(confirmed, w)
		}
	}

	return confirmed
}

// lost returns the workers to declare lost now. None is lost while this entry hears from less than half of them,
// since it is then more likely that the entry itself is cut off.
func (s *WorkerLossDetector) lostWorkers(now time.Time, p *Peers) []ledger.Worker {
	registered := s.replica.State().Workers()

	s.mu.Lock()
	defer s.mu.Unlock()

	inContact := 0

	for _, w := range registered {
		if now.Sub(s.lastContact[w.Name()]) < recentContactLimit {
			inContact++
		}
	}

	if 2*inContact < min(len(registered), s.maxConnections) {
		return nil
	}

	var lost []ledger.Worker

	for _, w := range registered {
		if !s.unresponsive(w.Name(), now) || !p.allConfirmUnresponsive(w.Name()) {
			delete(s.declareAt, w.Name())

			continue
		}

		due, found := s.declareAt[w.Name()]
		if !found {
			s.declareAt[w.Name()] = now.Add(rand.N(maxDeclarationDelay)) //nolint:gosec // no secret

			continue
		}

		if !now.Before(due) {
			s.declareAt[w.Name()] = now.Add(lossAppendTimeout)

			lost = append(lost, w)
		}
	}

	return lost
}

// confirmSilent tells whether every reached entry has confirmed the silence of the worker.
func (p *Peers) allConfirmUnresponsive(worker string) bool {
	for _, l := range p.allLinks() {
		if c, _ := l.connection(); c != nil && !l.confirmsUnresponsive(worker) {
			return false
		}
	}

	return true
}

func (s *WorkerLossDetector) declareLost(ctx context.Context, w ledger.Worker) {
	s.log.Warn().Str("event", "worker_lost").Str("worker", w.Name()).Uint64("incarnation", w.Incarnation()).
		Msg("no entry hears from the worker")

	d := &lossDeclaration{detector: s, worker: w}
	go d.append(ctx)
}

type lossDeclaration struct {
	detector *WorkerLossDetector
	worker   ledger.Worker
}

func (d *lossDeclaration) append(ctx context.Context) {
	ctx, stop := context.WithTimeout(ctx, lossAppendTimeout)
	defer stop()

	record := ledger.WorkerLeftRecord(d.worker.Name(), d.worker.Incarnation(), true)
	if err := d.detector.appender.Append(ctx, record); err != nil {
		d.detector.log.Warn().Str("event", "append_failed").Str("worker", d.worker.Name()).Err(err).Msg("the loss is not in the log")
	}
}
