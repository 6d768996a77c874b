package agreement

// Kind is a kind of work, which one service carries out.
type Kind struct {
	name, service string
	// share is in percent; the shares of all kinds add up to at most 100.
	sharePercent int
	urgent       bool
	maxCores     int
}

// Name returns the unique name.
func (k Kind) Name() string { return k.name }

// Service returns the name of the service whose backend servers run the kind.
func (k Kind) Service() string { return k.service }

// Share returns the share of a worker's slots in percent.
func (k Kind) SharePercent() int { return k.sharePercent }

// Urgent tells whether the kind is served before kinds that are not urgent.
func (k Kind) Urgent() bool { return k.urgent }

// MaxCores returns the number of cores that a task of the kind may ask for.
func (k Kind) MaxCores() int { return k.maxCores }
