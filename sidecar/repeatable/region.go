package repeatable

// regionOfServer is what decides in which region the backend server is. In the zero value no region is known.
type regionOfServer struct {
	// failureDomain is that of this instance, which counts until the backend server has announced its own.
	failureDomain string
	// regions has the region of each failure domain.
	regions map[string]string
}

// SetRegions sets the failure domain of this instance, and the region of each failure domain. The map is not changed later.
func (w *Worker) SetRegions(failureDomain string, regions map[string]string) {
	w.mu.Lock()
	defer w.mu.Unlock()

	w.placement = regionOfServer{failureDomain, regions}
}

// region returns the region of the backend server, empty if it is not known.
func (w *Worker) region() string {
	domain := w.placement.failureDomain
	if a := w.server.Current(); a.FailureDomain() != "" {
		domain = a.FailureDomain()
	}

	return w.placement.regions[domain]
}
