package repeatable

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/skylarkweir/skylarkweir/weir/connection/adminapi"
	"github.com/skylarkweir/skylarkweir/weir/process/admission"
	"github.com/skylarkweir/skylarkweir/weir/process/jobplacement"
	"github.com/skylarkweir/skylarkweir/weir/process/uptime"
	"github.com/skylarkweir/skylarkweir/weir/request/job"
)

const (
	// jobRefused is why nothing is requested at the candidates for a job that is refused.
	jobRefused      = "the job is refused"
	explanationNote = "Servers with free capacity are drawn at random, weighted by it, and Retry-After has a random part; " +
		"another draw may differ. Nothing was sent, reserved or counted."
)

// Explain returns what the dispatcher would do now with a job, by the functions that decide on jobs and on the same state.
// It changes neither the state nor the random numbers of later decisions. Each list has limit backend servers at most.
func (d *Dispatcher) Explain(j job.Job, limit int) adminapi.PlacementExplanation {
	e := d.explain(j, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	e.shorten(limit)

	return e.PlacementExplanation
}

// explanation is an explanation that may be too long.
type explanation struct{ adminapi.PlacementExplanation }

func (d *Dispatcher) explain(j job.Job, random *rand.Rand) explanation {
	d.mu.Lock()
	defer d.mu.Unlock()

	now := uptime.Now()
	run := d.runTimes.estimate(j)
	load := d.load(j, now)
	decision := d.decide(j, run, load, now, random)

	e := explanation{adminapi.PlacementExplanation{
		Kind: j.Policy().Kind(), Service: j.Policy().Service(), Tasks: j.Tasks(), ExpectedRunMS: run.Milliseconds(),
		Admission: admissionFigures(j, run, load, decision), Note: explanationNote,
		Candidates: []adminapi.PlacementCandidate{}, LeftOut: []adminapi.LeftOutServer{},
	}}

	// The job is not added to the active ones, so nothing else refers to it.
	e.addCandidates(newActiveJob(d, 0, j, run, now), now, random)

	for _, s := range d.sidecars {
		if o := d.omission(j, s, now); o != "" {
			e.LeftOut = append(e.LeftOut, adminapi.LeftOutServer{Sidecar: s.name, FailureDomain: s.domain, Reason: string(o)})
		}
	}

	return e
}

// addCandidates adds the backend servers that can run the job, with the plan for it if it is admitted.
func (e *explanation) addCandidates(a *activeJob, now time.Duration, random *rand.Rand) {
	ratios := a.dispatcher.runRatios.Kind(a.job.Policy().Kind(), now)
	servers, _ := a.dispatcher.candidates(a, ratios, now)
	demand := a.demand(a.job.Tasks(), now)

	var p jobplacement.Plan
	if e.Admission.Admitted {
		p = jobplacement.Choose(demand, servers, random)
	}

	requests := make(map[uint64]int, len(p.Requests()))
	for _, r := range p.Requests() {
		requests[r.ID()] = r.Tasks()
	}

	e.Shortfall = p.Shortfall()

	for _, v := range servers {
		c := a.dispatcher.sidecars[v.ID()].explainedCandidate(a.job, v)
		c.Requests, c.FreeTasks = requests[v.ID()], demand.FreeTasks(v)

		switch {
		case !e.Admission.Admitted:
			c.Reason = jobRefused
		case c.Requests == 0:
			c.Reason = demand.ReasonUnused(v, p)
		}

		e.Candidates = append(e.Candidates, c)
	}
}

func (s *sidecar) explainedCandidate(j job.Job, v jobplacement.Server) adminapi.PlacementCandidate {
	preferred := j.Constraints().PreferredLabel()

	return adminapi.PlacementCandidate{
		Sidecar: s.name, FailureDomain: s.domain, FreeCPU: v.Free().Millicores(), FreeMemoryMB: v.Free().MemoryMB(),
		QueuedCPU: v.Queued(), CapacityCPU: v.Capacity(), Slowness: v.Slowness(), Slowdown: v.Slowdown(),
		Suspect: s.report.GetSuspect(), LastResort: v.IsLastResort(),
		Preferred: preferred != "" && slices.Contains(s.report.GetLabels(), preferred),
	}
}

func admissionFigures(
	j job.Job, run time.Duration, l admission.Load, decision admission.Decision,
) adminapi.AdmissionFigures {
	f := adminapi.AdmissionFigures{
		ExpectedWaitMS: l.ExpectedWait(j, run).Milliseconds(), UsableSlackMS: admission.UsableSlack(j, run).Milliseconds(),
		ObjectiveMS: j.Policy().Objective(run).Milliseconds(),
		Load: adminapi.LoadFigures{
			Servers: l.Servers(), Elsewhere: l.Elsewhere(), Free: l.Free(), Queued: l.Queued(), Capacity: l.Capacity(),
			Running: l.Running(), PriorityCapacity: l.PriorityCapacity(), ReleaseRate: l.ReleaseRate(),
			LargestCPU: l.LargestServer().Millicores(), LargestMemoryMB: l.LargestServer().MemoryMB(),
			// Rounded up, as any warm-up decides.
			WarmUpMS: (l.WarmUp() + time.Millisecond - 1).Milliseconds(),
		},
	}

	switch v := decision.(type) {
	case admission.Admit:
		f.Admitted, f.MaxWaitMS = true, v.MaxWait().Milliseconds()
	case admission.Refuse:
		f.Reason, f.RetryAfterMS = v.Reason(), v.RetryAfter().Milliseconds()
	}

	return f
}

// shorten orders the servers and leaves out those beyond the limit of each list.
func (e *explanation) shorten(limit int) {
	slices.SortFunc(e.Candidates, func(x, y adminapi.PlacementCandidate) int {
		return cmp.Or(cmp.Compare(y.Requests, x.Requests), cmp.Compare(x.Sidecar, y.Sidecar))
	})
	slices.SortFunc(e.LeftOut, func(x, y adminapi.LeftOutServer) int {
		return cmp.Or(cmp.Compare(leftOutRank(x), leftOutRank(y)), cmp.Compare(x.Sidecar, y.Sidecar))
	})

	e.CandidatesNotListed = max(0, len(e.Candidates)-limit)
	e.LeftOutNotListed = max(0, len(e.LeftOut)-limit)
	e.Candidates = e.Candidates[:len(e.Candidates)-e.CandidatesNotListed]
	e.LeftOut = e.LeftOut[:len(e.LeftOut)-e.LeftOutNotListed]
}

// leftOutRank orders the servers of other services after the others.
func leftOutRank(s adminapi.LeftOutServer) int {
	if s.Reason == string(omittedOtherService) {
		return 1
	}

	return 0
}
