package jobplacement_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/skylarkweir/skylarkweir/weir/process/jobplacement"
	"github.com/skylarkweir/skylarkweir/weir/request/job"
)

// Guards against a server without a request whose reason is not the one that decided.
func TestReasonUnused(t *testing.T) {
	is := is.New(t)
	none := job.Constraints{}

	for _, c := range []struct {
		demand jobplacement.Demand
		server jobplacement.Server
		reason string
	}{
		{newDemand(1, none), newServer(1, 9, 0, 3), jobplacement.OthersFirst},
		{newDemand(1, none), newServer(1, 0, 0, 1), jobplacement.NoFree},
		{newDemand(19, none), newServer(1, 0, 900, 9), jobplacement.ShorterQueues},
		{newDemand(1, job.NewConstraints("", "", 1)), newServer(1, 9, 0, 1).WithPlaced(1), jobplacement.LimitUsed},
		{newDemand(1, none), jobplacement.NewServer(1, job.Size{}, 0, core-1, 1, nil), jobplacement.TaskTooLarge},
	} {
		p := jobplacement.Choose(c.demand, []jobplacement.Server{newServer(2, 9, 0, 1), newServer(3, 9, 0, 1), c.server}, random())
		is.Equal(requestedTasks(p)[1], 0)
		is.Equal(c.demand.ReasonUnused(c.server, p), c.reason)
	}
}
