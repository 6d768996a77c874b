package home

import "sync"

// memoryAccount counts the bytes of inputs, outputs and answers. The zero value has the default limit.
type memoryAccount struct {
	limitBytes int64

	mu        sync.Mutex
	usedBytes int64
	// deliveredHandles holds the submissions with a delivered answer, oldest delivery first.
	deliveredHandles []*Handle
}

// reserve reserves n bytes and drops delivered answers if necessary. It returns false if n bytes are not available.
func (m *memoryAccount) reserve(n int64) bool {
	m.evict(n)

	m.mu.Lock()
	defer m.mu.Unlock()

	if m.usedBytes+n > m.maxBytes() {
		return false
	}

	m.usedBytes += n

	return true
}

// add counts n more bytes without a check of the limit. A negative n releases bytes.
func (m *memoryAccount) add(n int64) {
	m.mu.Lock()
	m.usedBytes += n
	m.mu.Unlock()
}

func (m *memoryAccount) addDelivered(h *Handle) {
	m.mu.Lock()
	m.deliveredHandles = append(m.deliveredHandles, h)
	m.mu.Unlock()
	m.evict(0)
}

// compact removes handles from the head of the list whose answers were dropped on expiry rather than by evict, so that
// the list does not keep them in memory.
func (m *memoryAccount) compact() {
	m.mu.Lock()
	defer m.mu.Unlock()

	for len(m.deliveredHandles) > 0 && m.deliveredHandles[0].isReleased() {
		m.deliveredHandles[0] = nil
		m.deliveredHandles = m.deliveredHandles[1:]
	}
}

// evict drops delivered answers, oldest first, until n more bytes are available.
func (m *memoryAccount) evict(n int64) {
	for {
		m.mu.Lock()

		if m.usedBytes+n <= m.maxBytes() || len(m.deliveredHandles) == 0 {
			m.mu.Unlock()

			return
		}

		h := m.deliveredHandles[0]
		m.deliveredHandles[0] = nil
		m.deliveredHandles = m.deliveredHandles[1:]
		m.mu.Unlock()

		m.add(-h.releaseAnswer())
	}
}

func (m *memoryAccount) maxBytes() int64 {
	if m.limitBytes > 0 {
		return m.limitBytes
	}

	return defaultAnswerMemoryBytes
}

func (h *Handle) isReleased() bool {
	h.mu.Lock()
	defer h.mu.Unlock()

	return h.state == released
}

// releaseAnswer drops the answer and returns its size in bytes, or 0 if there is none.
func (h *Handle) releaseAnswer() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()

	if h.state != ended {
		return 0
	}

	n := len(h.body)
	h.state, h.body = released, nil

	return int64(n)
}
