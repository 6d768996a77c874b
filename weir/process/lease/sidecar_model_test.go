package lease_test

import (
	"time"

	"github.com/skylarkweir/skylarkweir/weir/process/delivery"
	"github.com/skylarkweir/skylarkweir/weir/process/lease"
)

const (
	// maxRejections is the number of rejections after which the sidecar gives a start up, startPatience how long it sends it
	// again, runNumberUnit the unit of its run numbers.
	maxRejections = 3
	startPatience = 500 * time.Millisecond
	runNumberUnit = 100 * time.Millisecond
)

// sidecarModel is a sidecar with its backend server. What may be told of a start is decided by delivery.Call, how long
// the task may run by lease.Lease.
type sidecarModel struct {
	*startModel

	backend *backendModel
	lease   lease.Lease
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
	stopping                        bool
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
	result := fate.rejection

	s.call(fate, func() {
		if fate.rejection != accepted {
			return
		}

		var begins bool
		if result, begins = s.backend.start(s.now, run, leaseEnd); begins {
			s.begin(s.backend)
		}
	}, func(answered bool) {
		if answered && result == accepted {
			s.lease.RecordAnswer(sent, s.now)
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

	if reply == delivery.Confirmed && t.startAnsweredAt == 0 {
		t.startAnsweredAt = s.now
	}

	if reply == delivery.NotDelivered {
		s.lease.Suspend()
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
	case fenced, leaseExpired:
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

// finish ends the task at this sidecar and tells the entry whether it is done.
func (s *sidecarModel) finish(done bool) {
	s.task = nil
	s.tell(done)
}

func (s *sidecarModel) stop(t *taskModel) {
	if s.task == t && !t.stopping {
		t.stopping = true
		s.sendStop(t)
	}
}

// sendStop sends a stop until one is answered.
func (s *sidecarModel) sendStop(t *taskModel) {
	const sound = 4

	if s.task != t || t.stopAnsweredAt > 0 {
		return
	}

	run := t.run
	s.call(drawFate(s.draw, "stop", sound), func() { s.backend.stop(s.now, run) }, func(answered bool) {
		if answered && t.stopAnsweredAt == 0 {
			t.stopAnsweredAt = s.now
		}
	})

	s.after(s.repeatAfter, func() { s.sendStop(t) })
}

func (s *sidecarModel) renew() time.Duration {
	if !s.ready {
		return 0
	}

	return s.lease.Renew(s.now)
}

// watch calls the backend server again and again at an interval. Two such loops let answers overtake each other.
func (s *sidecarModel) watch(interval time.Duration) {
	const sound = 6

	var list modelList

	sent, seen, leaseEnd := s.now, s.lastEnd, s.renew()
	s.lease.ExpectAnswer(0, s.now)

	s.call(drawFate(s.draw, "watch", sound), func() {
		list = s.backend.watch(s.now, seen, leaseEnd)
	}, func(answered bool) {
		if answered {
			s.lease.RecordClock(list.clock, s.now)
			s.lease.RecordAnswer(sent, s.now)
			s.handleList(list, sent)
		} else if s.lease.Expired(s.now) {
			s.ready = false

			if s.task != nil {
				s.finish(false)
			}
		}

		pause := interval
		if s.ready && s.task == nil {
			pause = lease.WatchWait
		}

		s.after(pause, func() { s.watch(interval) })
	})
}

func (s *sidecarModel) handleList(list modelList, sent time.Duration) {
	for _, e := range list.ends {
		s.lastEnd = max(s.lastEnd, e.number)

		if s.task != nil && s.task.run == e.run {
			s.finish(e.done)
		}
	}

	orphaned := list.running != 0 && (s.task == nil || s.task.run != list.running)
	if orphaned {
		s.call(drawFate(s.draw, "stop", 4), func() { s.backend.stop(s.now, list.running) }, func(bool) {})
	}

	s.ready = s.ready || !orphaned

	if t := s.task; t != nil && list.running != t.run &&
		((t.startAnsweredAt > 0 && t.startAnsweredAt < sent) || (t.stopAnsweredAt > 0 && t.stopAnsweredAt < sent)) {
		s.finish(false)
	}
}
