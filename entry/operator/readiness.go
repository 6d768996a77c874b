package operator

import (
	"sync/atomic"

	"github.com/skylarkweir/skylarkweir/weir/version/ledger"
)

// Readiness tells whether the load balancer should send callers to this entry.
type Readiness struct {
	book    *ledger.Book
	started atomic.Bool
	leaving atomic.Bool
}

// NewReadiness returns a readiness that is off until Start.
func NewReadiness(book *ledger.Book) *Readiness { return &Readiness{book: book} }

// Start notes that the caller's address is served.
func (r *Readiness) Start() { r.started.Store(true) }

// Leave turns readiness off for good.
func (r *Readiness) Leave() { r.leaving.Store(true) }

// Leaving tells whether Leave was called.
func (r *Readiness) Leaving() bool { return r.leaving.Load() }

// Reason returns why the entry is not ready, or an empty text.
func (r *Readiness) Reason() string {
	switch {
	case r.leaving.Load():
		return "the entry is leaving"
	case !r.started.Load():
		return "the entry is starting"
	case !r.book.State().Ready():
		return "no agreement has been read yet"
	default:
		return ""
	}
}
