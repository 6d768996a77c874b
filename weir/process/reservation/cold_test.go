package reservation_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/skylarkweir/skylarkweir/weir/process/reservation"
	"github.com/skylarkweir/skylarkweir/weir/request/job"
)

// Guards against reservations of a cold server beyond the capacity that it takes, and against limits that last when they
// are lifted.
func TestWithheldCapacityIsNotReserved(t *testing.T) {
	is := is.New(t)
	p := newPool(10)
	p.SetOvercommit(0)
	p.Withhold(job.NewSize(7*core, 0))
	is.Equal(p.Free().Millicores(), int64(3*core))

	p.Add(newRequest(1, 8, 0, 0, shortRunTime))
	is.Equal(grantedTasks(p.Allocate(0)), map[uint64]int{1: 3})
	is.True(!p.ExceedsLimits())

	p.Withhold(job.NewSize(8*core, 0))
	is.True(p.ExceedsLimits() && !p.Exceeded())
	is.Equal(len(p.Allocate(0)), 0)

	p.LiftLimits()
	is.Equal(grantedTasks(p.Allocate(0)), map[uint64]int{1: 5})
}

// Guards against more reservations than starts are allowed, by one call or by several, and against urgent requests that
// don't get them first.
func TestStartsLimitReservations(t *testing.T) {
	is := is.New(t)
	p := newPool(10)
	p.LimitStarts(3)
	p.Add(newRequest(1, 2, 1, 0, shortRunTime))
	p.Add(newRequest(2, 2, 0, ms, shortRunTime))

	is.Equal(grantedTasks(p.Allocate(0)), map[uint64]int{2: 2, 1: 1})
	is.Equal(len(p.Allocate(0)), 0)

	_, n := p.Launch(reservation.NewKey(1, 2), 2)
	is.Equal(n, 2)
	p.LimitStarts(1) // two starts were sent
	is.Equal(len(p.Allocate(0)), 0)
	is.True(!p.ExceedsLimits())
	p.LimitStarts(0)
	is.True(p.ExceedsLimits())
	p.LimitStarts(2)
	is.Equal(grantedTasks(p.Allocate(0)), map[uint64]int{1: 1})
}
