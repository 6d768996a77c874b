package backend

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"github.com/skylarkweir/skylarkweir/weir/process/ejection"
)

// checkInterval is the time between health checks.
const healthCheckInterval = time.Second

// Watch checks the health of the backend server.
type HealthMonitor struct {
	client     *Client
	statistics *ejection.Statistics
	log        zerolog.Logger
}

// NewWatch returns a watch that reports to the statistics.
func NewHealthMonitor(c *Client, s *ejection.Statistics, log zerolog.Logger) *HealthMonitor {
	return &HealthMonitor{c, s, log}
}

// Loop checks until ctx ends.
func (w *HealthMonitor) Loop(ctx context.Context) {
	ticker := time.NewTicker(healthCheckInterval)
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
