package succession_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/skylarkweir/skylarkweir/weir/process/succession"
	"github.com/skylarkweir/skylarkweir/weir/request/job"
)

const (
	// horizon is the length of a scenario; nothing goes wrong any more from calmAt on.
	horizon = 12 * time.Second
	calmAt  = 7 * time.Second
	// heartbeatInterval, callInterval and maxDelay are the times between announcements and between calls, and the longest
	// delay of a message that is not lost.
	heartbeatInterval = 1500 * time.Millisecond
	callInterval      = 150 * time.Millisecond
	maxDelay          = 3 * time.Second
	// leaseTime is the lease that each call gives to what runs, and silence the time without an answer after which it is
	// given up once the last lease has ended.
	leaseTime = 600 * time.Millisecond
	silence   = 400 * time.Millisecond
	// clockAtStart is the backend server's clock when a process begins.
	clockAtStart = time.Second
)

// plantedFault is a fault that the model has to find.
type plantedFault uint8

const (
	noFault plantedFault = iota
	// announcementEndsRuns gives up what runs when another incarnation is announced.
	announcementEndsRuns
	// noClock orders announcements by their numbers only.
	noClock
)

// process is one run of the process of a backend server. Its zero value has not begun.
type process struct {
	instance string
	born     int64
	beganAt  time.Duration
	alive    bool
	draining bool
	// sequence is the number of its last announcement.
	sequence int64
	// leaseEnd is when the lease of what runs there ends; runs is true from a start until it has ended.
	leaseEnd time.Duration
	runs     bool
	// drainKnown is true once an announcement that it drains was answered.
	drainKnown bool
}

func (p *process) clock(now time.Duration) time.Duration { return clockAtStart + now - p.beganAt }

// event is something that happens at a time; events at the same time happen in the order of their numbers.
type event struct {
	at     time.Duration
	number int
	act    func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].number < q[j].number
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]

	return last
}

// model is a sidecar beside a backend server, whose messages are delayed, doubled and lost, and another writer.
type model struct {
	random *rand.Rand
	fault  plantedFault
	now    time.Duration
	queue  eventQueue
	events int

	// server is the process that listens now, processes counts all of them.
	server    *process
	processes int

	state succession.State
	// incarnation counts what came into force. ranAt is the process where the sidecar has started something, nil if nothing.
	incarnation int
	ranAt       *process
	// lastAnswer and lastRenewal are the times of the last answer and of the last call with a lease. reading is the last
	// reading of the backend server's clock, readingSent when it was asked for, zero before.
	lastAnswer, lastRenewal time.Duration
	reading, readingSent    time.Duration
	refused                 bool
	violation               string
	log                     []string
}

func newModel(seed uint64, f plantedFault) *model {
	m := &model{random: rand.New(rand.NewPCG(seed, 1)), fault: f}
	m.startProcess("i-0")
	m.heartbeat()
	m.call()
	m.disrupt()

	return m
}

// run plays the scenario and returns what was violated, or an empty string.
func (m *model) run() string {
	for len(m.queue) > 0 && m.violation == "" {
		e := heap.Pop(&m.queue).(event)
		if e.at > horizon {
			break
		}

		m.now = e.at
		m.endLapsedRun()
		e.act()
	}

	if m.violation == "" {
		m.checkEnd()
	}

	return m.violation
}

func (m *model) after(d time.Duration, act func()) {
	m.events++
	heap.Push(&m.queue, event{m.now + d, m.events, act})
}

func (m *model) note(format string, args ...any) {
	m.log = append(m.log, fmt.Sprintf("%8s ", m.now)+fmt.Sprintf(format, args...))
}

func (m *model) violate(format string, args ...any) {
	m.note(format, args...)
	m.violation = fmt.Sprintf(format, args...)
}

func (m *model) chance(percent int) bool { return m.random.IntN(100) < percent }

// isCalm reports whether messages arrive in time.
func (m *model) isCalm() bool { return m.now >= calmAt }

// send delivers a message: soon, or late, twice or not at all.
func (m *model) send(deliver func()) {
	if m.isCalm() {
		m.after(time.Millisecond, deliver)

		return
	}

	for range 1 + m.random.IntN(5)/4 {
		switch {
		case m.chance(15):
		case m.chance(20):
			m.after(time.Duration(m.random.Int64N(int64(maxDelay))), deliver)
		default:
			m.after(time.Duration(1+m.random.IntN(10))*time.Millisecond, deliver)
		}
	}
}

