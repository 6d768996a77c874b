// Package quarantine limits the backend servers that one kind of job can crash.
//
// The load that the package answers: a part of the jobs of a kind crash every backend server that starts them, and no
// job shows beforehand which. Each crash interrupts the jobs of all kinds at that server, and as new jobs go everywhere,
// soon no server is left. The package confines such a kind to a zone, a small part of the servers of its service.
//
// Each crash is evidence for the kinds that started a job there shortly before, in relation to how often they start
// one. A kind that is the cause does so before each crash, so that its level follows from the latest crashes together:
//
//   - A suspected kind prefers the zone, and other kinds avoid it, as long as there is capacity elsewhere. If the
//     suspicion is wrong, this costs little.
//   - From the second crash on, a suspected kind is probed for a short time after each crash for which it is the
//     likeliest cause: it may use the zone only. Where many of its jobs are deadly, the crashes that make up the evidence
//     come within a second, and each one outside the zone takes a server from the other kinds. Until a kind is confined,
//     other servers replace a zone that has crashed, so that there is one to probe.
//   - A confined kind may use the zone only, and other kinds may not use it.
//   - Suspicion and confinement end after some time without a crash under the kind in which the zone was usable.
//
// All processes choose the same zone without messages. The package does no input or output; the caller passes the time
// in.
package quarantine

import (
	"fmt"
	"math"
	"strings"
	"time"
)

const (
	// minSuspected and minConfined are the evidence from which a kind is suspected and confined, as the negative logarithm
	// of a probability.
	minSuspected = 2.5
	minConfined  = 8.0
	// minCrashes is the number of crashes without which no kind is probed or confined. One may be a coincidence.
	minCrashes = 2
	// maxCrashes is the number of crashes that are judged together.
	maxCrashes = 6
	// bystander is the least probability of a crash for a kind beside a likelier one.
	bystander = 0.5
	// minProbability bounds the probability of a crash, so that its logarithm is finite.
	minProbability = 1e-3
	// sameEvent is the time within which crashes count as one event, as when a rack loses power.
	sameEvent = 10 * time.Millisecond
	// suspicionTime and confinementTime are the times without a crash after which a suspicion and a confinement end.
	suspicionTime   = 3 * time.Second
	confinementTime = 5 * time.Second
	// probeTime is how long a suspected kind may use the zone only after a crash for which it is the likeliest cause.
	probeTime = 600 * time.Millisecond
)

// Level is how far a kind is restricted.
type Level uint8

// The levels of a kind.
const (
	Unrestricted Level = iota
	// Suspected means that the kind prefers the zone.
	Suspected
	// Probed means that the kind may use the zone only, for a short time.
	Probed
	// Confined means that the kind may use the zone only, and other kinds may not use it.
	Confined
)

var levelNames = [...]string{"unrestricted", "suspected", "probed", "confined"}

// String returns the name of the level in logs.
func (l Level) String() string { return levelNames[l] }

// Access is how the jobs of a kind may use a backend server.
type Access uint8

// The forms of access.
const (
	Allowed Access = iota
	// LastResort means that the server is used when the others are full.
	LastResort
	Forbidden
)

// Exposure is how a kind was exposed to the crash of a backend server.
type Exposure struct {
	kind string
	// age is how long its newest job had been running there; rate is the number of its jobs that start there per second.
	age  time.Duration
	rate float64
}

// NewExposure returns the exposure of a kind whose newest job had been running at the server for age, and of which rate
// jobs per second start there.
func NewExposure(kind string, age time.Duration, rate float64) Exposure {
	return Exposure{kind, age, rate}
}

// Kind returns the kind.
func (e Exposure) Kind() string { return e.kind }

// probability returns how probable it is that the kind started a job so shortly before the crash if the two are not
// related.
func (e Exposure) probability(inZone bool) float64 {
	p := -math.Expm1(-e.rate * e.age.Seconds())

	if inZone {
		// A crash that has another cause would more likely hit one of the many other servers.
		p *= zoneShare
	}

	return max(p, minProbability)
}

// Exposures are the exposures of the kinds that ran at a server.
type Exposures []Exposure

// String returns the figures for logs: kind, age and rate.
func (e Exposures) String() string {
	lines := make([]string, 0, len(e))

	for _, x := range e {
		lines = append(lines, fmt.Sprintf("%s %s %.1f/s", x.kind, x.age, x.rate))
	}

	return strings.Join(lines, ", ")
}

// Change is a change of the level of a kind.
type Change struct {
	kind     string
	level    Level
	evidence float64
}

// Kind returns the kind.
func (c Change) Kind() string { return c.kind }

// Level returns the new level.
func (c Change) Level() Level { return c.level }

// Evidence returns what is held against the kind, as the negative logarithm of a probability.
func (c Change) Evidence() float64 { return c.evidence }

// record is what is held against a kind.
type record struct {
	service string
	level   Level
	// crashes has the probabilities of the latest crashes, the newest last.
	crashes []float64
	// calm is the time without a crash under the kind in which the zone was usable, up to calmUntil.
	calm, calmUntil time.Duration
	// probeEnd is the end of the probe after the last crash for which the kind was the likeliest cause.
	probeEnd time.Duration
}

// Tracker holds the levels of all kinds. The zero value restricts none. It is not safe for concurrent use.
type Tracker struct {
	// kinds has the kinds that ran at servers that crashed lately.
	kinds map[string]*record
	// lastCrash is the time of the last crash that counted as evidence.
	lastCrash time.Duration
}

