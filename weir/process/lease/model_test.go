package lease_test

import (
	"fmt"
	"time"

	"github.com/skylarkweir/skylarkweir/weir/connection/session"
	"github.com/skylarkweir/skylarkweir/weir/process/lease"
)

const (
	// step is the resolution of the model.
	step = time.Millisecond
	// horizon is the length of a scenario. All faults begin in its first third.
	horizon = 9 * time.Second
	// launchAt is when the task starts for the first time.
	launchAt = 500 * time.Millisecond
	// resubmitDelay is the time after which a caller that lost its answer sends the job again.
	resubmitDelay = 1300 * time.Millisecond
	// entryTick, sidecarTick and pauseThreshold are those of the two processes; callTimeout limits a call to the backend
	// server.
	entryTick, sidecarTick = 50 * time.Millisecond, 50 * time.Millisecond
	pauseThreshold         = 450 * time.Millisecond
	callTimeout            = 200 * time.Millisecond
	// latency is the time that a message takes without a fault.
	latency = 2 * time.Millisecond
)

// fault is something that happens during a scenario.
type fault struct {
	kind  faultKind
	at    time.Duration
	lasts time.Duration
}

type faultKind uint8

const (
	noFault faultKind = iota
	entryKilled
	entryPaused
	sidecarPaused
	// pathToSidecar and pathToEntry hold all frames in one direction back, pathBoth in both.
	pathToSidecar
	pathToEntry
	pathBoth
	// stopUnanswered loses the answers of calls to the backend server and carries the calls out late.
	callsLate
)

var faultNames = [...]string{
	"none", "entry killed", "entry paused", "sidecar paused", "frames to the sidecar late", "frames to the entry late",
	"frames late both ways", "calls to the backend server late",
}

func (f fault) String() string {
	return fmt.Sprintf("%s at %s for %s", faultNames[f.kind], f.at, f.lasts)
}

func (f fault) covers(now time.Duration) bool { return now >= f.at && now < f.at+f.lasts }

// scenario is a task of one job at one sidecar, with up to two faults.
type scenario struct {
	faults []fault
	// clockRate is the rate of the backend server's clock.
	clockRate float64
	// extraLease is how much longer than allowed the backend server runs tasks, to plant a fault.
	extraLease time.Duration
}

// message is a frame in transit.
type message struct {
	at    time.Duration
	work  bool
	close bool
}

// model runs a scenario with the decisions of the product in virtual time.
type model struct {
	scenario

	now                  time.Duration
	toSidecar, toEntry   []message
	entry, sidecar       session.Liveness
	lease                lease.Lease
	entryEnded           bool
	sidecarEnded         bool
	killed               bool
	lastEntryTick        time.Duration
	running, stopping    bool
	leaseEnd             time.Duration
	lastCall             time.Duration
	stopAt, nextStopCall time.Duration
	// secondRunAt is when a second run of the task may begin, zero if nothing has asked for one.
	secondRunAt time.Duration
}

// overlap runs the scenario and returns a time at which two runs of the task overlap, or zero.
func (s scenario) overlap() time.Duration {
	m := &model{scenario: s}
	m.entry.AllowIdleKeepAlives()
	m.sidecar.AllowIdleKeepAlives()

	for m.now = step; m.now < horizon; m.now += step {
		m.advance()

		if m.secondRunAt > 0 && m.now >= m.secondRunAt && m.running {
			return m.now
		}

		if m.now > launchAt && !m.running {
			return 0
		}
	}

	return 0
}

func (m *model) has(k faultKind) bool {
	for _, f := range m.faults {
		if f.kind == k && f.covers(m.now) {
			return true
		}
	}

	return false
}

// backendClock returns what the backend server's clock shows.
func (m *model) backendClock(now time.Duration) time.Duration {
	return time.Hour + time.Duration(float64(now)*m.clockRate)
}

func (m *model) advance() {
	if m.now == launchAt {
		m.launch()
	}

	if m.running && m.backendClock(m.now) >= m.leaseEnd+m.extraLease {
		m.running = false
	}

	if m.stopAt > 0 && m.now >= m.stopAt {
		m.running = false
	}

	for _, f := range m.faults {
		if f.kind == entryKilled && m.now == f.at {
			m.killed = true
			m.requestSecondRun(m.now + resubmitDelay)
		}
	}

	if !m.killed && !m.has(entryPaused) {
		m.runEntry()
	}

	if !m.has(sidecarPaused) {
		m.runSidecar()
	}
}

// launch starts the task. The session has been active since the reservation.
func (m *model) launch() {
	m.running = true
	m.lastEntryTick = m.now

	for _, l := range []*session.Liveness{&m.entry, &m.sidecar} {
		l.RecordContact(m.now, true)
		l.SetActive(true, m.now)
	}

	m.lease.RecordClock(m.backendClock(m.now), m.now, m.now)
	m.lease.RecordAnswer(m.now, m.now)
	m.leaseEnd = m.lease.Renew(m.now)
}

