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

// Guards against sampling that drops the log lines of rejections or task ends, and against sampling that keeps all
// lines of started tasks.
func TestSamplingKeepsRejections(t *testing.T) {
	is := is.New(t)

	var out bytes.Buffer

	fx := &fixture{statistics: &ejection.Statistics{}, lease: &fakeLease{}}
	fx.table = tasks.NewTable(tasks.Limits{}, &fakeBackend{}, fx.statistics, metrics.NewRegistry(),
		zerolog.New(zerolog.SyncWriter(&out)))
	fx.table.SampleStartLog(3)
	fx.table.Configure(share.NewCapacity(1, 0, 4, 0), []share.Kind{share.NewKind("k", 100, false)},
		[]share.Member{share.NewMember("m", 1000, 1)})

	for i := range 9 {
		outcome(fx.start(fmt.Sprint("s", i), 0, "x"))
	}

	fx.table.Leave()

	for i := range 5 {
		outcome(fx.start(fmt.Sprint("late", i), 0, "x"))
	}

	eventCounts := map[string]int{}

	for line := range bytes.Lines(out.Bytes()) {
		var l struct{ Event string }

		is.NoErr(json.Unmarshal(line, &l))
		eventCounts[l.Event]++
	}

	is.Equal(eventCounts["task_started"], 3)
	is.Equal(eventCounts["task_ended"], 9)
	is.Equal(eventCounts["task_rejected"], 5)
}
