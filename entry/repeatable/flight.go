package repeatable

import (
	"slices"
	"time"

	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
	"github.com/skylarkweir/skylarkweir/weir/process/admission"
	"github.com/skylarkweir/skylarkweir/weir/process/uptime"
	"github.com/skylarkweir/skylarkweir/weir/request/job"
)

// phase is how far a job has come.
type phase uint8

const (
	// waiting means that no task was launched.
	waiting phase = iota
	// running means that tasks were launched; the job is not refused any more.
	running
	ended
)

// place is where a task is.
type place struct {
	// sidecar is zero while the task has no place.
	sidecar  uint64
	done     bool
	attempts int
	// held is true while the task may run at a sidecar that was lost.
	held bool
}

// flight is a job that has not ended. Everything in it changes under the dispatcher's mutex.
type flight struct {
	dispatcher *Dispatcher
	number     uint64
	job        job.Job
	// expected is the expected run time of a task; it grows when a task was stopped that has run for longer.
	expected time.Duration
	begun    time.Duration
	phase    phase
	places   []place
	// asked and granted count places by sidecar; granted ones are not launched yet.
	asked, granted map[uint64]int
	// excluded are sidecars where a task failed, as long as there are others.
	excluded map[uint64]bool
	// launched is the time of the first launch, lastLaunch that of the latest.
	launched, lastLaunch time.Duration
	// slowest is the longest run of a task that is done, slowestAt the sidecar where it ran.
	slowest   time.Duration
	slowestAt string
	again     *time.Timer
	giveUp    *time.Timer
	// callers is the number of callers that wait; a job that is sent again on another channel has several.
	callers int
	// done is closed after outcome is set.
	done    chan struct{}
	outcome job.Outcome
}

func newFlight(d *Dispatcher, number uint64, j job.Job, expected, now time.Duration) *flight {
	return &flight{
		dispatcher: d, number: number, job: j, expected: expected, begun: now, callers: 1,
		places: make([]place, j.Tasks()),
		asked:  map[uint64]int{}, granted: map[uint64]int{}, excluded: map[uint64]bool{},
		done: make(chan struct{}),
	}
}

// result waits for the end.
func (f *flight) result() job.Outcome {
	<-f.done

	return f.outcome
}

// missing returns the number of tasks without a place.
func (f *flight) missing() int {
	n := 0

	for _, p := range f.places {
		if !p.done && p.sidecar == 0 && !p.held {
			n++
		}
	}

	return n
}

// outstanding returns the number of places that are asked for and not answered.
func (f *flight) outstanding() int {
	n := 0
	for _, a := range f.asked {
		n += a
	}

	return n
}

func (f *flight) grants() int {
	n := 0
	for _, g := range f.granted {
		n += g
	}

	return n
}

// reserved takes room that a sidecar has reserved.
func (f *flight) reserved(s *sidecar, n int) {
	f.granted[s.number] += n

	f.asked[s.number] -= n
	if f.asked[s.number] <= 0 {
		// All that was asked for there is granted, so the sidecar may be asked again.
		delete(f.asked, s.number)
	}

	switch {
	case f.phase == ended || f.missing() == 0:
		f.release()
		s.releaseJob(f.number)
	default:
		f.launch()
	}
}

// launch starts the tasks without a place in the granted room and gives back the rest.
func (f *flight) launch() {
	if f.phase == waiting {
		f.phase = running
		f.launched = uptime.Now()
		f.giveUp.Stop()

		f.dispatcher.log.Info().Str("event", "job_placed").Str("job", f.job.ID()).Str("kind", f.job.Policy().Kind()).
			Int("tasks", f.job.Tasks()).Int("granted", f.grants()).Dur("waited", f.launched-f.begun).
			Dur("expected_run", f.expected).Msg("the first tasks of a job have room")
	}

	d := f.dispatcher
	f.lastLaunch = uptime.Now()

	for _, number := range f.grantOrder() {
		s := d.sidecars[number]
		if s == nil {
			continue
		}

		var indices []uint32

		for i := range f.places {
			p := &f.places[i]
			if len(indices) < f.granted[number] && !p.done && p.sidecar == 0 && !p.held {
				p.sidecar = number
				indices = append(indices, uint32(i))
			}
		}

		if len(indices) > 0 {
			s.send(wire.Frame_builder{Launch: wire.Launch_builder{
				Job: f.number, Name: f.job.ID(), Indices: indices, Input: f.job.Input(),
				ExpectedMs: uint32(f.expected.Milliseconds()), Priority: uint32(f.job.Policy().Priority()),
			}.Build()}.Build())
		}
	}

	clear(f.granted)

	if f.missing() == 0 {
		f.release()
		f.again.Stop()
	}
}