func (m *model) requestSecondRun(at time.Duration) {
	if m.secondRunAt == 0 || at < m.secondRunAt {
		m.secondRunAt = at
	}
}

// arrival returns when a message that is sent now arrives. A path that holds frames back delivers them in order later.
func (m *model) arrival(queue []message, held ...faultKind) time.Duration {
	at := m.now + latency

	for _, f := range m.faults {
		for _, k := range held {
			if f.kind == k && f.covers(m.now) {
				at = f.at + f.lasts + latency
			}
		}
	}

	if len(queue) > 0 {
		at = max(at, queue[len(queue)-1].at)
	}

	return at
}

func (m *model) sendToSidecar(msg message) {
	msg.at = m.arrival(m.toSidecar, pathToSidecar, pathBoth)
	m.toSidecar = append(m.toSidecar, msg)
	m.entry.RecordSent(m.now)
}

func (m *model) sendToEntry(msg message) {
	msg.at = m.arrival(m.toEntry, pathToEntry, pathBoth)
	m.toEntry = append(m.toEntry, msg)
	m.sidecar.RecordSent(m.now)
}

// receive passes the messages that have arrived to a live session, and calls handle after each. It reports whether the
// session ends.
func (m *model) receive(queue *[]message, l *session.Liveness, ended bool, handle func()) bool {
	for len(*queue) > 0 && (*queue)[0].at <= m.now {
		msg := (*queue)[0]
		*queue = (*queue)[1:]

		if ended {
			continue
		}

		if msg.close || l.Expired(m.now) {
			return true
		}

		l.RecordContact(m.now, msg.work)
		handle()
	}

	return false
}

// answer answers a report of the sidecar.
func (m *model) answer() {
	if m.entry.AnswerDue(m.now) {
		m.sendToSidecar(message{work: true})
	}
}

func (m *model) runEntry() {
	if m.receive(&m.toEntry, &m.entry, m.entryEnded, m.answer) {
		m.endAtEntry()
	}

	if m.now < launchAt || m.now-m.lastEntryTick < entryTick {
		return
	}

	gap := m.now - m.lastEntryTick
	m.lastEntryTick = m.now

	if gap > entryTick+pauseThreshold {
		// The job ends: its caller is told so and sends it again.
		m.sendToSidecar(message{close: true})
		m.requestSecondRun(m.now + resubmitDelay)

		m.entryEnded = true
	}

	if !m.entryEnded && m.entry.Expired(m.now) {
		m.endAtEntry()
	}

	if !m.entryEnded && m.entry.AnswerOverdue(m.now, entryTick) {
		m.sendToSidecar(message{work: true})
	}
}

// endAtEntry handles the loss of the sidecar at the entry, which places the task again once it can no longer run.
func (m *model) endAtEntry() {
	if m.entryEnded {
		return
	}

	m.entryEnded = true
	m.sendToSidecar(message{close: true})
	m.requestSecondRun(m.now + lease.MaxRunAfterLoss)
}

func (m *model) runSidecar() {
	if m.receive(&m.toSidecar, &m.sidecar, m.sidecarEnded, func() {}) {
		m.endAtSidecar()
	}

	if m.now < launchAt {
		return
	}

	if m.now%sidecarTick == 0 && !m.sidecarEnded {
		if m.sidecar.Expired(m.now) {
			m.endAtSidecar()
		} else if m.sidecar.KeepAliveDue(m.now, sidecarTick) {
			m.sendToEntry(message{work: true})
		}
	}

	m.callBackend()
}

func (m *model) endAtSidecar() {
	if m.sidecarEnded {
		return
	}

	m.sidecarEnded = true
	m.sidecar.SetActive(false, m.now)
	m.sendToEntry(message{close: true})

	m.stopping = true
	m.nextStopCall = m.now
}

// callBackend renews the lease and repeats an unanswered stop.
func (m *model) callBackend() {
	if m.running && m.now-m.lastCall >= lease.RenewalInterval && m.lease.RenewalDue(m.now) {
		m.lastCall = m.now

		if end := m.lease.Renew(m.now); end > m.leaseEnd {
			m.leaseEnd = end // a call that is carried out late carries the same end
		}

		if !m.has(callsLate) {
			m.lease.RecordClock(m.backendClock(m.now), m.now, m.now)
			m.lease.RecordAnswer(m.now, m.now)
		}
	}

	if m.stopping && m.stopAt == 0 && m.now >= m.nextStopCall {
		m.nextStopCall = m.now + callTimeout + sidecarTick

		if !m.has(callsLate) {
			m.stopAt = m.now + latency
		}
	}
}
