package interference_test

import (
	"math"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/skylarkweir/skylarkweir/weir/process/interference"
)

func shares(s interference.Surroundings) map[string]float64 {
	all := map[string]float64{}
	for _, n := range s.Neighbours() {
		all[n.Kind()] = math.Round(n.Share()*1000) / 1000
	}

	return all
}

// Guards against tasks that are counted as beside themselves, and against times beside others that are counted twice.
func TestSharesOfNeighbours(t *testing.T) {
	is := is.New(t)

	var o interference.Occupancy

	first := o.Start("a", 1000, time.Second)
	second := o.Start("b", 2000, 2*time.Second)
	third := o.Start("b", 2000, 3*time.Second)
	is.Equal(o.Running(), []string{"a", "b"})

	s := o.End(second, 10_000, 4*time.Second)
	is.Equal(shares(s), map[string]float64{"a": 1, "b": 0.5})

	s = o.End(first, 10_000, 5*time.Second)
	is.Equal(shares(s), map[string]float64{"b": 0.75})
	is.Equal(math.Round(s.Load()*1000), 300.0) // 1, 3, 5 and 3 cores of 10

	s = o.End(third, 10_000, 6*time.Second)
	is.Equal(len(o.Running()), 0)
	is.Equal(shares(s), map[string]float64{"a": 0.667, "b": 0.333})

	alone := o.Start("a", 1000, 7*time.Second)
	is.Equal(len(o.End(alone, 10_000, 8*time.Second).Neighbours()), 0)
}

// Guards against times of a kind that is forgotten being counted for the one that takes its place, and against memory that
// grows with the kinds.
func TestPlacesOfKindsAreUsedAgain(t *testing.T) {
	is := is.New(t)

	var o interference.Occupancy

	long := o.Start("long", 1, 0)

	for n := range 100 {
		at := time.Duration(n) * time.Second
		o.End(o.Start("kind-"+strconv.Itoa(n), 1, at), 100, at+time.Second)
	}

	s := o.End(long, 100, 100*time.Second)
	is.True(len(s.Neighbours()) <= interference.MaxKinds)

	for _, n := range s.Neighbours() {
		is.Equal(math.Round(n.Share()*1000), 10.0)
	}
}

// Guards against a task that ends at once, and times that go back.
func TestTaskWithoutRunTime(t *testing.T) {
	is := is.New(t)

	var o interference.Occupancy

	other := o.Start("b", 1000, time.Second)
	s := o.End(o.Start("a", 1000, time.Second), 0, time.Second)
	is.Equal(s.Load(), 0.0)
	is.Equal(len(s.Neighbours()), 0)
	is.Equal(len(o.End(other, 1000, 0).Neighbours()), 0)
	is.Equal(len(o.Running()), 0)
}
