package repeatable

import (
	"slices"
	"time"

	"github.com/skylarkweir/skylarkweir/weir/process/quarantine"
	"github.com/skylarkweir/skylarkweir/weir/request/job"
)

// omission is why a backend server can't run a job, empty if it can.
type omission string

// Reasons for which a backend server can't run a job.
const (
	omittedOtherService omission = "belongs to another service"
	omittedEvacuated    omission = "its failure domain is evacuated"
	omittedClosed       omission = "accepts no tasks"
	omittedUnresponsive omission = "its sidecar doesn't answer"
	omittedLabel        omission = "lacks the required label"
	omittedRegion       omission = "its region isn't allowed"
	omittedQuarantine   omission = "kept apart from the kind, since a kind crashes backend servers"
)

// omission returns why the backend server of a sidecar can't run a job.
func (d *Dispatcher) omission(j job.Job, s *sidecar, now time.Duration) omission {
	if o := s.omission(j, now); o != "" {
		return o
	}

	if d.access(j, s) == quarantine.Forbidden {
		return omittedQuarantine
	}

	return ""
}

// omission returns the same but for the kinds that crash backend servers.
func (s *sidecar) omission(j job.Job, now time.Duration) omission {
	if o := s.omissionInAnyRegion(j, now); o != "" {
		return o
	}

	if !j.Policy().AllowsRegion(s.region) {
		return omittedRegion
	}

	return ""
}

func (s *sidecar) omissionInAnyRegion(j job.Job, now time.Duration) omission {
	service, label := s.report.GetService(), j.Constraints().RequiredLabel()

	switch {
	case service != "" && service != j.Policy().Service():
		return omittedOtherService
	case s.evacuated:
		return omittedEvacuated
	case !s.isOpen():
		return omittedClosed
	case service != j.Policy().Service():
		return omittedOtherService
	case !s.Responsive(now):
		return omittedUnresponsive
	case label != "" && !slices.Contains(s.report.GetLabels(), label):
		return omittedLabel
	default:
		return ""
	}
}
