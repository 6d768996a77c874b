package cluster

import "maps"

// Option changes how an entry or a worker is started.
type Option func(*startOptions)

// plan is what the options change.
type startOptions struct {
	// settings replace keys of the settings file.
	settings map[string]any
	// relayed and logRelayed ask for relays.
	relay, logRelay bool
}

// With sets a key of the settings file.
func WithSetting(key string, value any) Option {
	return func(p *startOptions) { p.settings[key] = value }
}

// Relayed puts a UDP relay in front of an entry, or a TCP relay between a sidecar and its backend server.
func WithRelay() Option { return func(p *startOptions) { p.relay = true } }

// LogRelayed puts a TCP relay between an entry and the log.
func WithLogRelay() Option { return func(p *startOptions) { p.logRelay = true } }

func collectOptions(options []Option) startOptions {
	p := startOptions{settings: map[string]any{}}
	for _, o := range options {
		o(&p)
	}

	return p
}

// over returns base with the keys of the plan in place of its own.
func (p startOptions) applyTo(base map[string]any) map[string]any {
	maps.Copy(base, p.settings)

	return base
}
