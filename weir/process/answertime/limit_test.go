package answertime_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/skylarkweir/skylarkweir/weir/process/answertime"
)

func record(l *answertime.Limit, n int, took time.Duration) {
	for range n {
		l.Record(took)
	}
}

// Guards against a wait of 200 ms for each lost answer of a server that answers within a few milliseconds.
func TestLimitFollowsQuickAnswers(t *testing.T) {
	is := is.New(t)

	var l answertime.Limit

	is.Equal(l.Current(), answertime.MaxLimit) // nothing is measured yet

	record(&l, 200, 3*time.Millisecond)
	is.Equal(l.Current(), answertime.MinLimit)

	record(&l, 200, 10*time.Millisecond)
	is.True(l.Current() >= 20*time.Millisecond)
	is.True(l.Current() < 25*time.Millisecond)
}

// Guards against a server that becomes slow and is called again and again before it can answer: its answers arrive after
// the limit, and raise it.
func TestLimitRisesWithASlowServer(t *testing.T) {
	is := is.New(t)

	var l answertime.Limit

	record(&l, 1000, 3*time.Millisecond)
	record(&l, 5, 60*time.Millisecond)
	is.True(l.Current() >= 120*time.Millisecond)

	record(&l, 5, time.Second)
	is.Equal(l.Current(), answertime.MaxLimit)
}

// Guards against one slow answer in many that makes every lost answer expensive.
func TestLimitIgnoresSingleSlowAnswers(t *testing.T) {
	is := is.New(t)

	var l answertime.Limit

	record(&l, 199, 3*time.Millisecond)
	l.Record(150 * time.Millisecond)
	is.Equal(l.Current(), answertime.MinLimit)
}
