// Package routes holds the operator's routes, which determine the kind of job that an HTTP request submits.
package routes

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/skylarkweir/skylarkweir/weir/request/job"
)

// Route maps requests for a host and path prefix to the policy of a kind of job.
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

// Table is one version of the routes. It is immutable.
type Table struct {
	version uint64
	// source is the record that the operator wrote.
	source []byte
	// hosts holds the routes of each lower-case host name, the longest prefix first.
	hosts  map[string][]Route
	limits Limits
	// services has the services that are described, by name.
	services map[string]Service
}

// NewTable returns a version of the routes; source is the operator's record that it was read from.
func NewTable(version uint64, source []byte, routes []Route, maxBodyBytes int64) *Table {
	t := &Table{version: version, source: source, hosts: map[string][]Route{}, limits: Limits{maxBodyBytes: maxBodyBytes}}
	for _, r := range routes {
		t.hosts[r.host] = append(t.hosts[r.host], r)
	}

	for _, rs := range t.hosts {
		slices.SortStableFunc(rs, func(a, b Route) int { return cmp.Compare(len(b.prefix), len(a.prefix)) })
	}

	return t
}

// Version returns the version.
func (t *Table) Version() uint64 { return t.version }

// Source returns the operator's record that the table was read from.
func (t *Table) Source() []byte { return t.source }

// MaxBodyBytes returns the largest allowed size of a request's body, or zero if there is no limit.
func (t *Table) MaxBodyBytes() int64 { return t.limits.maxBodyBytes }

// WithLimits returns the version with other limits for callers.
func (t *Table) WithLimits(l Limits) *Table {
	u := *t
	u.limits = l

	return &u
}

// Limits returns the limits for callers that the operator's record states.
func (t *Table) Limits() Limits { return t.limits }

// WithServices returns the version with descriptions of services.
func (t *Table) WithServices(services []Service) *Table {
	u := *t
	u.services = make(map[string]Service, len(services))

	for _, s := range services {
		u.services[s.name] = s
	}

	return &u
}

// Services returns the services that are described, sorted by name.
func (t *Table) Services() []Service {
	return slices.SortedFunc(maps.Values(t.services), func(a, b Service) int { return cmp.Compare(a.name, b.name) })
}

// Match returns the route with the longest prefix of the path among those of the host.
func (t *Table) Match(host, path string) (Route, bool) {
	for _, r := range t.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.prefix) {
			return r, true
		}
	}

	return Route{}, false
}

// Current holds the newest version of the routes. The zero value has none. It is safe for concurrent use.
type Current struct {
	table atomic.Pointer[Table]
	// confirmedAt is when the store of the routes answered last, on the clock of package uptime, or when the process
	// started; zero before.
	confirmedAt atomic.Int64

	mu sync.Mutex
	// adopted is closed with the first version, nil while nobody waits for it; hasAdopted is true after that version.
	adopted    chan struct{}
	hasAdopted bool
}

// Confirm records that the store of the routes has answered at the time now, so that the current version is its newest.
// It is called at the start, too.
func (c *Current) Confirm(now time.Duration) { c.confirmedAt.Store(int64(now)) }

// SinceConfirmation returns the time at now since the store answered last, or since the start.
func (c *Current) SinceConfirmation(now time.Duration) time.Duration {
	return now - time.Duration(c.confirmedAt.Load())
}

// Table returns the newest version, or nil if there is none.
func (c *Current) Table() *Table { return c.table.Load() }

// Version returns the number of the newest version, or zero if there is none.
func (c *Current) Version() uint64 {
	if t := c.table.Load(); t != nil {
		return t.version
	}

	return 0
}

// Update replaces the current version by t if t is newer, and reports whether it did.
func (c *Current) Update(t *Table) bool {
	for {
		old := c.table.Load()
		if old != nil && old.version >= t.version {
			return false
		}

		if c.table.CompareAndSwap(old, t) {
			if old == nil {
				c.notifyFirst()
			}

			return true
		}
	}
}

// notifyFirst ends the waits for the first version.
func (c *Current) notifyFirst() {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.hasAdopted = true

	if c.adopted != nil {
		close(c.adopted)
	}
}

// AwaitTable returns the newest version. If there is none, it waits for the first one, and returns nil if the context ends before.
func (c *Current) AwaitTable(ctx context.Context) *Table {
	if t := c.table.Load(); t != nil {
		return t
	}

	select {
	case <-c.firstAdopted():
	case <-ctx.Done():
	}

	return c.table.Load()
}

// firstAdopted returns a channel that is closed once there is a version.
func (c *Current) firstAdopted() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()

	if c.adopted == nil {
		c.adopted = make(chan struct{})

		if c.hasAdopted {
			close(c.adopted)
		}
	}

	return c.adopted
}
