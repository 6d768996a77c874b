package interference

import (
	"cmp"
	"slices"
	"time"
)

// Occupancy records which kinds of tasks run at one backend server, and for how long they have run there. The zero value
// has no tasks. It is not safe for concurrent use.
type Occupancy struct {
	// at is the time up to which the sums are counted.
	at time.Duration
	// used is the CPU of the running tasks in millicores, usedTime the sum of used over time, in millicores times seconds.
	used     int64
	usedTime float64
	kinds    []presence
	// lastGeneration is the generation that was assigned last.
	lastGeneration uint64
}

// presence is how long tasks of a kind have run.
type presence struct {
	kind string
	// generation identifies the use of this place for the kind.
	generation uint64
	running    int
	// single and several are the times with at least one running task and with at least two.
	single, several time.Duration
	endedAt         time.Duration
}

// Mark is the state of an Occupancy at the start of a task.
type Mark struct {
	kind     string
	cpu      int64
	at       time.Duration
	usedTime float64
	before   []presence
}

// Start records the start of a task of a kind with its CPU in millicores. A kind beyond MaxKinds counts for the load only.
func (o *Occupancy) Start(kind string, cpu int64, now time.Duration) Mark {
	o.advance(now)

	m := Mark{kind, cpu, now, o.usedTime, slices.Clone(o.kinds)}
	o.used += cpu

	if p := o.place(kind); p != nil {
		p.running++
	}

	return m
}

// End records the end of the task that a mark was returned for, and returns what ran beside it. capacity is that of the
// server in millicores.
func (o *Occupancy) End(m Mark, capacity int64, now time.Duration) Surroundings {
	o.advance(now)

	s := Surroundings{}
	run := now - m.at

	if run > 0 {
		s.load = (o.usedTime - m.usedTime) / run.Seconds() / float64(max(1, capacity))
		s.neighbours = o.neighboursSince(m, run)
	}

	o.used -= m.cpu

	for i := range o.kinds {
		if p := &o.kinds[i]; p.kind == m.kind && p.running > 0 {
			p.running--
			p.endedAt = now
		}
	}

	return s
}

func (o *Occupancy) neighboursSince(m Mark, run time.Duration) []Neighbour {
	var neighbours []Neighbour

	for i, p := range o.kinds {
		var before presence
		if i < len(m.before) && m.before[i].generation == p.generation {
			before = m.before[i]
		}

		beside := p.single - before.single
		if p.kind == m.kind {
			beside = p.several - before.several
		}

		if beside > 0 {
			neighbours = append(neighbours, NewNeighbour(p.kind, float64(beside)/float64(run)))
		}
	}

	return neighbours
}

// Running returns the kinds of the tasks that run.
func (o *Occupancy) Running() []string {
	var kinds []string

	for _, p := range o.kinds {
		if p.running > 0 {
			kinds = append(kinds, p.kind)
		}
	}

	return kinds
}

func (o *Occupancy) advance(now time.Duration) {
	elapsed := max(0, now-o.at)
	o.usedTime += float64(o.used) * elapsed.Seconds()

	for i := range o.kinds {
		p := &o.kinds[i]

		if p.running > 0 {
			p.single += elapsed
		}

		if p.running > 1 {
			p.several += elapsed
		}
	}

	o.at = max(o.at, now)
}

// place returns the place of a kind, nil if all places have kinds with running tasks.
func (o *Occupancy) place(kind string) *presence {
	if kind == "" {
		return nil
	}

	i := slices.IndexFunc(o.kinds, func(p presence) bool { return p.kind == kind })
	if i >= 0 {
		return &o.kinds[i]
	}

	o.lastGeneration++
	p := presence{kind: kind, generation: o.lastGeneration}

	if len(o.kinds) < MaxKinds {
		o.kinds = append(o.kinds, p)

		return &o.kinds[len(o.kinds)-1]
	}

	oldest := slices.MinFunc(o.kinds, func(a, b presence) int {
		return cmp.Or(cmp.Compare(min(a.running, 1), min(b.running, 1)), cmp.Compare(a.endedAt, b.endedAt))
	})
	if oldest.running > 0 {
		return nil
	}

	i = slices.IndexFunc(o.kinds, func(p presence) bool { return p.generation == oldest.generation })
	o.kinds[i] = p

	return &o.kinds[i]
}
