package repeatable

import (
	"maps"
	"math"
	"time"

	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
	"github.com/skylarkweir/skylarkweir/weir/request/job"
	"github.com/skylarkweir/skylarkweir/weir/version/routes"
)

// SetRegions sets the region of each failure domain, which decides where jobs with allowed regions run.
func (d *Dispatcher) SetRegions(regions map[string]string) {
	d.mu.Lock()
	defer d.mu.Unlock()

	d.regions = maps.Clone(regions)

	for _, s := range d.sidecars {
		s.region = d.regions[s.report.GetFailureDomain()]
	}
}

// serversElsewhere returns the number of backend servers that could run the job, but for the regions that it allows.
func (d *Dispatcher) serversElsewhere(j job.Job, now time.Duration) int {
	if len(j.Policy().Regions()) == 0 {
		return 0
	}

	n := 0

	for _, s := range d.sidecars {
		if s.canRunInAnyRegion(j, now) && !j.Policy().AllowsRegion(s.region) {
			n++
		}
	}

	return n
}

// sendServiceSettings sends a sidecar what the routes in force state of cold backend servers, once for each version. If
// they state nothing, only a sidecar with settings of an older version needs to know.
func (d *Dispatcher) sendServiceSettings(s *sidecar) {
	t := d.routes.Table()
	if t == nil || s.sentServicesVersion >= t.Version() || s.report.GetServicesVersion() >= t.Version() {
		return
	}

	services := coldServices(t)
	if len(services) == 0 && s.report.GetServicesVersion() == 0 && s.sentServicesVersion == 0 {
		return
	}

	s.sentServicesVersion = t.Version()
	s.send(wire.Frame_builder{ServiceSettings: wire.ServiceSettings_builder{
		Version: t.Version(), Services: services,
	}.Build()}.Build())
}

// coldServices returns the services of which the routes state anything for cold backend servers.
func coldServices(t *routes.Table) []*wire.ColdService {
	var all []*wire.ColdService

	for _, s := range t.Services() {
		if s.LimitsCold() {
			all = append(all, wire.ColdService_builder{
				Name: s.Name(), ColdMs: uint32(s.ColdTime().Milliseconds()),
				StartsPer_1000S: uint64(math.Ceil(s.ColdStarts() * 1000)),
			}.Build())
		}
	}

	return all
}
