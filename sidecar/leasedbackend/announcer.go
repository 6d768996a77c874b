package leasedbackend

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"github.com/skylarkweir/skylarkweir/sidecar/repeatable"
	"github.com/skylarkweir/skylarkweir/weir/request/job"
)

const (
	// askInterval is how often the backend server is asked for its life.
	statusInterval = 500 * time.Millisecond
	// askTimeout bounds one question.
	statusTimeout = time.Second
)

// Announcer tells a worker of each life of a backend server that does not announce itself.
type Announcer struct {
	client  *Client
	worker  *repeatable.Worker
	service string
	// domain is the failure domain; tasks may also ask for it as a label.
	failureDomain string
	capacity      job.Size
	log           zerolog.Logger
}

// NewAnnouncer returns an announcer for a backend server of a service, in a failure domain, with a capacity.
func NewAnnouncer(c *Client, w *repeatable.Worker, service, domain string, capacity job.Size, log zerolog.Logger) *Announcer {
	return &Announcer{c, w, service, domain, capacity, log}
}

// Run asks until the context ends.
func (a *Announcer) Run(ctx context.Context) {
	t := time.NewTicker(statusInterval)
	defer t.Stop()

	reached := true

	for sequence := int64(1); ctx.Err() == nil; sequence++ {
		about, err := a.fetchStatus(ctx)
		if reached != (err == nil) && ctx.Err() == nil {
			reached = err == nil
			a.log.Warn().Err(err).Str("event", "leases_asked").Bool("answered", reached).
				Msg("the backend server was asked for its life")
		}

		if err == nil {
			a.worker.Announce(ctx, repeatable.NewAnnouncement(about.Instance, a.service, a.failureDomain, about.StartedAtMS, sequence,
				a.capacity, []string{a.failureDomain}, about.Draining))
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
