package process

import (
	gometrics "github.com/rcrowley/go-metrics"

	"github.com/skylarkweir/skylarkweir/weir/process/metrics"
)

// registerMetrics registers the gauges and counters whose values are read from other components on each scrape.
func (p *Process) registerMetrics() {
	table := p.params.Table

	for name, value := range map[string]func() int64{
		"weir_sidecar_ready":             func() int64 { return boolToInt(p.params.AdminServer.Ready()) },
		"weir_sidecar_suspect":           func() int64 { return boolToInt(table.Load().GetSuspect()) },
		"weir_sidecar_log_position":      func() int64 { return p.params.Replica.State().Position() },
		"weir_sidecar_agreement_version": func() int64 { return p.params.Replica.State().Version() },
		"weir_sidecar_slots_held":        func() int64 { return int64(table.Load().GetHeldSlots()) },
		"weir_sidecar_slots_queued":      func() int64 { return int64(table.Load().GetQueuedSlots()) },
		"weir_sidecar_table_starts":      func() int64 { n, _, _ := table.Usage(); return int64(n) },
		"weir_sidecar_table_tombstones":  func() int64 { _, n, _ := table.Usage(); return int64(n) },
		"weir_sidecar_table_bytes":       func() int64 { _, _, n := table.Usage(); return n },
		"weir_sidecar_evacuated_domains": func() int64 { v, _ := p.params.RepeatableRunner.evacuations(); return int64(v.Len()) },
		"weir_sidecar_evacuation_age_ms": func() int64 { _, age := p.params.RepeatableRunner.evacuations(); return age.Milliseconds() },
	} {
		_ = p.params.Registry.Register(name, gometrics.NewFunctionalGauge(value))
	}

	traffic := p.params.Node.Traffic()

	for name, value := range map[string]func() int64{
		"weir_sidecar_control_received_bytes_total": func() int64 { in, _ := traffic.ControlBytes(); return in },
		"weir_sidecar_control_sent_bytes_total":     func() int64 { _, out := traffic.ControlBytes(); return out },
		"weir_sidecar_control_frames_total":         traffic.ControlFrames,
		"weir_sidecar_work_received_bytes_total":    func() int64 { in, _ := traffic.WorkBytes(); return in },
		"weir_sidecar_work_sent_bytes_total":        func() int64 { _, out := traffic.WorkBytes(); return out },
	} {
		_ = p.params.Registry.Register(name, metrics.FunctionalCounter(value))
	}
}

func boolToInt(b bool) int64 {
	if b {
		return 1
	}

	return 0
}