// grantOrder returns the sidecars with granted room, the largest grants first, so that few of them get the input.
func (f *flight) grantOrder() []uint64 {
	order := make([]uint64, 0, len(f.granted))
	for number := range f.granted {
		order = append(order, number)
	}

	slices.SortFunc(order, func(a, b uint64) int {
		if f.granted[a] != f.granted[b] {
			return f.granted[b] - f.granted[a]
		}

		return int(a) - int(b)
	})

	return order
}

// release gives back what is asked for and not launched.
func (f *flight) release() {
	for number := range f.asked {
		if s := f.dispatcher.sidecars[number]; s != nil {
			s.releaseJob(f.number)
		}
	}

	clear(f.asked)
	clear(f.granted)
}

// askAgain asks at more backend servers for what is still missing.
func (f *flight) askAgain() {
	d := f.dispatcher

	d.mu.Lock()
	defer d.mu.Unlock()

	if f.phase == ended {
		return
	}

	if n := f.missing(); n > 0 {
		d.ask(f, n, uptime.Now())
		f.again.Reset(again)
	}
}

// runOut judges a job that did not get any room in time once more.
func (f *flight) runOut() {
	d := f.dispatcher

	d.mu.Lock()
	defer d.mu.Unlock()

	if f.phase != waiting {
		return
	}

	now := uptime.Now()
	waited := now - f.begun
	load := d.load(f.job, now)

	switch v := admission.ExtendWait(f.job, f.expected, waited, load, d.random).(type) {
	case admission.Admit:
		d.log.Info().Str("event", "job_waits_on").Str("job", f.job.ID()).Str("kind", f.job.Policy().Kind()).
			Int("tasks", f.job.Tasks()).Dur("waited", waited).Stringer("load", load).Dur("patience", v.MaxWait()).
			Msg("a job without room yet can still be on time")
		f.giveUp.Reset(v.MaxWait())
	case admission.Refuse:
		d.log.Info().Str("event", "job_refused").Str("job", f.job.ID()).Str("kind", f.job.Policy().Kind()).
			Str("reason", v.Reason()).Int("tasks", f.job.Tasks()).Dur("expected_run", f.expected).Dur("waited", waited).
			Stringer("load", load).Dur("retry_after", v.RetryAfter()).Uint64("routes", d.routes.Version()).
			Msg("a job did not find room in time")
		f.end(job.NewRefused(v.Reason(), v.RetryAfter()), "no room")
	}
}

// givenUp returns the outcome of a job that is not completed: refused if nothing has started.
func (f *flight) givenUp(reason string, after time.Duration) job.Outcome {
	if f.phase == waiting {
		return job.NewRefused(reason, after)
	}

	return job.NewInterrupted(reason)
}

// end ends the job, releases its room and stops its tasks.
func (f *flight) end(o job.Outcome, reason string) {
	if f.phase == ended {
		return
	}

	f.stopTimers()
	f.release()

	halted := map[uint64]bool{}

	for _, p := range f.places {
		if s := f.dispatcher.sidecars[p.sidecar]; s != nil && !p.done && !halted[p.sidecar] {
			halted[p.sidecar] = true

			s.send(wire.Frame_builder{Halt: wire.Halt_builder{Job: f.number}.Build()}.Build())
		}
	}

	if _, whole := o.(job.Completed); !whole && f.phase == running {
		f.dispatcher.log.Info().Str("event", "job_ended").Str("job", f.job.ID()).Str("kind", f.job.Policy().Kind()).
			Str("reason", reason).Int("stopped_at", len(halted)).Dur("since_arrival", uptime.Now()-f.begun).
			Msg("a job ends without being completed")
	}

	f.phase = ended
	f.outcome = o
	delete(f.dispatcher.flights, f.number)
	delete(f.dispatcher.ids, f.job.ID())
	close(f.done)
}

