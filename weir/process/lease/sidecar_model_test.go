package lease_test

import (
	"time"

	"github.com/skylarkweir/skylarkweir/weir/connection/session"
	"github.com/skylarkweir/skylarkweir/weir/process/delivery"
	"github.com/skylarkweir/skylarkweir/weir/process/lease"
)

const (
	// maxRejections is the number of rejections after which the sidecar gives a start up, startPatience how long it sends it
	// again, runNumberUnit the unit of its run numbers.
	maxRejections = 3
	startPatience = 500 * time.Millisecond
	runNumberUnit = 100 * time.Millisecond
	// maxStopTime is how long a stop may go without an answer before the lease is let go.
	maxStopTime = time.Second
)

// sidecarModel is a sidecar with its backend server. What may be told of a start is decided by delivery.Call, how long
// the task may run by lease.Lease.
type sidecarModel struct {
	*startModel

	backend *backendModel
	// process is the process of the backend server that has announced itself last, and lease that of its tasks. hasEnded is
	// true once it is known to have ended.
	process  int
	lease    *lease.Lease
	hasEnded bool
	// token is the fencing token, leaseEnd the highest end of a lease that was sent, on the backend server's clock.
	token    int
	leaseEnd time.Duration
	// listedAt is when the newest call was sent that this process has answered with a list, notReached whether a call was
	// refused since.
	listedAt   time.Duration
	notReached bool
	// repeatAfter is how long after a try without an answer the next one is sent, while it may still be answered.
	repeatAfter time.Duration
	ready       bool
	lastEnd     int
	// task is the task if it is launched here, otherwise nil.
	task *taskModel
}

// taskModel is the task at one sidecar.
type taskModel struct {
	run       int64
	startedAt time.Duration
	call      delivery.Call
	lastReply delivery.Reply
	// tries is the number of tries of the start, rejections that of the rejected ones.
	tries, rejections               int
	startAnsweredAt, stopAnsweredAt time.Duration
	confirmedAt, stopRequestedAt    time.Duration
	stopping                        bool
	// abandoned is true once the entry waits no more, held while a later process may still run the task.
	abandoned, held bool
	// isLossKnown is true once the sidecar knows that the entry waits no more.
	isLossKnown bool
}

// claim returns what the sidecar tells of the start. The planted fault takes the last reply for the fate of all tries.
func (s *sidecarModel) claim(t *taskModel) delivery.Claim {
	if s.fault != lastReplySettles {
		return t.call.Claim()
	}

	var last delivery.Call

	last.Record(t.lastReply)

	return last.Claim()
}

func (s *sidecarModel) launch() {
	if !s.ready || s.task != nil {
		s.tell(false)

		return
	}

	t := &taskModel{run: int64(s.now / runNumberUnit), startedAt: s.now}
	s.task = t
	s.lease.BeginWork(s.now)
	s.sendStart(t)

	if s.draw("is stopped", 0, 3) == 0 {
		s.after(drawTime(s.draw, "stopped after", 0, time.Second), func() { s.stop(t) })
	}
}

// awaitsStart reports whether the task has neither started nor ended, and is not to be stopped.
func (s *sidecarModel) awaitsStart(t *taskModel) bool {
	return s.task == t && t.startAnsweredAt == 0 && !t.stopping
}

// sendStart sends a try of the start.
func (s *sidecarModel) sendStart(t *taskModel) {
	t.tries++
	t.call.Send()

	leaseEnd := s.renew()
	if leaseEnd == 0 {
		s.record(t, delivery.NotDelivered)
		s.giveUpStart(t)

		return
	}

	try, sent, run, fate := t.tries, s.now, t.run, drawStartFate(s.draw)
	result, process, token, l := fate.rejection, s.backend.process, s.token, s.lease

	if s.backend.isDown {
		fate = undelivered
	}

	s.call(s.backend, fate, func() {
		// A start of a task that was settled before the restart is kept back by nothing but the fencing token.
		if fate.rejection != accepted || s.backend.process != process && s.task != t {
			return
		}

		var begins bool
		if result, begins = s.backend.start(s.now, run, leaseEnd, token); begins {
			s.begin(s.backend)
		}
	}, func(answered bool) {
		if answered && result == accepted {
			l.RecordAnswer(sent, s.now)
		}

		if s.handleStartAnswer(t, run, startReply(fate, result, answered), result) {
			s.repeatStart(t, try)
		}
	})

	s.after(s.repeatAfter, func() { s.repeatStart(t, try) })
}

