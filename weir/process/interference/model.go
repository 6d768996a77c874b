// Package interference learns which kinds of tasks slow each other down at one backend server.
//
// For each kind, a regression over the newest run times tells how much longer its tasks run beside each other kind. It
// compares run times at the same server only, so a slow server is no pair, with the load, the pace of the server for other
// kinds and the time as further terms, so a loaded server or one that turns slow is none either. A pair is taken up if its
// effect is many standard errors above zero, and dropped if later run times show no effect, or nothing confirms it for
// long.
//
// Load pattern: kinds that arrive at random at servers which hold several tasks, with heavy tails. Kinds that always run
// together cannot be told apart and are not reported.
package interference

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// MaxKinds is the number of kinds that are modelled. Further kinds are not, until one of them has not been seen for
	// forgetTime.
	MaxKinds = 16
	// windowSize is the number of samples of each kind.
	windowSize = 512
	// minWindowSpan is the time that the samples of a kind cover at least when the window is full.
	minWindowSpan = 40 * time.Second
	// ageTime is the age at which a sample counts 1/e.
	ageTime = 5 * time.Minute
	// fitEvery is the number of new samples of a kind after which its effects are estimated again.
	fitEvery = 64
	// minSamples is the number of samples of a kind from which its effects are estimated, minFree that of the degrees of
	// freedom of the estimate.
	minSamples, minFree = 80, 40
	// minBeside is the number of tasks beside a kind, in full run times, from which a pair may be taken up.
	minBeside = 30
	// takeUpScore is the effect, in standard errors, from which a pair is taken up. Among 1,000 synthetic runs without a
	// pair at most 1 % may report one.
	takeUpScore = 4.2
	// confirmScore is the same for the confirmation of a pair that is in force.
	confirmScore = 2.5
	// minFactor is the factor of run times from which a pair is taken up, goneFactor the one below which it is dropped if the
	// effect is certain to be lower.
	minFactor, goneFactor = 1.15, 1.1
	// goneShare is the same in proportion to the effect with which the pair was taken up, on logarithms of run times.
	goneShare = 0.5
	// goneMargin is the certainty of that, in standard errors.
	goneMargin = 2
	// maxFactor limits the factor of a pair and the product of several.
	maxFactor = 4.0
	// confirmedTime is how long a pair stays in force without a confirmation. Tasks that are kept apart confirm nothing.
	confirmedTime = 10 * time.Minute
	// forgetTime is the time without tasks after which a kind or a server may be replaced by another one.
	forgetTime = 10 * time.Minute
	// maxServers is the number of servers whose pace is known.
	maxServers = 1024
	// paceMemory is how long the run times at a server count for its pace, and paceWeight the weight of the newest one.
	paceMemory = 30 * time.Second
	paceWeight = 0.1
	// typicalWeight is the weight of the newest run time in the typical one of its kind.
	typicalWeight = 0.02
	// maxDeviation limits the logarithm of a run time in proportion to the typical one.
	maxDeviation = 1.0
)

// pairKey has the numbers of a kind and of the kind beside it.
type pairKey struct{ kind, beside int }

// pairState is a pair in force.
type pairState struct {
	pair Pair
	// taken is the effect on the logarithm of run times when the pair was taken up.
	taken       float64
	confirmedAt time.Duration
}

// Model is what is known of the pairs of kinds. Its memory is bounded by MaxKinds squared times a constant: at most 0.5 MB
// of samples, and 0.4 MB of paces. The zero value knows nothing. It is not safe for concurrent use. Times are on one
// monotonic clock.
type Model struct {
	names   []string
	windows []*window
	servers map[string]*pace
	lastID  uint32
	pairs   map[pairKey]*pairState
	// nextFit is the kind that is looked at first for the next fit.
	nextFit int
	// replaced has the changes since the last call of Advance.
	replaced []Change
}

// Observe adds the run of a task.
func (m *Model) Observe(o Observation, now time.Duration) {
	kind := m.index(o.kind, now)
	if kind < 0 || o.server == "" || o.run < 0 {
		return
	}

	p := m.server(o.server, now)
	if p == nil {
		return
	}

	w := m.windows[kind]
	logRun := math.Log(max(0.5, float64(o.run)/float64(time.Millisecond)))
	elsewhere := p.without(kind, now)

	p.record(kind, w.deviation(logRun), now)

	if !w.wants(now) {
		return
	}

	s := sample{
		at: now, server: p.id, logRun: float32(logRun), load: float32(fraction(o.surroundings.load)), pace: float32(elsewhere),
	}

	for _, n := range o.surroundings.neighbours {
		if i := m.index(n.kind, now); i >= 0 {
			s.shares[i] = uint8(math.Round(fraction(n.share) * math.MaxUint8))
		}
	}

	w.add(s)
}

// index returns the number of a kind, -1 if it is not modelled.
func (m *Model) index(kind string, now time.Duration) int {
	if kind == "" {
		return -1
	}

	i := slices.Index(m.names, kind)

	switch {
	case i >= 0:
	case len(m.names) < MaxKinds:
		i = len(m.names)
		m.names = append(m.names, kind)
		m.windows = append(m.windows, &window{})
	default:
		i = m.replace(kind, now)
	}

	if i >= 0 {
		m.windows[i].seenAt = now
	}

	return i
}

