package tasks_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"testing"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/skylarkweir/skylarkweir/sidecar/tasks"
	"github.com/skylarkweir/skylarkweir/weir/process/ejection"
	"github.com/skylarkweir/skylarkweir/weir/process/share"
)

// Guards against sampling that drops rejections or ends of tasks, and against starts that are not thinned out.
func TestSamplingKeepsRejections(t *testing.T) {
	is := is.New(t)

	var out bytes.Buffer

	b := &bench{statistics: &ejection.Statistics{}, lease: &lease{}}
	b.table = tasks.NewTable(tasks.Limits{}, &fakeBackend{}, b.statistics, metrics.NewRegistry(), zerolog.New(zerolog.SyncWriter(&out)))
	b.table.Sample(3)
	b.table.Configure(share.NewCapacity(1, 0, 4, 0), []share.Kind{share.NewKind("k", 100, false)},
		[]share.Member{share.NewMember("m", 1000, 1)})

	for i := range 9 {
		outcome(b.start(fmt.Sprint("s", i), 0, "x"))
	}

	b.table.Leave()

	for i := range 5 {
		outcome(b.start(fmt.Sprint("late", i), 0, "x"))
	}

	events := map[string]int{}

	for line := range bytes.Lines(out.Bytes()) {
		var l struct{ Event string }

		is.NoErr(json.Unmarshal(line, &l))
		events[l.Event]++
	}

	is.Equal(events["task_started"], 3)
	is.Equal(events["task_ended"], 9)
	is.Equal(events["task_rejected"], 5)
}