// repeatStart sends another try after the last one, or gives the start up.
func (s *sidecarModel) repeatStart(t *taskModel, try int) {
	switch {
	case t.tries != try || !s.awaitsStart(t):
	case s.now-t.startedAt < startPatience:
		s.sendStart(t)
	default:
		s.giveUpStart(t)
	}
}

func startReply(fate callFate, result rejection, answered bool) delivery.Reply {
	switch {
	case fate.undelivered:
		return delivery.NotDelivered
	case !answered:
		return delivery.NoReply
	case result == accepted:
		return delivery.Confirmed
	default:
		return delivery.Declined
	}
}

func (s *sidecarModel) record(t *taskModel, r delivery.Reply) {
	t.call.Record(r)
	t.lastReply = r
}

// handleStartAnswer handles the answer to a try of the start of a run, and reports whether to send the start again.
func (s *sidecarModel) handleStartAnswer(t *taskModel, run int64, reply delivery.Reply, result rejection) bool {
	if s.task != t {
		return false
	}

	s.record(t, reply)

	if reply == delivery.Confirmed {
		t.confirmedAt = s.now

		if t.startAnsweredAt == 0 && !t.held {
			t.startAnsweredAt = s.now
		}
	}

	if reply == delivery.NotDelivered {
		s.recordRefusal()
	}

	switch {
	case t.startAnsweredAt > 0:
		return false
	case !t.stopping && s.prepareRepeat(t, run, reply, result):
		return true
	default:
		s.giveUpStart(t)

		return false
	}
}

func (s *sidecarModel) prepareRepeat(t *taskModel, run int64, reply delivery.Reply, result rejection) bool {
	if reply == delivery.NoReply {
		return true
	}

	t.rejections++

	if reply != delivery.Declined || t.rejections >= maxRejections {
		return false
	}

	switch result {
	case fenced:
		s.token++

		return true
	case leaseExpired:
		return true
	case outdated:
		if s.fault != outdatedRaisesNumber && s.claim(t) == delivery.MayRun {
			return false
		}

		t.run = run + 1

		return true
	default:
		return false
	}
}

func (s *sidecarModel) giveUpStart(t *taskModel) {
	if s.claim(t) == delivery.NeverRan {
		s.finish(false)

		return
	}

	s.stop(t)
}

// finish ends the task at this sidecar and tells the entry whether it is done, unless the entry has lost the sidecar.
func (s *sidecarModel) finish(done bool) {
	abandoned := s.task.abandoned
	s.task = nil

	if !abandoned {
		s.tell(done)
	}
}

// lose lets the entry lose the sidecar: it places the task again after a time, and the sidecar finds out a little later.
func (s *sidecarModel) lose() {
	t := s.task
	if t == nil {
		return
	}

	t.abandoned, s.isSidecarLost = true, true
	s.after(lease.MaxRunAfterLoss, s.place)
	s.after(drawTime(s.draw, "loss found after", 0, session.Timeout), func() {
		t.isLossKnown = true
		s.stop(t)
	})
}

func (s *sidecarModel) stop(t *taskModel) {
	if s.task == t && !t.stopping {
		t.stopping, t.stopRequestedAt = true, s.now
		s.sendStop(t)
	}
}

// sendStop sends a stop until one is answered.
func (s *sidecarModel) sendStop(t *taskModel) {
	const sound = 4

	if s.task != t || t.held || t.stopAnsweredAt > 0 {
		return
	}

	run, token := t.run, s.token
	s.call(s.backend, drawFate(s.draw, "stop", sound), func() { s.backend.stop(s.now, run, token) }, func(answered bool) {
		if answered && t.stopAnsweredAt == 0 && !t.held {
			t.stopAnsweredAt = s.now
		}
	})

	s.after(s.repeatAfter, func() { s.sendStop(t) })
}

