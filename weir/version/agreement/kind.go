package agreement

// Kind is a kind of task, which the backend servers of one service run.
type Kind struct {
	name, service string
	// sharePercent adds up to at most 100 over all kinds.
	sharePercent int
	urgent       bool
	maxCores     int
}

// Name returns the unique name.
func (k Kind) Name() string { return k.name }

// Service returns the name of the service whose backend servers run the kind.
func (k Kind) Service() string { return k.service }

// SharePercent returns the kind's share of a worker's slots in percent.
func (k Kind) SharePercent() int { return k.sharePercent }

// Urgent reports whether the kind is served before kinds that are not urgent.
func (k Kind) Urgent() bool { return k.urgent }

// MaxCores returns the largest number of cores that a task of the kind may request.
func (k Kind) MaxCores() int { return k.maxCores }