// RecordCrash records the crash of a backend server of a service and returns the changes that follow. exposures has the
// kinds that ran there; inZone tells whether the server belongs to the zone.
func (t *Tracker) RecordCrash(service string, exposures []Exposure, inZone bool, now time.Duration) []Change {
	if t.lastCrash > 0 && now-t.lastCrash < sameEvent {
		return nil
	}

	t.lastCrash = now

	for _, e := range exposures {
		t.open(e.kind, service, now)
	}

	var changes []Change

	for kind, r := range t.kinds {
		if r.service == service {
			r.add(probability(kind, exposures, inZone && r.level != Unrestricted))
		}
	}

	likeliest := t.likeliest(exposures)

	for kind, r := range t.kinds {
		if r.service != service {
			continue
		}

		if kind == likeliest {
			r.probeEnd = now + probeTime
		} else {
			r.excuse()
		}

		if r.updateLevel(now) {
			changes = append(changes, Change{kind, r.level, r.evidence()})
		}
	}

	return changes
}

// probability returns the probability of a crash for a kind, which is one if the kind did not run at the server.
func probability(kind string, exposures []Exposure, inZone bool) float64 {
	for _, e := range exposures {
		if e.kind == kind {
			return e.probability(inZone)
		}
	}

	return 1
}

// likeliest returns the kind with the most evidence among those that were exposed to a crash.
func (t *Tracker) likeliest(exposures []Exposure) string {
	kind, highest := "", -1.0

	for _, e := range exposures {
		if evidence := t.kinds[e.kind].evidence(); evidence > highest {
			kind, highest = e.kind, evidence
		}
	}

	return kind
}

// open makes sure that a kind has a record, whose calm time begins anew.
func (t *Tracker) open(kind, service string, now time.Duration) {
	if t.kinds == nil {
		t.kinds = map[string]*record{}
	}

	r := t.kinds[kind]
	if r == nil {
		r = &record{service: service}
		t.kinds[kind] = r
	}

	r.calm, r.calmUntil = 0, now
}

// add adds the probability of the newest crash.
func (r *record) add(p float64) {
	r.crashes = append(r.crashes, p)
	if len(r.crashes) > maxCrashes {
		r.crashes = r.crashes[1:]
	}
}

// excuse takes back most of the evidence of the newest crash, which a likelier kind explains.
func (r *record) excuse() {
	newest := &r.crashes[len(r.crashes)-1]
	*newest = max(*newest, bystander)
}

// evidence returns the highest evidence of any number of the latest crashes: the negative logarithm of the probability
// that all of them are as improbable as the most probable one.
func (r *record) evidence() float64 {
	highest, most := 0.0, 0.0

	for n := 1; n <= len(r.crashes); n++ {
		most = max(most, r.crashes[len(r.crashes)-n])
		highest = max(highest, -math.Log(most)*float64(n))
	}

	return highest
}

// updateLevel sets the level by the evidence and reports whether it has changed. A confinement ends with time only.
func (r *record) updateLevel(now time.Duration) bool {
	level := Unrestricted

	switch evidence := r.evidence(); {
	case r.level == Confined, evidence >= minConfined && len(r.crashes) >= minCrashes:
		level = Confined
	case evidence >= minSuspected && len(r.crashes) >= minCrashes && now < r.probeEnd:
		level = Probed
	case evidence >= minSuspected:
		level = Suspected
	}

	changed := level != r.level
	r.level = level

	return changed
}

// Advance passes the time and returns the changes that follow. usable tells whether a server of the zone of a service
// accepts tasks; the time in which none does says nothing about a kind.
func (t *Tracker) Advance(now time.Duration, usable func(service string) bool) []Change {
	var changes []Change

	for kind, r := range t.kinds {
		passed := now - r.calmUntil
		r.calmUntil = now

		if r.level == Probed && r.updateLevel(now) {
			changes = append(changes, Change{kind, r.level, r.evidence()})
		}

		if !usable(r.service) {
			continue
		}

		r.calm += passed

		if r.calm < r.duration() {
			continue
		}

		delete(t.kinds, kind)

		if r.level != Unrestricted {
			changes = append(changes, Change{kind, Unrestricted, 0})
		}
	}

	return changes
}

// duration returns how long what is held against a kind lasts without a crash.
func (r *record) duration() time.Duration {
	if r.level == Confined {
		return confinementTime
	}

	return suspicionTime
}

// IsEmpty reports whether nothing is held against any kind.
func (t *Tracker) IsEmpty() bool { return len(t.kinds) == 0 }

// Level returns the level of a kind.
func (t *Tracker) Level(kind string) Level {
	if r := t.kinds[kind]; r != nil {
		return r.level
	}

	return Unrestricted
}

// Access returns how the jobs of a kind may use a backend server of a service, in the zone or outside it.
func (t *Tracker) Access(service, kind string, inZone bool) Access {
	level := t.Level(kind)

	switch {
	case (level == Confined || level == Probed) && !inZone:
		return Forbidden
	case level == Suspected && !inZone:
		return LastResort
	case level != Unrestricted || !inZone:
		return Allowed
	}

	switch t.highest(service) {
	case Confined:
		return Forbidden
	case Probed, Suspected:
		return LastResort
	default:
		return Allowed
	}
}

// ReplacesZone reports whether a zone of the service of which no server accepts tasks is replaced at once: a kind is
// suspected and none is confined. The replacement of the zone of a confined kind would go through all servers.
func (t *Tracker) ReplacesZone(service string) bool {
	level := t.highest(service)

	return level == Suspected || level == Probed
}

// highest returns the highest level of the kinds of a service.
func (t *Tracker) highest(service string) Level {
	highest := Unrestricted

	for _, r := range t.kinds {
		if r.service == service {
			highest = max(highest, r.level)
		}
	}

	return highest
}
