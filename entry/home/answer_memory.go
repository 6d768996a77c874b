package home

import "sync"

// memory accounts for inputs, outputs and answers. The zero value works with the default limit.
type memoryAccount struct {
	limitBytes int64

	mu        sync.Mutex
	usedBytes int64
	// order holds the submissions with a delivered answer, oldest delivery first.
	deliveredHandles []*Handle
}

// reserve takes n bytes, and drops delivered answers if that is needed. It returns false if n bytes do not fit.
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

// add accounts for n bytes that cannot be refused any more.
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

// compact forgets answers that were dropped for another reason.
func (m *memoryAccount) compact() {
	m.mu.Lock()
	defer m.mu.Unlock()

	for len(m.deliveredHandles) > 0 && m.deliveredHandles[0].isReleased() {
		m.deliveredHandles[0] = nil
		m.deliveredHandles = m.deliveredHandles[1:]
	}
}

// shrink drops delivered answers until n more bytes fit.
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

// release drops the answer and returns its size.
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
