package backend

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"github.com/skylarkweir/skylarkweir/weir/process/ejection"
)

// checkInterval is the time between health checks.
const checkInterval = time.Second

// Watch checks the health of the backend server.
type Watch struct {
	client     *Client
	statistics *ejection.Statistics
	log        zerolog.Logger
}

// NewWatch returns a watch that reports to the statistics.
func NewWatch(c *Client, s *ejection.Statistics, log zerolog.Logger) *Watch { return &Watch{c, s, log} }

// Loop checks until ctx ends.
func (w *Watch) Loop(ctx context.Context) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()

	healthy := true

	for {
		err := w.client.Check(ctx)
		if ctx.Err() != nil {
			return
		}

		w.statistics.RecordHealthCheck(time.Now(), err == nil)

		if healthy != (err == nil) {
			healthy = err == nil
			level := zerolog.InfoLevel
			if !healthy {
				level = zerolog.WarnLevel
			}

			w.log.WithLevel(level).Err(err).Str("event", "backend_health").Bool("healthy", healthy).Msg("")
		}

		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
