package cluster

import "maps"

// Option changes how an entry or a worker is started.
type Option func(*plan)

// plan is what the options change.
type plan struct {
	// settings replace keys of the settings file.
	settings map[string]any
	// relayed and logRelayed ask for relays.
	relayed, logRelayed bool
}

// With sets a key of the settings file.
func With(key string, value any) Option {
	return func(p *plan) { p.settings[key] = value }
}

// Relayed puts a UDP relay in front of an entry, or a TCP relay between a sidecar and its backend server.
func Relayed() Option { return func(p *plan) { p.relayed = true } }

// LogRelayed puts a TCP relay between an entry and the log.
func LogRelayed() Option { return func(p *plan) { p.logRelayed = true } }

func planOf(options []Option) plan {
	p := plan{settings: map[string]any{}}
	for _, o := range options {
		o(&p)
	}

	return p
}

// over returns base with the keys of the plan in place of its own.
func (p plan) over(base map[string]any) map[string]any {
	maps.Copy(base, p.settings)

	return base
}