func (f *flight) stopTimers() {
	f.again.Stop()
	f.giveUp.Stop()
}

// taskEnded takes the end of a task.
func (f *flight) taskEnded(s *sidecar, index uint32, r wire.Result, run time.Duration) {
	if f.phase == ended || int(index) >= len(f.places) || f.places[index].sidecar != s.number {
		return
	}

	p := &f.places[index]
	p.sidecar = 0

	switch r {
	case wire.Result_RESULT_DONE:
		p.done = true
		f.dispatcher.runs.observe(f.job, run)
		f.dispatcher.turnover.Observe(f.job.Policy().Priority(), run)

		if run > f.slowest {
			f.slowest, f.slowestAt = run, s.name
		}
	case wire.Result_RESULT_FAILED:
		p.attempts++
		f.excluded[s.number] = true
	case wire.Result_RESULT_REJECTED, wire.Result_RESULT_LOST, wire.Result_RESULT_STOPPED:
		f.excluded[s.number] = true
	default:
	}

	if r != wire.Result_RESULT_DONE {
		// A task that was stopped for its long run may be a long one, and gets more time at the next backend server.
		f.expected = max(f.expected, run)

		f.dispatcher.log.Info().Str("event", "task_not_done").Str("job", f.job.ID()).Uint32("task", index).
			Str("sidecar", s.name).Stringer("result", r).Dur("run", run).Int("failures", p.attempts).Msg("a task is not done")
	}

	switch {
	case p.attempts >= f.job.Policy().MaxAttempts():
		f.end(job.Failed{}, "a task failed too often")
	case f.whole():
		f.logLate()
		f.end(job.Completed{}, "")
	case !p.done:
		f.placeAgain()
	}
}

// logLate tells where the time of a job went that is completed later than its objective for the expected run time.
func (f *flight) logLate() {
	took, objective := uptime.Now()-f.begun, f.job.Policy().Objective(f.expected)
	if took <= objective {
		return
	}

	f.dispatcher.log.Info().Str("event", "job_late").Str("job", f.job.ID()).Str("kind", f.job.Policy().Kind()).
		Int("tasks", f.job.Tasks()).Dur("took", took).Dur("objective", objective).Dur("expected_run", f.expected).
		Dur("first_launch", f.launched-f.begun).Dur("last_launch", f.lastLaunch-f.begun).
		Dur("slowest_run", f.slowest).Str("slowest_at", f.slowestAt).Msg("a job is completed later than its objective")
}

func (f *flight) whole() bool {
	for _, p := range f.places {
		if !p.done {
			return false
		}
	}

	return true
}

// placeAgain asks for room for the tasks of a running job that lost their place.
func (f *flight) placeAgain() {
	d := f.dispatcher

	d.ask(f, f.missing(), uptime.Now())
	f.again.Reset(again)
}

// sidecarLost marks the tasks at a lost sidecar. They are placed again once they are sure not to run.
func (f *flight) sidecarLost(s *sidecar) {
	delete(f.asked, s.number)
	delete(f.granted, s.number)

	lost := false

	for i := range f.places {
		if f.places[i].sidecar == s.number {
			f.places[i].held = true
			lost = true
		}
	}

	if lost {
		time.AfterFunc(lostAfter, func() { f.unhold(s.number) })
	}
}

// unhold frees the tasks that were at a lost sidecar.
func (f *flight) unhold(number uint64) {
	d := f.dispatcher

	d.mu.Lock()
	defer d.mu.Unlock()

	if f.phase == ended {
		return
	}

	freed := false

	for i := range f.places {
		if p := &f.places[i]; p.held && p.sidecar == number {
			p.held, p.sidecar = false, 0
			freed = true
		}
	}

	if freed {
		f.placeAgain()
	}
}
