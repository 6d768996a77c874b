package process

import (
	gometrics "github.com/rcrowley/go-metrics"

	"github.com/skylarkweir/skylarkweir/weir/process/metrics"
)

// registerMetrics registers the gauges and counters whose values are read from other components on each scrape.
func (p *Process) registerMetrics() {
	for name, value := range map[string]func() int64{
		"weir_entry_ready":              func() int64 { return boolToInt(p.params.Readiness.Reason() == "") },
		"weir_entry_log_healthy":        func() int64 { return boolToInt(p.params.Follower.Healthy()) },
		"weir_entry_log_position":       func() int64 { return p.params.Replica.State().Position() },
		"weir_entry_agreement_version":  func() int64 { return p.params.Replica.State().Version() },
		"weir_entry_bindings":           func() int64 { return int64(p.params.Replica.State().BindingCount()) },
		"weir_entry_workers_connected":  func() int64 { return int64(len(p.params.Fleet.View().Workers())) },
		"weir_entry_workers_registered": func() int64 { return int64(len(p.params.Replica.State().Workers())) },
		"weir_entry_interference_pairs": func() int64 { return int64(len(p.params.Dispatcher.InterferingPairs())) },
		"weir_entry_interference_kinds": func() int64 { return int64(p.params.Dispatcher.ModelledKinds()) },
		"weir_entry_peers_connected":    func() int64 { return int64(len(p.params.Peers.Reached())) },
		"weir_entry_evacuated_domains":  func() int64 { v, _ := p.params.Dispatcher.Evacuations(); return int64(v.Len()) },
		"weir_entry_evacuation_age_ms":  func() int64 { _, age := p.params.Dispatcher.Evacuations(); return age.Milliseconds() },
	} {
		_ = p.params.Registry.Register(name, gometrics.NewFunctionalGauge(value))
	}

	traffic := p.params.Node.Traffic()

	for name, value := range map[string]func() int64{
		"weir_entry_control_received_bytes_total": func() int64 { in, _ := traffic.ControlBytes(); return in },
		"weir_entry_control_sent_bytes_total":     func() int64 { _, out := traffic.ControlBytes(); return out },
		"weir_entry_control_frames_total":         traffic.ControlFrames,
		"weir_entry_work_received_bytes_total":    func() int64 { in, _ := traffic.WorkBytes(); return in },
		"weir_entry_work_sent_bytes_total":        func() int64 { _, out := traffic.WorkBytes(); return out },
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