func (m *model) startProcess(instance string) {
	m.processes++
	m.server = &process{instance: instance, born: int64(1000 * m.processes), beganAt: m.now, alive: true}
	m.note("process %s begins", instance)
}

// heartbeat sends the announcements of the process that listens now.
func (m *model) heartbeat() {
	if p := m.server; p.alive {
		p.sequence++
		a, drains := m.announcementOf(p, p.sequence, p.clock(m.now), p.draining), p.draining
		m.send(func() {
			if r := m.announce(a); drains && r.InForce() {
				p.drainKnown = true
			}
		})
	}

	m.after(heartbeatInterval, m.heartbeat)
}

func (m *model) announcementOf(p *process, sequence int64, clock time.Duration, drains bool) succession.Announcement {
	return m.announcement(p.instance, p.born, sequence, clock, drains)
}

func (m *model) announcement(
	instance string, born, sequence int64, clock time.Duration, drains bool,
) succession.Announcement {
	a := succession.NewAnnouncement(instance, "s", "d", born, sequence, job.NewSize(1000, 1), nil, drains)
	if m.fault == noClock {
		return a
	}

	return a.WithClock(clock)
}

// announce passes an announcement to the sidecar, which does what the worker of the product does.
func (m *model) announce(a succession.Announcement) succession.Result {
	r := m.state.Announce(a, m.now, m.hasReached)
	m.note("announcement of %s, born %d, drains %t: %s", a.Instance(), a.StartedAtMS(), a.Draining(), r)

	switch r {
	case succession.Began:
		m.begin()
	case succession.Pending:
		if m.fault == announcementEndsRuns {
			m.end()
		} else {
			m.callOnce()
		}
	default:
	}

	return r
}

func (m *model) hasReached(clock time.Duration) bool {
	return m.readingSent == 0 || clock <= m.reading+m.now-m.readingSent
}

func (m *model) begin() {
	m.incarnation++
	m.lastAnswer, m.lastRenewal, m.reading, m.readingSent, m.refused = m.now, 0, 0, 0, false
}

// end ends the incarnation in force and gives up what runs.
func (m *model) end() {
	m.giveUp()

	if m.state.End() {
		m.begin()
	}
}

// giveUp reports what runs as lost, so that it is started elsewhere.
func (m *model) giveUp() {
	if p := m.ranAt; p != nil && p.runs {
		m.violate("given up while it runs at %s", p.instance)
	}

	m.ranAt = nil
}

// call calls the backend server again and again.
func (m *model) call() {
	if m.state.InForce() {
		m.callOnce()
		m.finishDeparture()
	}

	m.after(callInterval, m.call)
}

// callOnce sends a call for the incarnation in force, which renews the lease.
func (m *model) callOnce() {
	incarnation, instance, sent := m.incarnation, m.state.Current().Instance(), m.now
	renews := m.now-m.lastAnswer <= silence && !m.state.Departed()

	if renews {
		m.lastRenewal = m.now
	}

	m.send(func() {
		p := m.server

		switch {
		case !p.alive:
			m.send(func() { m.handleRefusal(incarnation) })
		case p.instance != instance:
			m.send(func() { m.handleOtherInstance(incarnation) })
		default:
			if renews {
				p.leaseEnd = max(p.leaseEnd, sent+leaseTime)
			}

			born, clock := p.born, p.clock(m.now)
			m.send(func() { m.handleAnswer(incarnation, born, clock, sent) })
		}
	})
}

func (m *model) handleRefusal(incarnation int) {
	if m.incarnation == incarnation {
		m.refused = true
	}
}

func (m *model) handleOtherInstance(incarnation int) {
	if m.incarnation == incarnation && m.state.InForce() {
		m.note("another instance has answered")
		m.end()
	}
}

func (m *model) handleAnswer(incarnation int, born int64, clock, sent time.Duration) {
	if m.incarnation != incarnation || !m.state.InForce() {
		return
	}

	if m.state.RecordAnswer(born, sent).IsRestarted() {
		m.note("a later process has answered")
		m.end()

		return
	}

	m.lastAnswer, m.refused = m.now, false

	if sent >= m.readingSent {
		m.reading, m.readingSent = clock, sent
	}

	m.launch()
}

