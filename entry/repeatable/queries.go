package repeatable

// Callers returns the number of callers that wait for a job.
func (d *Dispatcher) Callers(id string) int {
	d.mu.Lock()
	defer d.mu.Unlock()

	if a := d.activeJobsByID[id]; a != nil {
		return a.callers
	}

	return 0
}

// OpenServers returns the number of backend servers of a service that accept tasks.
func (d *Dispatcher) OpenServers(service string) int {
	d.mu.Lock()
	defer d.mu.Unlock()

	n := 0

	for _, s := range d.sidecars {
		if s.isOpen() && s.report.GetService() == service && s.Alive() {
			n++
		}
	}

	return n
}

// State reports whether a job is active at this entry, and whether one of its tasks was launched.
func (d *Dispatcher) State(id string) (active, started bool) {
	d.mu.Lock()
	defer d.mu.Unlock()

	a := d.activeJobsByID[id]
	if a == nil {
		return false, false
	}

	return true, a.phase != phaseWaiting
}

// WaitingJobs returns the number of active jobs of a kind of which no task was launched.
func (d *Dispatcher) WaitingJobs(kind string) int {
	d.mu.Lock()
	defer d.mu.Unlock()

	n := 0

	for _, a := range d.activeJobs {
		if a.phase == phaseWaiting && a.job.Policy().Kind() == kind {
			n++
		}
	}

	return n
}

// Ready reports whether the entry can serve jobs: it has routes and a sidecar, and is not shutting down.
func (d *Dispatcher) Ready() bool {
	d.mu.Lock()
	defer d.mu.Unlock()

	return !d.shuttingDown && d.routes.Table() != nil && len(d.sidecars) > 0
}
