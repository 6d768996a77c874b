package routes

import "time"

// The limits for callers where the operator's record states none.
const (
	defaultMaxHeaderBytes = 16 << 10
	defaultMaxBodyBytes   = 256 << 10
	defaultHeaderTimeout  = 3 * time.Second
	defaultIdleTimeout    = 15 * time.Second
)

// Limits are the operator's limits for callers. The zero value states none.
type Limits struct {
	maxHeaderBytes, maxBodyBytes int64
	headerTimeout, idleTimeout   time.Duration
}

// NewLimits returns limits: the largest headers and body of a request in bytes, how long a caller may take to send its
// headers, and how long it may keep an idle connection. Each is zero if it is not stated.
func NewLimits(maxHeaderBytes, maxBodyBytes int64, headerTimeout, idleTimeout time.Duration) Limits {
	return Limits{maxHeaderBytes, maxBodyBytes, headerTimeout, idleTimeout}
}

// WithDefaults returns the limits with a default for each that is not stated.
func (l Limits) WithDefaults() Limits {
	if l.maxHeaderBytes == 0 {
		l.maxHeaderBytes = defaultMaxHeaderBytes
	}

	if l.maxBodyBytes == 0 {
		l.maxBodyBytes = defaultMaxBodyBytes
	}

	if l.headerTimeout == 0 {
		l.headerTimeout = defaultHeaderTimeout
	}

	if l.idleTimeout == 0 {
		l.idleTimeout = defaultIdleTimeout
	}

	return l
}

// MaxHeaderBytes returns the largest size of the headers of a request, or zero if it is not stated.
func (l Limits) MaxHeaderBytes() int64 { return l.maxHeaderBytes }

// MaxBodyBytes returns the largest size of the body of a request, or zero if it is not stated.
func (l Limits) MaxBodyBytes() int64 { return l.maxBodyBytes }

// HeaderTimeout returns how long a caller may take to send its headers, or zero if it is not stated.
func (l Limits) HeaderTimeout() time.Duration { return l.headerTimeout }

// IdleTimeout returns how long a caller may keep an idle connection, or zero if it is not stated.
func (l Limits) IdleTimeout() time.Duration { return l.idleTimeout }
