package tasks_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/skylarkweir/skylarkweir/sidecar/tasks"
	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
	"github.com/skylarkweir/skylarkweir/weir/version/ledger"
)

// Guards against a start in an evacuated failure domain, of a new task or of one that waits in the queue, against a running
// task that is stopped, and against a sidecar that takes no tasks after the end.
func TestEvacuatedTableStartsNothing(t *testing.T) {
	is := is.New(t)
	fx := newFixture(1, 4, tasks.Limits{})
	fx.backend.unblock = make(chan struct{})

	running := fx.start("s", 0, "x")
	queued := fx.start("s", 1, "")
	fx.table.SetEvacuated(true)
	is.Equal(reason(queued), wire.Rejection_REJECTION_EVACUATED)
	is.Equal(reason(fx.start("s", 2, "")), wire.Rejection_REJECTION_EVACUATED)
	is.True(fx.start("s", 0, "x") == running) // a repeated start finds its run

	close(fx.backend.unblock)

	_, completed := outcome(running).(tasks.Completed)
	is.True(completed)
	is.Equal(fx.backend.runs("s/1")+fx.backend.runs("s/2"), 0)

	fx.table.SetEvacuated(false)

	_, completed = outcome(fx.start("s", 1, "")).(tasks.Completed)
	is.True(completed)
}

// Guards against a worker that takes another failure domain for its own.
func TestIsEvacuated(t *testing.T) {
	is := is.New(t)
	log := []ledger.Record{}
	add := func(data []byte) { log = append(log, ledger.NewRecord(int64(len(log)), time.Now(), data)) }

	for _, domain := range []string{"a", "b"} {
		add(ledger.WorkerJoinedRecord(wire.Worker_builder{Name: "w-" + domain, Incarnation: 1, FailureDomain: domain}.Build()))
	}

	add(ledger.EvacuationRecord("a", false, nil, "operator"))

	s := new(ledger.State).Apply(log...)
	is.True(tasks.IsEvacuated(s, "w-a"))
	is.True(!tasks.IsEvacuated(s, "w-b"))
	is.True(!tasks.IsEvacuated(s, "unknown"))
}
