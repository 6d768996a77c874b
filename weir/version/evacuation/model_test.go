package evacuation_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/matryer/is"

	"github.com/skylarkweir/skylarkweir/weir/version/evacuation"
)

const (
	modelSeeds = 3000
	modelSteps = 120
	// maxSettling limits the messages until all processes have the newest value.
	maxSettling = 1000
	// modelEntries of the processes of the model read the log, the others are sidecars.
	modelEntries   = 3
	modelProcesses = 6
)

var modelDomains = []string{"a", "b", "c"}

// modelLog is the operator's log. Records before first have vanished, except the newest one of each domain.
type modelLog struct {
	records []evacuation.Change
	begun   []bool
	domains []string
	first   int
}

func (l *modelLog) add(domain string, begun bool) {
	c := evacuation.Ended(domain)
	if begun {
		c = evacuation.Begun(domain)
	}

	l.records, l.begun, l.domains = append(l.records, c), append(l.begun, begun), append(l.domains, domain)
}

// at returns what is evacuated after the records before a position.
func (l *modelLog) at(position int64) []string {
	evacuated := []string{}

	for _, d := range modelDomains {
		if n := l.newest(d, int(position)); n >= 0 && l.begun[n] {
			evacuated = append(evacuated, d)
		}
	}

	return evacuated
}

// newest returns the offset of the newest record of a domain before a position, or -1.
func (l *modelLog) newest(domain string, position int) int {
	for n := position - 1; n >= 0; n-- {
		if l.domains[n] == domain {
			return n
		}
	}

	return -1
}

// modelProcess is an entry, which follows the log, or a sidecar.
type modelProcess struct {
	current evacuation.Current
	tracker evacuation.Tracker
	// next is the offset to read, negative before the newest records are read. page is the number of domains that are read
	// of the newest records, listed what was read of them, and end the end of the log at the first of them.
	next, page int
	listed     []evacuation.Change
	end        int
	// highest is the highest position that was in force.
	highest int64
}

func newModelProcess() *modelProcess { return &modelProcess{next: -1} }

// model is a deployment whose messages may be lost, doubled, delayed and reordered.
type model struct {
	random    *rand.Rand
	log       modelLog
	processes []*modelProcess
	messages  []modelMessage
	// adopt puts a value into force at a process; tests of the check itself replace it.
	adopt func(c *evacuation.Current, v evacuation.Value) bool
}

type modelMessage struct {
	to    int
	value evacuation.Value
}

func newModel(seed uint64) *model {
	m := &model{random: rand.New(rand.NewPCG(seed, 1)), adopt: func(c *evacuation.Current, v evacuation.Value) bool {
		_, adopted := c.Update(v)

		return adopted
	}}

	for range modelProcesses {
		m.processes = append(m.processes, newModelProcess())
	}

	return m
}

// receive passes a value on to the processes of the other kind if it is adopted.
func (m *model) receive(n int, v evacuation.Value) {
	if !m.adopt(&m.processes[n].current, v) {
		return
	}

	for to := range m.processes {
		if (to < modelEntries) != (n < modelEntries) {
			m.messages = append(m.messages, modelMessage{to, v})
		}
	}
}

// read is one call of an entry to the log.
func (m *model) read(n int) {
	p := m.processes[n]

	switch {
	case p.next < 0:
		m.readPage(n)
	case p.next < m.log.first:
		p.next, p.page, p.listed = -1, 0, nil
	default:
		until := min(len(m.log.records), p.next+1+m.random.IntN(3))
		for ; p.next < until; p.next++ {
			p.tracker.Apply(m.log.records[p.next])
		}

		m.publish(n)
	}
}

// readPage reads the newest record of one more domain. The record that ends an evacuation may have vanished.
func (m *model) readPage(n int) {
	p := m.processes[n]
	if p.page == 0 {
		p.end = len(m.log.records)
	}

	if k := m.log.newest(modelDomains[p.page], len(m.log.records)); k >= 0 && (m.log.begun[k] || k >= m.log.first) {
		p.listed = append(p.listed, m.log.records[k])
	}

	p.page++

	if p.page == len(modelDomains) {
		p.tracker.Reset(p.listed, int64(len(m.log.records)))
		p.next = p.end
		m.publish(n)
	}
}

