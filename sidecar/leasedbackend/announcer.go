package leasedbackend

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"github.com/skylarkweir/skylarkweir/sidecar/repeatable"
	"github.com/skylarkweir/skylarkweir/weir/process/succession"
	"github.com/skylarkweir/skylarkweir/weir/request/job"
)

const (
	// statusInterval is how often the status of the backend server is requested.
	statusInterval = 500 * time.Millisecond
	// statusTimeout limits one request.
	statusTimeout = time.Second
)

// Announcer polls a backend server that does not announce itself, and announces each of its incarnations to a worker.
type Announcer struct {
	client  *Client
	worker  *repeatable.Worker
	service string
	// failureDomain is also the only label of the backend server, so that tasks can require it.
	failureDomain string
	capacity      job.Size
	log           zerolog.Logger
}

// NewAnnouncer returns an announcer for a backend server of a service, in a failure domain, with a capacity.
func NewAnnouncer(
	c *Client, w *repeatable.Worker, service, failureDomain string, capacity job.Size, log zerolog.Logger,
) *Announcer {
	return &Announcer{c, w, service, failureDomain, capacity, log}
}

// Run polls the backend server until the context ends.
func (a *Announcer) Run(ctx context.Context) {
	t := time.NewTicker(statusInterval)
	defer t.Stop()

	reachable := true

	for sequence := int64(1); ctx.Err() == nil; sequence++ {
		status, err := a.fetchStatus(ctx)
		if reachable != (err == nil) && ctx.Err() == nil {
			reachable = err == nil
			a.log.Warn().Err(err).Str("event", "leases_asked").Bool("answered", reachable).
				Msg("reachability of the backend server changed")
		}

		if err == nil {
			a.worker.Announce(ctx, succession.NewAnnouncement(status.Instance, a.service, a.failureDomain,
				status.StartedAtMS, sequence, a.capacity, []string{a.failureDomain}, status.Draining))
		}

		select {
		case <-t.C:
		case <-ctx.Done():
		}
	}
}

func (a *Announcer) fetchStatus(ctx context.Context) (Status, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()

	return a.client.Status(ctx)
}
