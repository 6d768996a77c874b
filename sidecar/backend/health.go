package backend

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"github.com/skylarkweir/skylarkweir/weir/process/ejection"
)

const healthCheckInterval = time.Second

// HealthMonitor checks the health of the backend server once per second and logs its changes.
type HealthMonitor struct {
	client     *Client
	statistics *ejection.Statistics
	log        zerolog.Logger
}

// NewHealthMonitor returns a monitor that records the results of its checks in the statistics.
func NewHealthMonitor(c *Client, s *ejection.Statistics, log zerolog.Logger) *HealthMonitor {
	return &HealthMonitor{c, s, log}
}

// Loop runs the checks until ctx ends.
func (m *HealthMonitor) Loop(ctx context.Context) {
	ticker := time.NewTicker(healthCheckInterval)
	defer ticker.Stop()

	healthy := true

	for {
		err := m.client.Check(ctx)
		if ctx.Err() != nil {
			return
		}

		m.statistics.RecordHealthCheck(time.Now(), err == nil)

		if healthy != (err == nil) {
			healthy = err == nil
			level := zerolog.InfoLevel
			if !healthy {
				level = zerolog.WarnLevel
			}

			m.log.WithLevel(level).Err(err).Str("event", "backend_health").Bool("healthy", healthy).
				Msg("health of the backend server changed")
		}

		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
