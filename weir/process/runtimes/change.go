package runtimes

import "math"

// maxChanges is the number of changes that are kept until they are taken; what is beyond it is left out.
const maxChanges = 64

// Change is an effect that has become known, or is no longer.
type Change struct {
	kind, label, server string
	ratio               float64
	known               bool
}

// Kind returns the kind of job.
func (c Change) Kind() string { return c.kind }

// Label returns the label of the servers, empty for an effect of a single server.
func (c Change) Label() string { return c.label }

// Server returns the name of the server, empty for an effect of a label.
func (c Change) Server() string { return c.server }

// Ratio returns the run time relative to the mean over the servers; of one that is no longer known, the last one.
func (c Change) Ratio() float64 { return c.ratio }

// Known returns whether the effect is known.
func (c Change) Known() bool { return c.known }

// TakeChanges returns the changes since the last call, for logs.
func (m *Model) TakeChanges() []Change {
	c := m.changes
	m.changes = nil

	return c
}

func (m *Model) recordChanges(kind string, before, after *effects) {
	m.recordKnown(Change{kind: kind, known: true}, before, after)
	m.recordKnown(Change{kind: kind}, after, before)
}

// recordKnown records a change for each effect that to has and from has not.
func (m *Model) recordKnown(c Change, from, to *effects) {
	if to == nil {
		return
	}

	for l, x := range to.labels {
		if !from.knowsLabel(l) {
			c.label, c.server, c.ratio = l, "", math.Exp(x.effect)
			m.record(c)
		}
	}

	for s, x := range to.servers {
		if !from.knowsServer(s) {
			c.label, c.server, c.ratio = "", s, math.Exp(x)
			m.record(c)
		}
	}
}

func (m *Model) record(c Change) {
	if len(m.changes) < maxChanges {
		m.changes = append(m.changes, c)
	}
}

func (e *effects) knowsLabel(l string) bool {
	if e == nil {
		return false
	}

	_, ok := e.labels[l]

	return ok
}

func (e *effects) knowsServer(s string) bool {
	if e == nil {
		return false
	}

	_, ok := e.servers[s]

	return ok
}

func (e *effects) labelCount() int {
	if e == nil {
		return 0
	}

	return len(e.labels)
}

func (e *effects) serverCount() int {
	if e == nil {
		return 0
	}

	return len(e.servers)
}
