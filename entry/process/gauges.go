package process

import (
	gometrics "github.com/rcrowley/go-metrics"

	"github.com/skylarkweir/skylarkweir/weir/process/metrics"
)

// gauges registers what is read from other parts when the metrics are.
func (p *Process) gauges() {
	for name, value := range map[string]func() int64{
		"weir_entry_ready":              func() int64 { return number(p.parts.Readiness.Reason() == "") },
		"weir_entry_log_healthy":        func() int64 { return number(p.parts.Follower.Healthy()) },
		"weir_entry_log_position":       func() int64 { return p.parts.Book.State().Position() },
		"weir_entry_agreement_version":  func() int64 { return p.parts.Book.State().Version() },
		"weir_entry_bindings":           func() int64 { return int64(p.parts.Book.State().BindingCount()) },
		"weir_entry_workers_connected":  func() int64 { return int64(len(p.parts.Fleet.View().Workers())) },
		"weir_entry_workers_registered": func() int64 { return int64(len(p.parts.Book.State().Workers())) },
		"weir_entry_peers_connected":    func() int64 { return int64(len(p.parts.Peers.Reached())) },
	} {
		_ = p.parts.Registry.Register(name, gometrics.NewFunctionalGauge(value))
	}

	traffic := p.parts.Node.Traffic()

	for name, value := range map[string]func() int64{
		"weir_entry_control_received_bytes_total": func() int64 { in, _ := traffic.ControlBytes(); return in },
		"weir_entry_control_sent_bytes_total":     func() int64 { _, out := traffic.ControlBytes(); return out },
		"weir_entry_control_frames_total":         traffic.ControlFrames,
		"weir_entry_work_received_bytes_total":    func() int64 { in, _ := traffic.WorkBytes(); return in },
		"weir_entry_work_sent_bytes_total":        func() int64 { _, out := traffic.WorkBytes(); return out },
	} {
		_ = p.parts.Registry.Register(name, metrics.FunctionalCounter(value))
	}
}

func number(b bool) int64 {
	if b {
		return 1
	}

	return 0
}
