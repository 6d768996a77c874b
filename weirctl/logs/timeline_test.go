package logs_test

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/skylarkweir/skylarkweir/weirctl/logs"
)

const entryLog = `{"node":"front-1","role":"entry","event":"started","time":1000000}
{"node":"front-1","event":"sidecar_connected","sidecar":"side-1","sidecars":1,"time":2000000}
{"node":"front-1","event":"job_placed","job":"j1","kind":"k","granted":2,"time":9000000}
{"node":"front-1","event":"job_placed","job":"j2","time":9000100}
{"node":"front-1","event":"task_not_done","job":"j1","task":1,"sidecar":"side-1","result":"RESULT_LOST","time":9500000}
not a JSON log line
{"node":"front-1","event":"job_ended","job":"j1","reason":"deadline","time":9900000}
{"node":"front-1","event":"store_lost","time":20000000}
`

// The sidecar's clock is 5 s ahead of the entry's.
const sidecarLog = `7.0 side-1 {"node":"side-1","event":"entry_connected","entry":"front-1","time":7001000}
14.3 side-1 {"node":"side-1","event":"task_overdue","job":"j1","task":1,"run":400,"time":14400000}
14.2 side-1 {"node":"side-1","event":"backend_silent","instance":"i","time":14200000}
`

const otherLog = `{"node":"side-2","event":"entry_connected","entry":"front-1","time":7001000}
{"node":"side-2","event":"backend_silent","time":9200000}
`

func buildTimeline(t *testing.T, id string, logTexts ...string) (logs.Timeline, int) {
	t.Helper()

	var index logs.Index
	for _, logText := range logTexts {
		is.New(t).NoErr(index.AddLog(strings.NewReader(logText), id))
	}

	return index.Timeline(id), index.Skipped()
}

// Guards against a timeline that lacks the events of another process, or that is ordered by clocks that differ. The
// sidecar logs 5 s ahead of the entry, and a sidecar that has no part in the request must not appear.
func TestTimelineIsInOrder(t *testing.T) {
	is := is.New(t)

	timeline, skipped := buildTimeline(t, "j1", sidecarLog, otherLog, entryLog)
	is.Equal(skipped, 1)

	var events []string
	for _, s := range timeline.Steps() {
		events = append(events, s.Process()+" "+s.Event())
	}

	is.Equal(events, []string{
		"front-1 job_placed", "side-1 backend_silent", "side-1 task_overdue", "front-1 task_not_done", "front-1 job_ended",
	})
	is.True(!timeline.Steps()[1].IsAboutRequest())
	is.True(timeline.Steps()[2].IsAboutRequest())
	is.Equal(timeline.Steps()[3].Details(), `job=j1 result=RESULT_LOST sidecar=side-1 task=1`)

	is.Equal(len(timeline.ClockSkews()), 1)
	is.Equal(timeline.ClockSkews()[0].Process(), "side-1")
	is.Equal(timeline.ClockSkews()[0].Ahead(), 5001*time.Millisecond)
}

// Guards against log lines of the daemons that are skipped or not recognised: their times are in RFC 3339 format, and
// their jobs are prefixed with the member.
func TestRFC3339TimeAndQualifiedJobName(t *testing.T) {
	is := is.New(t)

	timeline, _ := buildTimeline(t, "key", `{"level":"info","entry":"entry-1","event":"job_refused","job":"member/key","time":"2026-12-04T07:51:34.5Z"}`)
	is.Equal(len(timeline.Steps()), 1)
	is.Equal(timeline.Steps()[0].Process(), "entry-1")
	is.Equal(timeline.Steps()[0].Time(), time.Date(2026, 12, 4, 7, 51, 34, 500_000_000, time.UTC))
}

// Guards against a timeline for a request that no line is about: the context events alone are not enough.
func TestUnknownRequest(t *testing.T) {
	is := is.New(t)

	timeline, _ := buildTimeline(t, "j9", entryLog)
	is.Equal(len(timeline.Steps()), 0)
}
