package cluster

import "maps"

// Option changes how an entry or a worker is started.
type Option func(*startOptions)

// startOptions are the collected options of one entry or worker.
type startOptions struct {
	// settings override keys of the settings file.
	settings map[string]any
	// relay and logRelay report whether these relays are to be set up.
	relay, logRelay bool
}

// WithSetting sets a key of the settings file.
func WithSetting(key string, value any) Option {
	return func(o *startOptions) { o.settings[key] = value }
}

// WithRelay puts a UDP relay in front of an entry, or a TCP relay between a sidecar and its backend server.
func WithRelay() Option { return func(o *startOptions) { o.relay = true } }

// WithLogRelay puts a TCP relay between an entry and the log service.
func WithLogRelay() Option { return func(o *startOptions) { o.logRelay = true } }

func collectOptions(options []Option) startOptions {
	collected := startOptions{settings: map[string]any{}}
	for _, o := range options {
		o(&collected)
	}

	return collected
}

// applyTo overrides keys of base with the settings of the options and returns base.
func (o startOptions) applyTo(base map[string]any) map[string]any {
	maps.Copy(base, o.settings)

	return base
}
