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
	silentAfter = 10 * time.Second
	// watchInterval is how often the workers are looked at.
	watchInterval = time.Second
	// heardWithin is the silence up to which this entry still hears from a worker.
	heardWithin = 2 * time.Second
	// maxSuspected bounds the names in an exchange. It is above the 690 workers of a fleet: a worker is declared lost only
	// while the latest exchanges with all peers name it, which workers beyond the bound hardly reach.
	maxSuspected = 1024
	// declareSpread is the span over which the declarations of several entries are spread, to save appends.
	declareSpread = 2 * time.Second
	// declareWait bounds one append; the worker is declared again later if it fails.
	declareWait = 10 * time.Second
)

// Appender appends records to the log and returns nil once they were read back.
type Appender interface {
	Append(ctx context.Context, record []byte) error
}

// Silence finds workers that are silent to every entry and declares them lost.
type Silence struct {
	workers  *fleet.Fleet
	book     *ledger.Replica
	appender Appender
	log      zerolog.Logger
	start    time.Time
	// connections is the number of sidecars that this entry is connected to if there are more of them.
	connections int

	mu sync.Mutex
	// heard is when a worker was last heard from, by name, and when it was first looked for if it never was.
	heard map[string]time.Time
	// due is when a worker is declared lost if it stays silent, by name.
	due map[string]time.Time
}

// NewSilence returns a watch over the workers that the ledger registers.
func NewSilence(workers *fleet.Fleet, book *ledger.Replica, appender Appender, connections int, log zerolog.Logger) *Silence {
	return &Silence{
		workers: workers, book: book, appender: appender, log: log, start: time.Now(), connections: connections,
		heard: map[string]time.Time{}, due: map[string]time.Time{},
	}
}

// Run watches until ctx ends. A worker is declared lost once every reached peer confirms its silence.
func (s *Silence) Run(ctx context.Context, p *Peers) {
	tick := time.NewTicker(watchInterval)
	defer tick.Stop()

	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}

		now := time.Now()
		s.look(now)

		for _, w := range s.lost(now, p) {
			s.declare(ctx, w)
		}
	}
}

// look notes which workers were heard from.
func (s *Silence) look(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()

	registered := map[string]bool{}

	for _, w := range s.book.State().Workers() {
		registered[w.Name()] = true

		if _, found := s.heard[w.Name()]; !found {
			s.heard[w.Name()] = now
		}
	}

	for _, w := range s.workers.View().Workers() {
		s.heard[w.Name()] = w.LastContact()
	}

	for name := range s.heard {
		if !registered[name] {
			delete(s.heard, name)
			delete(s.due, name)
		}
	}
}

// silent tells whether the worker is silent to this entry. s.mu is held.
func (s *Silence) silent(worker string, now time.Time) bool {
	at, found := s.heard[worker]
	if !found {
		at = s.start
	}

	return now.Sub(at) >= silentAfter
}

// Suspected returns workers that are silent to this entry, for the peers to confirm.
func (s *Silence) Suspected() []string {
	s.mu.Lock()
	defer s.mu.Unlock()

	var all []string

	for name := range s.heard {
		if s.silent(name, time.Now()) {
			all = append(all, name)
		}
	}

	// The order of a map varies, so each worker beyond the bound has its turn.
	all = all[:min(len(all), maxSuspected)]
	slices.Sort(all)

	return all
}

// Confirm returns those of the workers that are silent to this entry too.
func (s *Silence) Confirm(workers []string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()

	var silent []string

	for _, w := range workers {
		if s.silent(w, time.Now()) {
			silent = append(silent, w)
		}
	}

	return silent
}

// lost returns the workers to declare lost now. None is lost while this entry hears from less than half of them,
// since it is then more likely that the entry itself is cut off.
func (s *Silence) lost(now time.Time, p *Peers) []ledger.Worker {
	registered := s.book.State().Workers()

	s.mu.Lock()
	defer s.mu.Unlock()

	hears := 0

	for _, w := range registered {
		if now.Sub(s.heard[w.Name()]) < heardWithin {
			hears++
		}
	}

	if 2*hears < min(len(registered), s.connections) {
		return nil
	}

	var lost []ledger.Worker

	for _, w := range registered {
		if !s.silent(w.Name(), now) || !p.confirmSilent(w.Name()) {
			delete(s.due, w.Name())

			continue
		}

		due, found := s.due[w.Name()]
		if !found {
			s.due[w.Name()] = now.Add(rand.N(declareSpread)) //nolint:gosec // no secret

			continue
		}

		if !now.Before(due) {
			s.due[w.Name()] = now.Add(declareWait)

			lost = append(lost, w)
		}
	}

	return lost
}

// confirmSilent tells whether every reached entry has confirmed the silence of the worker.
func (p *Peers) confirmSilent(worker string) bool {
	for _, l := range p.all() {
		if c, _ := l.current(); c != nil && !l.quiet(worker) {
			return false
		}
	}

	return true
}

func (s *Silence) declare(ctx context.Context, w ledger.Worker) {
	s.log.Warn().Str("event", "worker_lost").Str("worker", w.Name()).Uint64("incarnation", w.Incarnation()).
		Msg("no entry hears from the worker")

	d := &declaration{silence: s, worker: w}
	go d.run(ctx)
}

type declaration struct {
	silence *Silence
	worker  ledger.Worker
}

func (d *declaration) run(ctx context.Context) {
	ctx, stop := context.WithTimeout(ctx, declareWait)
	defer stop()

	record := ledger.WorkerLeftRecord(d.worker.Name(), d.worker.Incarnation(), true)
	if err := d.silence.appender.Append(ctx, record); err != nil {
		d.silence.log.Warn().Str("event", "append_failed").Str("worker", d.worker.Name()).Err(err).Msg("the loss is not in the log")
	}
}
