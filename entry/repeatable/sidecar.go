package repeatable

import (
	"context"
	"time"

	"github.com/skylarkweir/skylarkweir/weir/connection/quic"
	"github.com/skylarkweir/skylarkweir/weir/connection/session"
	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
	"github.com/skylarkweir/skylarkweir/weir/process/jobplacement"
	"github.com/skylarkweir/skylarkweir/weir/process/uptime"
	"github.com/skylarkweir/skylarkweir/weir/request/job"
)

// attachTimeout limits each step of the attachment of a sidecar: the opening of a stream and the first frame.
const attachTimeout = 2 * time.Second

// sidecar is a connected sidecar. Its fields change under the dispatcher's mutex only.
type sidecar struct {
	*session.Session

	number      uint64
	name        string
	incarnation uint64
	// report is the last capacity report, with the free CPU as of the last message. requestedMillicores is the CPU that
	// was requested since that report and is not reserved yet.
	report              *wire.Room
	requestedMillicores int64
	// service is the service in the last report that named one, closedSince the time since which no tasks are accepted,
	// zero while they are.
	service     string
	closedSince time.Duration
	// domain is the failure domain in the last report that named one, and evacuated whether the operator has evacuated it.
	domain    string
	evacuated bool
	// inZone is true while the backend server belongs to the zone of its service, to which kinds that crash others are
	// confined.
	inZone bool
	// sentRoutesVersion is the version of the routes that was sent last with a keep-alive.
	sentRoutesVersion uint64
	// region is the region of the backend server, empty if it is not known.
	region string
	// sentServicesVersion is the version of the routes whose settings of services were sent last.
	sentServicesVersion uint64
}

// setReport replaces the capacity report.
func (s *sidecar) setReport(r *wire.Room, now time.Duration) {
	s.report, s.requestedMillicores = r, 0

	if r.GetService() != "" {
		s.service = r.GetService()
	}

	if r.GetFailureDomain() != "" {
		s.domain = r.GetFailureDomain()
	}

	switch {
	case r.GetOpen():
		s.closedSince = 0
	case s.closedSince == 0:
		s.closedSince = now
	}
}

// closedFor returns how long no tasks have been accepted, zero while they are.
func (s *sidecar) closedFor(now time.Duration) time.Duration {
	if s.closedSince == 0 {
		return 0
	}

	return now - s.closedSince
}

// isOpen reports whether the backend server accepts tasks.
func (s *sidecar) isOpen() bool { return s.report.GetOpen() && !s.evacuated }

func (s *sidecar) send(f *wire.Frame) { s.Send(f) }

// canRun reports whether the sidecar is responsive and its backend server accepts tasks, belongs to the job's service,
// has the required label and is in a region that the job allows.
func (s *sidecar) canRun(j job.Job, now time.Duration) bool { return s.omission(j, now) == "" }

func (s *sidecar) canRunInAnyRegion(j job.Job, now time.Duration) bool {
	return s.omissionInAnyRegion(j, now) == ""
}

func (s *sidecar) capacity() job.Size {
	return job.NewSize(s.report.GetCapacityCpu(), s.report.GetCapacityMemory())
}

// usableMillicores returns the CPU that the backend server takes at present, which is less than its capacity while it is
// cold.
func (s *sidecar) usableMillicores() int64 {
	if p := int64(s.report.GetUsablePermille()); p > 0 && p < 1000 {
		return s.report.GetCapacityCpu() * p / 1000
	}

	return s.report.GetCapacityCpu()
}

func (s *sidecar) freeCapacity() job.Size {
	if s.report.GetSuspect() {
		return job.Size{}
	}

	return job.NewSize(s.report.GetFreeCpu()-s.requestedMillicores, s.report.GetFreeMemory())
}

// queuedMillicores returns the CPU that requests of the same or a more urgent priority wait for at the backend server.
func (s *sidecar) queuedMillicores(priority int) int64 {
	var sum int64

	for p, q := range s.report.GetQueuedCpu() {
		if p <= priority {
			sum += q
		}
	}

	return sum + max(0, s.requestedMillicores-s.report.GetFreeCpu())
}

