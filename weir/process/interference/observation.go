package interference

import (
	"math"
	"time"
)

// Neighbour is a kind of which at least one other task ran beside a task.
type Neighbour struct {
	kind  string
	share float64
}

// NewNeighbour returns a neighbour that was there for a share of the run time, from 0 to 1.
func NewNeighbour(kind string, share float64) Neighbour {
	return Neighbour{kind, fraction(share)}
}

// Kind returns the kind.
func (n Neighbour) Kind() string { return n.kind }

// Share returns the share of the run time, from 0 to 1.
func (n Neighbour) Share() float64 { return n.share }

// Surroundings is what ran at a backend server during the run of a task.
type Surroundings struct {
	load       float64
	neighbours []Neighbour
}

// NewSurroundings returns surroundings. load is the mean used part of the server's CPU, the task included.
func NewSurroundings(load float64, neighbours []Neighbour) Surroundings {
	return Surroundings{fraction(load), neighbours}
}

// Load returns the mean used part of the server's CPU, the task included.
func (s Surroundings) Load() float64 { return s.load }

// Neighbours returns the kinds that ran beside the task.
func (s Surroundings) Neighbours() []Neighbour { return s.neighbours }

// Observation is the run of a task that has completed.
type Observation struct {
	kind, server string
	run          time.Duration
	surroundings Surroundings
}

// NewObservation returns the run of a task of a kind at a server. At most one task of a job may be observed, chosen before
// it runs: the run times of one job depend on each other, and those that end first are the short ones.
func NewObservation(kind, server string, run time.Duration, s Surroundings) Observation {
	return Observation{kind, server, run, s}
}

// fraction limits a value to 0 to 1; what is not a number counts as 0.
func fraction(x float64) float64 {
	if math.IsNaN(x) {
		return 0
	}

	return min(1, max(0, x))
}
