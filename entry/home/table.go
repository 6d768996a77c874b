// Package home holds the submissions that this entry is home to, and starts their tasks.
package home

import (
	"context"

	"github.com/rs/zerolog"

	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
	"github.com/skylarkweir/skylarkweir/weir/process/fleet"
	"github.com/skylarkweir/skylarkweir/weir/request/fault"
	"github.com/skylarkweir/skylarkweir/weir/request/submission"
)

// Table holds the submissions of one home.
type Table struct {
	workers  *fleet.Fleet
	sidecars Sidecars
	log      zerolog.Logger
}

// Use sets what the table works with. It is called once, before any other method.
func (t *Table) Use(workers *fleet.Fleet, sidecars Sidecars, log zerolog.Logger) {
	t.workers, t.sidecars, t.log = workers, sidecars, log
}

// Run dispatches tasks until ctx ends.
func (t *Table) Run(ctx context.Context) { <-ctx.Done() }

// Submit takes a submission, or returns the one that is held under the same ticket.
func (t *Table) Submit(_ submission.Submission) (*Held, error) {
	return nil, fault.New(fault.NoAgreement, "no agreement is known yet")
}

// Find returns a held submission.
func (t *Table) Find(_ string) (*Held, bool) { return nil, false }

// Drain refuses new submissions and waits until nothing is in flight.
func (t *Table) Drain(_ context.Context) error { return nil }

// Export returns the ended submissions for a handover.
func (t *Table) Export() []*wire.HeldSubmission { return nil }

// Import takes submissions over from another home.
func (t *Table) Import(_ []*wire.HeldSubmission) {}
