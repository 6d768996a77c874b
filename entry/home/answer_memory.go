package home

import "sync"

// memory accounts for inputs, outputs and answers. The zero value works with the default limit.
type memory struct {
	limit int64

	mu   sync.Mutex
	used int64
	// order holds the submissions with a delivered answer, oldest delivery first.
	order []*Held
}

// reserve takes n bytes, and drops delivered answers if that is needed. It returns false if n bytes do not fit.
func (m *memory) reserve(n int64) bool {
	m.shrink(n)

	m.mu.Lock()
	defer m.mu.Unlock()

	if m.used+n > m.max() {
		return false
	}

	m.used += n

	return true
}

// add accounts for n bytes that cannot be refused any more.
func (m *memory) add(n int64) {
	m.mu.Lock()
	m.used += n
	m.mu.Unlock()
}

func (m *memory) delivered(h *Held) {
	m.mu.Lock()
	m.order = append(m.order, h)
	m.mu.Unlock()
	m.shrink(0)
}

// compact forgets answers that were dropped for another reason.
func (m *memory) compact() {
	m.mu.Lock()
	defer m.mu.Unlock()

	for len(m.order) > 0 && m.order[0].dropped() {
		m.order[0] = nil
		m.order = m.order[1:]
	}
}

// shrink drops delivered answers until n more bytes fit.
func (m *memory) shrink(n int64) {
	for {
		m.mu.Lock()

		if m.used+n <= m.max() || len(m.order) == 0 {
			m.mu.Unlock()

			return
		}

		h := m.order[0]
		m.order[0] = nil
		m.order = m.order[1:]
		m.mu.Unlock()

		m.add(-h.release())
	}
}

func (m *memory) max() int64 {
	if m.limit > 0 {
		return m.limit
	}

	return defaultAnswerMemory
}

func (h *Held) dropped() bool {
	h.mu.Lock()
	defer h.mu.Unlock()

	return h.state == released
}

// release drops the answer and returns its size.
func (h *Held) release() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()

	if h.state != ended {
		return 0
	}

	n := len(h.body)
	h.state, h.body = released, nil

	return int64(n)
}
