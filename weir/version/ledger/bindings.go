package ledger

import (
	"math"
	"time"
)

// BindingRetention is how long a binding is kept, measured by the timestamps of the log. The lifetime of an idempotency
// key must be shorter by at least the tolerated clock skew of callers, so that no key is bound a second time while it
// is still accepted.
const BindingRetention = 15 * time.Minute

// bindings maps idempotency keys to tickets. It is a persistent data structure: addLayer returns a new value that
// shares most layers with the old one, because copying all bindings for each batch of records would cost more than the
// batch.
type bindings struct {
	// layers are immutable, and each is less than half as large as the one before it. No key is in two layers, except
	// that its expired binding may remain in an older layer.
	layers []map[bindingKey]boundTicket
	// latestTimeMS is the latest timestamp of the records read from the log.
	latestTimeMS int64
	// completeSinceMS is the log time since which no binding is missing: zero if none was ever missed, math.MaxInt64 if
	// no record was read after a gap.
	completeSinceMS int64
}

type bindingKey struct{ member, key string }

type boundTicket struct {
	ticket string
	timeMS int64
}

func (b bindings) expired(t boundTicket) bool {
	return t.timeMS < b.latestTimeMS-BindingRetention.Milliseconds()
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

// markGap records that records of the log were missed, so that bindings are complete only from the next record on.
func (b bindings) markGap() bindings {
	b.completeSinceMS = math.MaxInt64

	return b
}

// observeTime updates the times with the timestamp of a record read from the log.
func (b bindings) observeTime(timeMS int64) bindings {
	b.latestTimeMS = max(b.latestTimeMS, timeMS)
	if b.completeSinceMS == math.MaxInt64 {
		b.completeSinceMS = b.latestTimeMS
	}

	return b
}

// addLayer adds a layer and merges layers of similar size, so that a lookup visits few of them.
func (b bindings) addLayer(added map[bindingKey]boundTicket) bindings {
	layers := make([]map[bindingKey]boundTicket, len(b.layers), len(b.layers)+1)
	copy(layers, b.layers)

	for len(layers) > 0 && 2*len(added) >= len(layers[len(layers)-1]) {
		added = b.merge(layers[len(layers)-1], added)
		layers = layers[:len(layers)-1]
	}

	if len(added) > 0 {
		layers = append(layers, added)
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
