// Package routes holds one version of the operator's routes: which kind of job a request submits.
package routes

import (
	"cmp"
	"slices"
	"strings"
	"sync/atomic"

	"github.com/skylarkweir/skylarkweir/weir/request/job"
)

// Route leads requests of a host and path prefix to a kind of job.
type Route struct {
	host, prefix string
	policy       job.Policy
}

// NewRoute returns a route.
func NewRoute(host, prefix string, policy job.Policy) Route {
	return Route{strings.ToLower(host), prefix, policy}
}

// Prefix returns the path prefix.
func (r Route) Prefix() string { return r.prefix }

// Policy returns the policy of the kind of job.
func (r Route) Policy() job.Policy { return r.policy }

// Table is one version of the routes. It does not change.
type Table struct {
	version uint64
	// record is what the operator wrote.
	source []byte
	// hosts holds the routes of each host, the longest prefix first.
	hosts map[string][]Route
	// maxBody is in bytes; zero is no limit.
	maxBodyBytes int64
}

// NewTable returns a version of the routes with the record that it was read from.
func NewTable(version uint64, record []byte, all []Route, maxBody int64) *Table {
	t := &Table{version: version, source: record, hosts: map[string][]Route{}, maxBodyBytes: maxBody}
	for _, r := range all {
		t.hosts[r.host] = append(t.hosts[r.host], r)
	}

	for _, rs := range t.hosts {
		slices.SortStableFunc(rs, func(a, b Route) int { return cmp.Compare(len(b.prefix), len(a.prefix)) })
	}

	return t
}

// Version returns the version.
func (t *Table) Version() uint64 { return t.version }

// Record returns what the operator wrote.
func (t *Table) Source() []byte { return t.source }

// MaxBody returns the largest body in bytes, or zero.
func (t *Table) MaxBodyBytes() int64 { return t.maxBodyBytes }

// Find returns the route of a host and path.
func (t *Table) Match(host, path string) (Route, bool) {
	for _, r := range t.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.prefix) {
			return r, true
		}
	}

	return Route{}, false
}

// Book holds the newest version. The zero value has none; it may be used from any number of goroutines.
type Current struct {
	table atomic.Pointer[Table]
}

// Table returns the newest version, or nil if there is none yet.
func (b *Current) Table() *Table { return b.table.Load() }

// Version returns the number of the newest version, zero if there is none yet.
func (b *Current) Version() uint64 {
	if t := b.table.Load(); t != nil {
		return t.version
	}

	return 0
}

// Adopt puts a version into force unless the one in force is as new. It tells whether it did.
func (b *Current) Update(t *Table) bool {
	for {
		old := b.table.Load()
		if old != nil && old.version >= t.version {
			return false
		}

		if b.table.CompareAndSwap(old, t) {
			return true
		}
	}
}
