package callerlimit

import (
	"sync"
	"sync/atomic"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/skylarkweir/skylarkweir/weir/process/metrics"
)

// Reasons for which connections are closed and requests refused.
const (
	// reasonConnections: the connection stalled while others waited for a descriptor.
	reasonConnections = "connections"
	// reasonMemory: there was no memory for the body, or the body stalled while others waited for memory.
	reasonMemory = "memory"
	// reasonBody: the body is over the limit.
	reasonBody = "body"
	// reasonHeader: the header has too many fields.
	reasonHeader = "header"
	// reasonOverdue: the body, or the reading of an answer, took too long.
	reasonOverdue = "overdue"
)

// eventInterval is the least time between two log events with the same reason.
const eventInterval = time.Minute

// Metrics are the metrics of a gate. A nil pointer records nothing.
type Metrics struct {
	registry                              gometrics.Registry
	server                                string
	connectionsName, bytesName, countName string
	memory                                atomic.Int64
}

// NewMetrics returns metrics of a server in a registry: gauges of the open connections and of the memory of bodies in bytes, and
// a counter of refusals, each with the label server. The counter has the label reason, too.
func NewMetrics(r gometrics.Registry, server, connections, bytes, refusals string) *Metrics {
	return &Metrics{registry: r, server: server, connectionsName: connections, bytesName: bytes, countName: refusals}
}

func (m *Metrics) register(g *Gate) {
	if m == nil {
		return
	}

	for name, read := range map[string]func() int64{
		m.connectionsName: func() int64 { return int64(g.count()) },
		m.bytesName:       m.memory.Load,
	} {
		gometrics.NewRegisteredFunctionalGauge(metrics.Name(name, "server", m.server), m.registry, read)
	}
}

func (m *Metrics) count(reason string) {
	if m != nil {
		gometrics.GetOrRegisterCounter(
			metrics.Name(m.countName, "server", m.server, "reason", reason), m.registry).Inc(1)
	}
}

func (m *Metrics) addMemory(n int64) {
	if m != nil {
		m.memory.Add(n)
	}
}

// events logs refusals, one line for each reason and interval.
type events struct {
	name string
	log  zerolog.Logger

	mu sync.Mutex
	// lines has the last line of each reason.
	lines map[string]eventLine
}

// eventLine is the time of a line and the number of refusals since then.
type eventLine struct {
	at    time.Duration
	count int
}

func (e *events) add(reason string, at time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()

	l, known := e.lines[reason]
	l.count++

	if known && at-l.at < eventInterval {
		e.lines[reason] = l

		return
	}

	if e.lines == nil {
		e.lines = map[string]eventLine{}
	}

	e.lines[reason] = eventLine{at: at}
	e.log.Warn().Str("event", "callers_limited").Str("server", e.name).Str("reason", reason).Int("count", l.count).
		Msg("connections of callers were closed or their requests refused to keep within the limits")
}