// launch starts something if nothing runs and the backend server accepts it.
func (m *model) launch() {
	p := m.server
	if m.ranAt != nil || m.state.Current().Draining() || !p.alive ||
		p.instance != m.state.Current().Instance() || p.born != m.state.Current().StartedAtMS() {
		return
	}

	if p.drainKnown {
		m.violate("start at %s after its drain was answered", p.instance)
	}

	m.note("start at %s, born %d", p.instance, p.born)
	m.ranAt, p.runs, p.leaseEnd = p, true, m.now+leaseTime
	m.lastRenewal = m.now
}

// isExpired reports whether the lease of what runs has ended although the backend server answers nothing.
func (m *model) isExpired() bool {
	return m.now-m.lastAnswer > silence && m.now > m.lastRenewal+leaseTime
}

// finishDeparture gives up what runs once its lease has ended, and ends an incarnation that has left.
func (m *model) finishDeparture() {
	if m.isExpired() {
		m.giveUp()
	}

	if m.state.Departed() && (m.ranAt == nil || !m.ranAt.runs && m.isExpired()) {
		m.end()
	}
}

func (m *model) endLapsedRun() {
	if p := m.ranAt; p != nil && (m.now > p.leaseEnd || !p.alive) {
		p.runs = false
	}
}

// disrupt lets something happen to the backend server, or another writer send something, until calmAt.
func (m *model) disrupt() {
	if m.isCalm() {
		if !m.server.alive {
			m.startProcess(m.server.instance)
		}

		m.after(heartbeatInterval, m.disrupt)

		return
	}

	p := m.server

	switch {
	case !p.alive:
		// Restarts under the same id or another one.
		m.startProcess([]string{p.instance, fmt.Sprintf("i-%d", m.processes)}[m.random.IntN(2)])
	case m.chance(15):
		m.crash()
	case m.chance(20):
		p.draining = true
		m.note("%s drains", p.instance)
	case p.draining && m.chance(40):
		m.note("%s leaves", p.instance)
		m.send(func() { m.depart(p.instance, 0) })
		m.after(time.Duration(m.random.IntN(1000))*time.Millisecond, func() {
			if m.server == p && p.alive {
				m.crash()
			}
		})
	default:
		m.otherWriter(p)
	}

	m.after(time.Duration(1+m.random.IntN(700))*time.Millisecond, m.disrupt)
}

func (m *model) crash() {
	m.note("%s ends", m.server.instance)
	m.server.alive, m.server.runs = false, false
}

func (m *model) depart(instance string, born int64) {
	if m.state.Depart(instance, born) {
		m.note("notice that %s leaves", instance)
	}
}

// otherWriter sends an announcement or a notice that the backend server has not sent. One with the id and the start of the
// process has a clock that does not fit: a reading that the process has just shown can't be told from its own.
func (m *model) otherWriter(p *process) {
	high := int64(1) << 39
	instances := []string{"x-1", "x-2"}
	instance := instances[m.random.IntN(len(instances))]

	switch m.random.IntN(6) {
	case 0:
		m.announce(m.announcement(instance, p.born+1, 1, time.Hour, false))
	case 1:
		m.announce(m.announcement(instance, p.born, high, p.clock(m.now), m.chance(50)))
	case 2:
		m.announce(m.announcement(instance, p.born-1, 1, 1, false))
	case 3:
		m.announce(m.announcement(p.instance, p.born+1, 1, p.clock(m.now), m.chance(50)))
	case 4:
		m.announce(m.announcementOf(p, high, time.Millisecond, false))
	case 5:
		m.announce(m.announcementOf(p, high, p.clock(m.now)+time.Hour, false))
	}
}

// checkEnd checks that the sidecar has found the process that listens, after a time without disruptions.
func (m *model) checkEnd() {
	c, p := m.state.Current(), m.server

	switch {
	case !m.state.InForce() && p.draining:
		// A late notice of an earlier process with the same id has ended it; it is not to be used anyway.
	case !m.state.InForce() || c.Instance() != p.instance || c.StartedAtMS() != p.born:
		m.violate("%s (born %d) is in force, not %s (born %d)", c.Instance(), c.StartedAtMS(), p.instance, p.born)
	case p.draining && !c.Draining():
		m.violate("the drain of %s is not known", p.instance)
	case !p.draining && c.Draining():
		m.violate("%s is not used although it is ready", p.instance)
	}
}