// replace replaces the kind that was not seen for longest, and returns its number, -1 if all were seen lately.
func (m *Model) replace(kind string, now time.Duration) int {
	oldest := slices.MinFunc(m.windows, func(a, b *window) int { return cmp.Compare(a.seenAt, b.seenAt) })
	if now-oldest.seenAt < forgetTime {
		return -1
	}

	i := slices.Index(m.windows, oldest)

	for key, p := range m.pairs {
		if key.kind == i || key.beside == i {
			m.replaced = append(m.replaced, Change{p.pair, Replaced})
			delete(m.pairs, key)
		}
	}

	for _, w := range m.windows {
		w.clearNeighbour(i)
	}

	for _, p := range m.servers {
		p.kinds[i].count = 0
	}

	m.names[i], m.windows[i] = kind, &window{}

	return i
}

// server returns the pace of a server, nil if there are too many.
func (m *Model) server(name string, now time.Duration) *pace {
	p := m.servers[name]

	if p == nil {
		if len(m.servers) >= maxServers {
			m.forgetServers(now)
		}

		if len(m.servers) >= maxServers {
			return nil
		}

		if m.servers == nil {
			m.servers = map[string]*pace{}
		}

		m.lastID++
		p = &pace{id: m.lastID}
		m.servers[name] = p
	}

	p.seenAt = now

	return p
}

func (m *Model) forgetServers(now time.Duration) {
	for name, p := range m.servers {
		if now-p.seenAt >= forgetTime {
			delete(m.servers, name)
		}
	}
}

// Advance estimates the effects on at most one kind again, which takes 0.5 to 1.6 ms, and returns the pairs
// that were taken up or dropped since the last call.
func (m *Model) Advance(now time.Duration) []Change {
	changes := m.replaced
	m.replaced = nil

	for n := range m.windows {
		i := (m.nextFit + n) % len(m.windows)
		w := m.windows[i]

		if w.added < fitEvery || len(w.samples) < minSamples {
			continue
		}

		w.added = 0
		m.nextFit = i + 1

		for _, e := range fit(w.samples, now) {
			changes = append(changes, m.judge(i, e, now)...)
		}

		break
	}

	for key, p := range m.pairs {
		if now-p.confirmedAt >= confirmedTime {
			changes = append(changes, Change{p.pair, Old})
			delete(m.pairs, key)
		}
	}

	return changes
}

// judge takes a pair up, confirms it or drops it.
func (m *Model) judge(kind int, e estimate, now time.Duration) []Change {
	key := pairKey{kind, e.neighbour}
	factor := min(maxFactor, math.Exp(e.effect-e.standard))

	if p := m.pairs[key]; p != nil {
		switch {
		case e.effect+goneMargin*e.standard < max(math.Log(goneFactor), goneShare*p.taken):
			delete(m.pairs, key)

			return []Change{{p.pair, Gone}}
		case e.score() >= confirmScore && factor >= goneFactor:
			p.confirmedAt = now
			p.pair.factor, p.pair.score, p.pair.tasks = factor, e.score(), int(e.beside)
		}

		return nil
	}

	if e.score() < takeUpScore || e.beside < minBeside || e.effect < math.Log(minFactor) {
		return nil
	}

	if m.pairs == nil {
		m.pairs = map[pairKey]*pairState{}
	}

	p := &pairState{
		pair:  Pair{m.names[kind], m.names[e.neighbour], max(1, factor), e.score(), int(e.beside), now},
		taken: e.effect, confirmedAt: now,
	}
	m.pairs[key] = p

	return []Change{{p.pair, Found}}
}

// Slowdown returns the factor by which run times grow, at least 1, if a task of a kind starts where the others run: its own
// or theirs, whichever grows more. It is 1 without a pair in force.
func (m *Model) Slowdown(kind string, running []string) float64 {
	if len(m.pairs) == 0 {
		return 1
	}

	own := slices.Index(m.names, kind)
	product := 1.0

	for _, other := range running {
		i := slices.Index(m.names, other)
		product *= max(m.factor(own, i), m.factor(i, own))
	}

	return min(maxFactor, product)
}

func (m *Model) factor(kind, beside int) float64 {
	if p := m.pairs[pairKey{kind, beside}]; p != nil {
		return p.pair.factor
	}

	return 1
}

// Pairs returns the pairs in force, ordered by kind.
func (m *Model) Pairs() []Pair {
	all := make([]Pair, 0, len(m.pairs))
	for _, p := range m.pairs {
		all = append(all, p.pair)
	}

	slices.SortFunc(all, func(a, b Pair) int {
		return cmp.Or(cmp.Compare(a.kind, b.kind), cmp.Compare(a.beside, b.beside))
	})

	return all
}

// Kinds returns the number of kinds that are modelled, zero for a nil model.
func (m *Model) Kinds() int {
	if m == nil {
		return 0
	}

	return len(m.names)
}

// PairCount returns the number of pairs in force, zero for a nil model.
func (m *Model) PairCount() int {
	if m == nil {
		return 0
	}

	return len(m.pairs)
}