func (s *sidecarModel) renew() time.Duration {
	if !s.ready {
		return 0
	}

	if t := s.task; t != nil && t.stopping && t.stopAnsweredAt == 0 &&
		(t.isLossKnown || s.now-t.stopRequestedAt > maxStopTime) {
		return s.leaseEnd
	}

	leaseEnd := s.lease.Renew(s.now)
	s.leaseEnd = max(s.leaseEnd, leaseEnd)

	return leaseEnd
}

// recordRefusal records a refused connection. Starts that were sent before it are fenced by the next call.
func (s *sidecarModel) recordRefusal() {
	if !s.notReached {
		s.notReached = true
		s.token++
		s.lease.Suspend()
	}
}

// loseTask reports the task as lost after the end of a process, unless a later one with the same id may still run it.
func (s *sidecarModel) loseTask(restarted bool) {
	t := s.task

	switch {
	case t == nil || t.held:
	case s.fault != restartSettles && (!t.call.Settled() || restarted && t.confirmedAt > s.listedAt):
		t.held, t.stopping = true, true
	default:
		s.finish(false)
	}
}

// endProcess ends the incarnation after a later process is known to have started.
func (s *sidecarModel) endProcess() {
	if !s.hasEnded {
		s.hasEnded, s.ready = true, false
		s.token++
		s.loseTask(true)
	}
}

// announce begins the incarnation of the process that has started last.
func (s *sidecarModel) announce() {
	s.endProcess()

	s.process, s.hasEnded, s.notReached = s.backend.process, false, false
	s.lease, s.leaseEnd, s.lastEnd, s.listedAt = &lease.Lease{}, 0, 0, 0
	s.lease.RecordAnswer(s.now, s.now)
}

// watch calls the backend server again and again at an interval. Two such loops let answers overtake each other.
func (s *sidecarModel) watch(interval time.Duration) {
	const sound = 6

	var list modelList

	if s.hasEnded {
		s.after(step, func() { s.watch(interval) })

		return
	}

	sent, seen, leaseEnd := s.now, s.lastEnd, s.renew()
	process, token, l, refused := s.process, s.token, s.lease, s.backend.isDown
	l.ExpectAnswer(0, s.now)

	s.call(s.backend, drawFate(s.draw, "watch", sound), func() {
		list = s.backend.watch(s.now, seen, leaseEnd, token)
	}, func(answered bool) {
		switch {
		case s.process != process || s.hasEnded:
		case answered:
			l.RecordClock(list.clock, sent, s.now)
			l.RecordAnswer(sent, s.now)
			s.handleList(list, sent)
		default:
			s.handleNoList(refused)
		}

		pause := interval
		if s.ready && s.task == nil {
			pause = lease.WatchWait
		}

		s.after(pause, func() { s.watch(interval) })
	})
}

// handleNoList handles a call for a list without an answer.
func (s *sidecarModel) handleNoList(refused bool) {
	if refused {
		s.recordRefusal()
	}

	if !s.lease.Expired(s.now) {
		return
	}

	s.ready = false

	switch {
	case s.notReached:
		s.loseTask(false)
	case s.task != nil && !s.task.held:
		s.finish(false)
	}
}

func (s *sidecarModel) handleList(list modelList, sent time.Duration) {
	s.notReached = false

	if list.fenced {
		s.token++

		return
	}

	if list.process != s.process {
		s.endProcess()

		return
	}

	s.listedAt = max(s.listedAt, sent)

	for _, e := range list.ends {
		s.lastEnd = max(s.lastEnd, e.number)

		if s.task != nil && s.task.run == e.run {
			s.finish(e.done)
		}
	}

	orphaned := list.running != 0 && (s.task == nil || s.task.run != list.running || s.task.held)
	if orphaned {
		token := s.token
		s.call(s.backend, drawFate(s.draw, "stop", 4), func() { s.backend.stop(s.now, list.running, token) }, func(bool) {})
	}

	s.ready = s.ready || !orphaned

	t := s.task
	if t == nil {
		return
	}

	if list.running == t.run && t.startAnsweredAt == 0 && !t.held {
		t.startAnsweredAt = s.now
		t.call.Confirm()
	}

	isCurrent := t.held || (t.startAnsweredAt > 0 && t.startAnsweredAt < sent) ||
		(t.stopAnsweredAt > 0 && t.stopAnsweredAt < sent) || (t.stopping && list.clock > s.leaseEnd)
	if isCurrent && list.running != t.run {
		s.finish(false)
	}
}
