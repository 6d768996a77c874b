package lease_test

import (
	"fmt"
	"slices"
	"time"

	"github.com/skylarkweir/skylarkweir/weir/process/answertime"
	"github.com/skylarkweir/skylarkweir/weir/process/lease"
)

const (
	// startHorizon is the length of a scenario, placingEnds the time after which the entry places the task no more. What
	// is carried out late comes in between.
	startHorizon, placingEnds = 6500 * time.Millisecond, 3 * time.Second
	// modelServers is the number of backend servers at which the task may be placed.
	modelServers = 2
)

// plantedFault is a fault that the model is to find.
type plantedFault uint8

const (
	noPlantedFault plantedFault = iota
	// lastReplySettles takes the last reply to a start for the fate of all its tries.
	lastReplySettles
	// outdatedRaisesNumber starts the task with a higher run number after a repeat that was rejected as outdated.
	outdatedRaisesNumber
	// restartSettles takes the end of a process for the fate of the calls that are still on their way to it.
	restartSettles
)

// event is something that happens at a time in the model.
type event struct {
	at  time.Duration
	run func()
}

// startModel runs one task in virtual time: an entry that places it again as soon as it is told that it is not done, and
// sidecars whose calls may be lost, answered late, carried out late or rejected.
type startModel struct {
	draw     drawer
	fault    plantedFault
	now      time.Duration
	events   []event
	sidecars [modelServers]*sidecarModel
	done     bool
	// isSidecarLost is true once the entry has lost a sidecar with the task: that the task is done there is not told.
	isSidecarLost bool
	// violation describes the first rule that was broken, empty if none was.
	violation string
}

// runStarts runs a scenario and returns the rule that it broke, or an empty string.
func runStarts(draw drawer, fault plantedFault) string {
	m := &startModel{draw: draw, fault: fault, now: step}

	for n := range m.sidecars {
		rate := float64(draw("clock rate", 980, 1000)) / 1000
		s := &sidecarModel{
			startModel: m, backend: &backendModel{rate: rate}, lease: &lease.Lease{}, token: 1,
			repeatAfter: drawTime(draw, "repeat after", answertime.MinLimit, answertime.MaxLimit),
		}
		m.sidecars[n] = s

		s.lease.RecordAnswer(m.now, m.now)
		s.watch(50 * time.Millisecond)
		m.after(time.Millisecond, func() { s.watch(150 * time.Millisecond) })
	}

	m.after(launchAt, m.place)
	m.disrupt()

	for m.violation == "" && m.now < startHorizon && len(m.events) > 0 {
		m.advance()
	}

	return m.violation
}

// disrupt restarts a backend server under its id, or lets the entry lose a sidecar.
func (m *startModel) disrupt() {
	const disruptions = 4

	at := drawTime(m.draw, "disruption", launchAt, 2*time.Second)
	s := m.sidecars[m.draw("disrupted", 0, modelServers-1)]

	switch m.draw("kind of disruption", 0, disruptions) {
	case 0:
		m.after(at, s.lose)
	case 1, 2:
		down := drawTime(m.draw, "down for", 0, 800*time.Millisecond)
		announced := down + drawTime(m.draw, "announced after", step, 300*time.Millisecond)

		m.after(at, func() {
			s.backend.crash()
			m.after(down, func() { s.backend.restart(m.now) })
		})
		m.after(at+announced, s.announce)
	}
}

// advance runs the next event. Events of the same time run in the order in which they were added.
func (m *startModel) advance() {
	next := 0

	for n := range m.events {
		if m.events[n].at < m.events[next].at {
			next = n
		}
	}

	e := m.events[next]
	m.events = slices.Delete(m.events, next, next+1)
	m.now = e.at
	e.run()
}

func (m *startModel) after(d time.Duration, run func()) {
	m.events = append(m.events, event{m.now + d, run})
}

// call sends a try of a call to a server: it carries the try out, and then its answer, the refusal of the connection or the
// end of the time for it is handled. A server that is down carries nothing out.
func (m *startModel) call(b *backendModel, fate callFate, carryOut func(), handle func(answered bool)) {
	isCarriedOut := false

	if b.isDown {
		fate = undelivered
	}

	if fate.carriedOutAfter >= 0 {
		m.after(fate.carriedOutAfter, func() {
			if !b.isDown {
				isCarriedOut = true

				carryOut()
			}
		})
	}

	switch answered := fate.carriedOutAfter + fate.answerAfter; {
	case fate.undelivered:
		m.after(latency, func() { handle(false) })
	case fate.answerAfter >= 0 && answered < callTimeout:
		m.after(answered, func() { handle(isCarriedOut || fate.rejection != accepted) })
	default:
		m.after(callTimeout, func() { handle(false) })
	}
}

// place launches the task at a sidecar.
func (m *startModel) place() {
	if m.done || m.now > placingEnds {
		return
	}

	m.sidecars[m.draw("placed at", 0, modelServers-1)].launch()
}

// tell tells the entry that the task has ended at a sidecar.
func (m *startModel) tell(done bool) {
	m.done = m.done || done
	m.after(2*latency, m.place)
}

// begin checks a run that begins at a backend server, and lets it run for a while.
func (m *startModel) begin(b *backendModel) {
	for n, s := range m.sidecars {
		s.backend.applyLeaseExpiry(m.now)

		switch {
		case s.backend != b && s.backend.running != 0:
			m.violation = fmt.Sprintf("%s: a run begins while another one goes on at server %d since %s", m.now, n, s.backend.beganAt)
		case s.backend.done && !m.isSidecarLost:
			m.violation = fmt.Sprintf("%s: a run begins although the task was done at server %d", m.now, n)
		}
	}

	run, done := b.running, m.draw("run fails", 0, 4) > 0

	m.after(drawTime(m.draw, "run time", step, 1500*time.Millisecond), func() {
		b.applyLeaseExpiry(m.now)

		if b.running == run {
			b.end(done)
		}
	})
}
