package ledger

import (
	"math"
	"time"
)

// BindingRetention is how long a binding is kept, by the log's time stamps. The lifetime of a key has to be shorter by
// the tolerated difference of the callers' clocks, so that no key is bound a second time while it is still accepted.
const BindingRetention = 15 * time.Minute

// bindings maps keys to tickets. It is persistent: adding returns a new value that shares most of its layers, since a
// copy of all bindings for each batch of records would cost more than the batch.
type bindings struct {
	// layers are immutable; each is less than half as large as the one before it. No key is in two layers, except that
	// an expired one may remain in an older layer.
	layers []map[bindingKey]boundTicket
	// timeMS is the largest time of the records read from the log.
	latestTimeMS int64
	// sinceMS is the time from which on no binding is missing.
	completeSinceMS int64
}

type bindingKey struct{ member, key string }

type boundTicket struct {
	ticket string
	timeMS int64
}

func (b bindings) expired(v boundTicket) bool {
	return v.timeMS < b.latestTimeMS-BindingRetention.Milliseconds()
}

func (b bindings) find(k bindingKey) (string, bool) {
	for i := len(b.layers) - 1; i >= 0; i-- {
		if v, ok := b.layers[i][k]; ok && !b.expired(v) {
			return v.ticket, true
		}
	}

	return "", false
}

func (b bindings) count() int {
	n := 0
	for _, l := range b.layers {
		n += len(l)
	}

	return n
}

// restart notes that records of the log were missed.
func (b bindings) markGap() bindings {
	b.completeSinceMS = math.MaxInt64

	return b
}

// seen notes the time of a record of the log.
func (b bindings) observeTime(timeMS int64) bindings {
	b.latestTimeMS = max(b.latestTimeMS, timeMS)
	if b.completeSinceMS == math.MaxInt64 {
		b.completeSinceMS = b.latestTimeMS
	}

	return b
}

// push adds a layer and merges layers of similar size, so that a lookup visits few of them.
func (b bindings) addLayer(fresh map[bindingKey]boundTicket) bindings {
	layers := make([]map[bindingKey]boundTicket, len(b.layers), len(b.layers)+1)
	copy(layers, b.layers)

	for len(layers) > 0 && 2*len(fresh) >= len(layers[len(layers)-1]) {
		fresh = b.merge(layers[len(layers)-1], fresh)
		layers = layers[:len(layers)-1]
	}

	if len(fresh) > 0 {
		layers = append(layers, fresh)
	}

	b.layers = layers

	return b
}

func (b bindings) merge(older, newer map[bindingKey]boundTicket) map[bindingKey]boundTicket {
	m := make(map[bindingKey]boundTicket, len(older)+len(newer))

	for k, v := range older {
		if !b.expired(v) {
			m[k] = v
		}
	}

	for k, v := range newer {
		if !b.expired(v) {
			m[k] = v
		}
	}

	return m
}
