// Package callerlimit bounds what callers of an HTTP server can take of a process: connections, memory for bodies, and time.
//
// A Gate wraps the listener and the handler of a server. Each connection takes a descriptor and each body takes memory from a
// budget before it grows. While a budget is used up, callers that stall lose theirs to those that make progress.
package callerlimit

import "time"

const (
	// connectionBytes is what an open connection takes without its body: buffers and stacks of net/http and the header.
	// In the tests with crowds, 1,000 connections took 15 MB (a byte at a time) to 33 MB (requests sent ahead).
	connectionBytes = 32 << 10
	// callersMemoryShare is the fraction of the machine's memory for callers. Half of it is for connections, half for bodies.
	callersMemoryShare = 0.25
	// defaultBodyBytes, defaultHeaderBytes are the limits that callers are told.
	defaultBodyBytes   = 256 << 10
	defaultHeaderBytes = 16 << 10
	// maxHeaderFields is the largest number of fields of a header without Host. The map of a field takes about 110 bytes, so the fields of
	// a header of 16 KiB could take 300 KB. Ordinary clients send 5 to 30.
	maxHeaderFields = 256
	// defaultHeaderTimeout and defaultIdleTimeout are not shorter than what callers are told: 3 s and 15 s.
	defaultHeaderTimeout = 3 * time.Second
	defaultIdleTimeout   = 2 * time.Minute
	// defaultStallTimeout is how long a body may stand still, or the reading of an answer. Callers may be idle for 15 s.
	defaultStallTimeout = 15 * time.Second
	// defaultBodyTimeout is how long a whole body may take.
	defaultBodyTimeout = 30 * time.Second
	// defaultMultiple is the memory that a body of one byte may need until it is decoded: the buffer while it grows, and the
	// copies of its fields.
	defaultMultiple = 4
)

// Limits are the limits of one server. The zero value has the defaults for one connection and one body, and no limit for the
// number of either.
type Limits struct {
	connections int
	// memory is the budget of bodies in bytes.
	memory int64
	// multiple is the memory that a body needs for each of its bytes until it is decoded.
	multiple  int64
	bodyBytes func() int64
}

// NewLimits returns limits of the number of connections and of the memory for bodies, in bytes. Zero means no limit.
func NewLimits(connections int, memory int64) Limits {
	return Limits{connections: max(0, connections), memory: max(0, memory)}
}

// ForMachine returns the limits of callers on a machine with this memory, in bytes, and this number of descriptors; share is
// the fraction of the descriptors for this server. Zero means that the machine's limit is not known and sets none.
func ForMachine(memory int64, descriptors int, share float64) Limits {
	callers := int64(float64(memory) * callersMemoryShare)
	connections := int(float64(descriptors) * share)

	if memory > 0 {
		byMemory := max(1, int(callers/2/connectionBytes))
		if connections == 0 || byMemory < connections {
			connections = byMemory
		}
	}

	return NewLimits(connections, callers/2)
}

// WithBodyBytes returns limits in which a body has at most as many bytes as f returns. Zero means the default.
func (l Limits) WithBodyBytes(f func() int64) Limits {
	l.bodyBytes = f

	return l
}

// WithMultiple returns limits for a decoder that needs up to multiple bytes for each byte of a body.
func (l Limits) WithMultiple(multiple int64) Limits {
	l.multiple = multiple

	return l
}

// WithMaxConnections returns limits with no more connections than n.
func (l Limits) WithMaxConnections(n int) Limits {
	if l.connections > n {
		l.connections = n
	}

	return l
}

// WithDescriptors returns limits with connections for at most half of the descriptors that the process may open. The rest is for
// sessions and the log. Zero means that their number is not known.
func (l Limits) WithDescriptors(n int) Limits {
	if n <= 0 {
		return l
	}

	return l.WithMaxConnections(max(1, n/2))
}

// Active reports whether there is a limit of connections or memory.
func (l Limits) Active() bool { return l.connections > 0 || l.memory > 0 }

// Connections returns the largest number of connections, zero if there is no limit.
func (l Limits) Connections() int { return l.connections }

// Memory returns the budget of bodies in bytes, zero if there is no limit.
func (l Limits) Memory() int64 { return l.memory }

// BodyBytes returns the largest size of a body.
func (l Limits) BodyBytes() int64 {
	if l.bodyBytes != nil {
		if n := l.bodyBytes(); n > 0 {
			return n
		}
	}

	return defaultBodyBytes
}

func (l Limits) multipleOrDefault() int64 {
	if l.multiple > 0 {
		return l.multiple
	}

	return defaultMultiple
}