func (m *model) publish(n int) {
	p := m.processes[n]
	if v, exact := p.tracker.Value(int64(p.next)); exact {
		m.receive(n, v)
	}
}

// connect opens a session, both sides of which send their values first.
func (m *model) connect(entry, sidecar int) {
	m.receive(entry, m.processes[sidecar].current.Value())
	m.receive(sidecar, m.processes[entry].current.Value())
}

func (m *model) step() {
	k := m.random.IntN(len(m.processes))

	switch m.random.IntN(10) {
	case 0:
		m.log.add(modelDomains[m.random.IntN(len(modelDomains))], m.random.IntN(2) == 0)
	case 1:
		m.log.first = max(m.log.first, m.random.IntN(len(m.log.records)+1))
	case 2:
		m.processes[k] = newModelProcess()
	case 3:
		m.connect(m.random.IntN(modelEntries), modelEntries+m.random.IntN(modelProcesses-modelEntries))
	case 4, 5, 6:
		m.read(m.random.IntN(modelEntries))
	default:
		m.deliver()
	}
}

// deliver delivers any message, or loses it, or delivers it again later.
func (m *model) deliver() {
	if len(m.messages) == 0 {
		return
	}

	n := m.random.IntN(len(m.messages))
	x := m.messages[n]

	if m.random.IntN(4) > 0 {
		m.messages = slices.Delete(m.messages, n, n+1)
	}

	if m.random.IntN(4) > 0 {
		m.receive(x.to, x.value)
	}
}

// violation returns what is wrong, or an empty string.
func (m *model) violation() string {
	for n, p := range m.processes {
		v := p.current.Value()

		if v.Position() < p.highest {
			return fmt.Sprintf("process %d went back from %d to %d", n, p.highest, v.Position())
		}

		p.highest = v.Position()

		if v.Position() > int64(len(m.log.records)) || !slices.Equal(v.Domains(), m.log.at(v.Position())) {
			return fmt.Sprintf("process %d has %v at %d, the log %v", n, v.Domains(), v.Position(), m.log.at(v.Position()))
		}
	}

	return ""
}

// settle lets the first entry alone read the log to its end, after all messages on their way were lost, and connects all.
func (m *model) settle() {
	m.messages = nil

	for p, n := m.processes[0], 0; n < maxSettling && (p.next < len(m.log.records) || p.current.Value().Position() < int64(len(m.log.records))); n++ {
		m.read(0)
	}

	m.messages = nil

	for entry := range modelEntries {
		for sidecar := modelEntries; sidecar < modelProcesses; sidecar++ {
			m.connect(entry, sidecar)
		}
	}

	for n := 0; len(m.messages) > 0 && n < maxSettling; n++ {
		x := m.messages[0]
		m.messages = m.messages[1:]
		m.receive(x.to, x.value)
	}
}

// run returns the first violation of a seed, or an empty string.
func (m *model) run() string {
	for range modelSteps {
		m.step()

		if v := m.violation(); v != "" {
			return v
		}
	}

	m.settle()

	for n, p := range m.processes {
		if v := p.current.Value(); v.Position() != int64(len(m.log.records)) {
			return fmt.Sprintf("process %d ends at %d of %d", n, v.Position(), len(m.log.records))
		}
	}

	return m.violation()
}

// Guards against a process that goes back to an older value, or has one that the log never had, and against one that never
// learns the newest, where records and messages are lost, doubled, delayed and reordered, processes are restarted and
// history is dropped.
func TestValuesFollowTheLog(t *testing.T) {
	for seed := range uint64(modelSeeds) {
		if v := newModel(seed).run(); v != "" {
			t.Fatalf("seed %d: %s", seed, v)
		}
	}
}

// Guards against a check that finds nothing: processes that adopt each value that is not the one in force violate it.
func TestModelFindsFaults(t *testing.T) {
	is := is.New(t)
	found := 0

	for seed := range uint64(modelSeeds / 10) {
		m := newModel(seed)
		m.adopt = func(c *evacuation.Current, v evacuation.Value) bool {
			if c.Value().Position() == v.Position() {
				return false
			}

			*c = evacuation.Current{}
			c.Update(v)

			return true
		}

		if m.run() != "" {
			found++
		}
	}

	is.True(found > modelSeeds/20)
}