// candidate returns the backend server as a place for tasks of a job. One that is cold takes one task in any case.
func (s *sidecar) candidate(j job.Job) jobplacement.Server {
	capacity := max(s.usableMillicores(), min(s.report.GetCapacityCpu(), j.Size().Millicores()))
	slowness := float64(s.report.GetSlownessPermille()) / 1000
	if slowness == 0 {
		slowness = 1
	}

	if s.report.GetSuspect() {
		slowness = max(slowness, 3)
	}

	return jobplacement.NewServer(
		s.number, s.freeCapacity(), s.queuedMillicores(j.Policy().Priority()), capacity, slowness, s.report.GetLabels(),
	)
}

// requestReservation requests reservations for tasks of a job. neededShare is the part of them, from 0 to 1, that the
// job needs; the rest is requested at several backend servers at once.
func (s *sidecar) requestReservation(a *activeJob, tasks int, neededShare float64, now time.Duration) {
	s.requestedMillicores += int64(neededShare * float64(a.job.Size().Millicores()*int64(tasks)))
	// The entry releases reservations that it no longer needs. The maximum wait covers the case in which it cannot.
	maxWait := a.job.Timeout() - (now - a.arrived)

	s.SetActive(true, now)
	s.send(wire.Frame_builder{Reserve: wire.Reserve_builder{
		Job: a.number, Tasks: uint32(tasks), Cpu: a.job.Size().Millicores(), Memory: a.job.Size().MemoryMB(),
		Priority: uint32(a.job.Policy().Priority()), WaitedMs: uint32(max(0, (now - a.arrived).Milliseconds())),
		PatienceMs: uint32(max(1, maxWait.Milliseconds())), ExpectedMs: uint32(a.expectedRun.Milliseconds()),
		NeededPermille: uint32(neededShare * 1000),
	}.Build()}.Build())
}

func (s *sidecar) releaseJob(number uint64) {
	s.send(wire.Frame_builder{Release: wire.Release_builder{Job: number}.Build()}.Build())
}

// Serve waits for a sidecar to attach over a new connection and runs the session with it until it ends. self and
// incarnation are the name and the incarnation of this entry.
func (d *Dispatcher) Serve(ctx context.Context, self string, incarnation uint64, c *quic.Conn) {
	attachCtx, stop := context.WithTimeout(ctx, attachTimeout)
	defer stop()

	t, err := c.Accept(attachCtx)
	if err != nil {
		c.Close("no stream")

		return
	}

	t.SetDeadline(time.Now().Add(attachTimeout))

	f, err := t.Receive()
	if err != nil || !f.HasAttach() {
		c.Close("no attachment")

		return
	}

	t.SetDeadline(time.Time{})

	d.ServeAttached(ctx, self, incarnation, session.New(c, t), f.GetAttach())
}

// ServeAttached runs the session with a sidecar that has attached, until it ends.
func (d *Dispatcher) ServeAttached(
	ctx context.Context, self string, incarnation uint64, t *session.Session, a *wire.Attach,
) {
	if a.GetIdleKeepAlives() {
		t.AllowIdleKeepAlives()
	}

	s := d.attach(a, t, wire.Frame_builder{Attached: wire.Attached_builder{
		Entry: self, Incarnation: incarnation, IdleKeepAlives: a.GetIdleKeepAlives(),
	}.Build()}.Build())
	d.sendKnownCancellations(s)

	s.Run(ctx, func(f *wire.Frame) { d.handleFrame(s, f) })
	d.detach(s)
}

