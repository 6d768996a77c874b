// Package runtimes learns how the run time of a kind of job differs between backend servers.
//
// Servers of one service differ by kind, which their labels name, and single servers turn slow. The model keeps one
// winsorized mean of logarithms for each kind of job and server. The effect of a label is computed from its servers, so it
// is known for servers that have run little of the kind. The reference is the mean over the servers, each counted alike,
// so it does not depend on where tasks were placed.
//
// The package does no input or output; the time is passed in.
package runtimes

import (
	"math"
	"slices"
	"time"
)

// Caps of the state: MaxKinds times MaxServers cells of about 150 bytes, 2.5 MB. The effects of labels are computed from
// the cells, for MaxLabels labels of each kind. What is beyond a cap is not modelled.
const (
	MaxKinds   = 32
	MaxServers = 512
	MaxLabels  = 256
)

// refreshInterval is how long computed effects are used, since the computation reads all cells of a kind.
const refreshInterval = 250 * time.Millisecond

// Model has the run times of kinds of jobs at servers. The zero value knows nothing. It is not safe for concurrent use.
type Model struct {
	kinds map[string]*Kind
	// changes are those of the known effects since the last TakeChanges, at most maxChanges.
	changes []Change
}

// Kind has the run times of one kind of job. A nil Kind knows nothing.
type Kind struct {
	servers map[string]*cell
	// effects are those computed at computedAt; nil before the first time.
	effects    *effects
	computedAt time.Duration
	// observedAt is the time of the newest task.
	observedAt time.Duration
}

// Observe records a task of a kind that ended by itself at a server with the labels, after run instead of expected. now is
// on any clock that doesn't go back. Of the tasks of a job at one server only one may be recorded, chosen before it ends: they share the error
// of the estimate, and the first one to end is faster than usual. It ignores run times that are not positive, and servers without labels: there the operator has not named kinds of server.
func (m *Model) Observe(kind, server string, labels []string, expected, run, now time.Duration) {
	if run <= 0 || expected <= 0 || len(labels) == 0 {
		return
	}

	k := m.kinds[kind]
	if k == nil {
		k = m.add(kind, now)
	}

	if k == nil {
		return
	}

	c := k.servers[server]
	if c == nil {
		c = k.add(server, now)
	}

	if c == nil {
		return
	}

	if !slices.Equal(c.labels, labels) {
		c.labels = slices.Clone(labels)
	}

	k.observedAt = now
	c.observe(math.Log(float64(run)/float64(expected)), now)
}

// add returns a new kind, or nil if there are MaxKinds others with tasks within the half-life.
func (m *Model) add(kind string, now time.Duration) *Kind {
	if m.kinds == nil {
		m.kinds = map[string]*Kind{}
	}

	if len(m.kinds) >= MaxKinds {
		for name, k := range m.kinds {
			if now-k.observedAt > halfLife {
				delete(m.kinds, name)
			}
		}
	}

	if len(m.kinds) >= MaxKinds {
		return nil
	}

	k := &Kind{servers: map[string]*cell{}}
	m.kinds[kind] = k

	return k
}

// add returns a new cell, or nil if there are MaxServers others with tasks within the half-life.
func (k *Kind) add(server string, now time.Duration) *cell {
	if len(k.servers) >= MaxServers {
		for name, c := range k.servers {
			if now-c.at > halfLife {
				delete(k.servers, name)
			}
		}
	}

	if len(k.servers) >= MaxServers {
		return nil
	}

	c := &cell{}
	k.servers[server] = c

	return c
}

// Kind returns what is known of a kind, as of now or up to refreshInterval before.
func (m *Model) Kind(kind string, now time.Duration) *Kind {
	k := m.kinds[kind]
	if k == nil {
		return nil
	}

	if k.effects == nil || now-k.computedAt >= refreshInterval {
		before := k.effects
		k.effects, k.computedAt = k.compute(now), now
		m.recordChanges(kind, before, k.effects)
	}

	return k
}

// Ratio returns the run time of the kind at a server with the labels, relative to the mean over the servers. It returns
// false while it is uncertain that the ratio differs from 1.
func (k *Kind) Ratio(server string, labels []string) (float64, bool) {
	if k == nil || k.effects == nil || len(labels) == 0 {
		return 1, false
	}

	if effect, ok := k.effects.servers[server]; ok {
		return math.Exp(effect), true
	}

	effect, ok := k.effects.ofLabels(labels)

	return math.Exp(effect), ok
}

// KnownLabels returns the number of labels with a known effect, over all kinds.
func (m *Model) KnownLabels() int {
	n := 0
	for _, k := range m.kinds {
		n += k.effects.labelCount()
	}

	return n
}

// KnownServers returns the number of servers with a known effect of their own, over all kinds.
func (m *Model) KnownServers() int {
	n := 0
	for _, k := range m.kinds {
		n += k.effects.serverCount()
	}

	return n
}

// Size returns the number of kinds and of cells, one for each kind and server.
func (m *Model) Size() (kinds, cells int) {
	for _, k := range m.kinds {
		cells += len(k.servers)
	}

	return len(m.kinds), cells
}