// attach adds a sidecar and sends it the answer to its attachment, then the evacuations, before anything else. A new
// incarnation of a sidecar sets open in its capacity report only after it has verified that the tasks of the previous
// incarnation no longer run.
func (d *Dispatcher) attach(a *wire.Attach, t *session.Session, answer *wire.Frame) *sidecar {
	d.mu.Lock()
	defer d.mu.Unlock()

	for _, s := range d.sidecars {
		if s.name == a.GetSidecar() && s.incarnation != a.GetIncarnation() {
			// Nothing else may tell for a while that the earlier process has ended.
			s.End("the sidecar was restarted")
		}
	}

	d.lastSidecarNumber++
	s := &sidecar{
		Session: t, number: d.lastSidecarNumber, name: a.GetSidecar(), incarnation: a.GetIncarnation(), report: &wire.Room{},
		closedSince: uptime.Now(),
	}
	s.send(answer)
	s.sendEvacuations(&d.evacuations, uptime.Now())
	d.sidecars[s.number] = s

	d.log.Info().Str("event", "sidecar_connected").Str("sidecar", s.name).Uint64("incarnation", s.incarnation).
		Int("sidecars", len(d.sidecars)).Msg("sidecar connected")

	return s
}

// clearRequests removes the reservations requested at a sidecar that has dropped all requests.
func (d *Dispatcher) clearRequests(s *sidecar) {
	for _, a := range d.activeJobs {
		delete(a.requested, s.number)
	}
}

func (d *Dispatcher) detach(s *sidecar) {
	d.mu.Lock()
	defer d.mu.Unlock()

	delete(d.sidecars, s.number)

	lost := 0
	for _, a := range d.activeJobs {
		lost += a.handleSidecarLoss(s)
	}

	d.log.Warn().Str("event", "sidecar_lost").Str("sidecar", s.name).Dur("silent", s.SinceContact(uptime.Now())).
		Int("sidecars", len(d.sidecars)).Int("tasks", lost).
		Msg("session with a sidecar ended; its tasks are placed again once they can no longer run there")
}

func (d *Dispatcher) handleFrame(s *sidecar, f *wire.Frame) {
	switch f.WhichBody() {
	case wire.Frame_RoutesFetch_case:
		d.sendRoutes(s)
	case wire.Frame_Routes_case:
		d.receiveRoutes(f.GetRoutes())
	default:
		d.handleJobFrame(s, f)
	}
}

func (d *Dispatcher) handleJobFrame(s *sidecar, f *wire.Frame) {
	d.mu.Lock()
	defer d.mu.Unlock()

	d.handlePause(uptime.Now())

	switch f.WhichBody() {
	case wire.Frame_Room_case:
		if s.report.GetOpen() && !f.GetRoom().GetOpen() {
			d.clearRequests(s)
		}

		s.setReport(f.GetRoom(), uptime.Now())
		s.region = d.regions[f.GetRoom().GetFailureDomain()]
		d.sendServiceSettings(s)
		d.checkEvacuated(s)
		d.answerKeepAlive(s, uptime.Now())
	case wire.Frame_Reserved_case:
		m := f.GetReserved()
		s.report.SetFreeCpu(m.GetFreeCpu())

		if a := d.activeJobs[m.GetJob()]; a != nil {
			s.requestedMillicores = max(0, s.requestedMillicores-a.job.Size().Millicores()*int64(m.GetTasks()))
			a.handleReserved(s, int(m.GetTasks()))
		} else {
			s.releaseJob(m.GetJob())
		}
	case wire.Frame_BackendCrash_case:
		d.handleBackendCrash(s, f.GetBackendCrash(), uptime.Now())
	case wire.Frame_CrashedTasks_case:
		d.recordCrashedTasks(f.GetCrashedTasks(), uptime.Now())
	case wire.Frame_Cancellations_case:
		d.recordCancellations(f.GetCancellations(), uptime.Now())
	case wire.Frame_Evacuations_case:
		d.receiveEvacuations(s, f.GetEvacuations(), uptime.Now())
	case wire.Frame_Ended_case:
		m := f.GetEnded()
		s.report.SetFreeCpu(m.GetFreeCpu())

		if a := d.activeJobs[m.GetJob()]; a != nil {
			a.handleTaskEnded(s, m)
		}
	default:
		d.log.Warn().Str("event", "frame_unknown").Str("sidecar", s.name).Msg("ignoring a frame of unknown type")
	}
}
