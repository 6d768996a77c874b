package home_test

import (
	"bytes"
	"encoding/json"
	"slices"
	"testing"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/skylarkweir/skylarkweir/entry/home"
)

// Guards against sampling that drops refusals or ends of submissions, and against placements that are not sampled.
func TestSamplingKeepsRefusals(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, "a")

	var out bytes.Buffer

	f.table = &home.Table{}
	f.table.Configure(f.fleet, f, zerolog.New(zerolog.SyncWriter(&out)))
	f.table.SetPlacementSampling(3)
	f.table.Follow(t.Context(), f.replica)

	go f.table.Run(t.Context())

	for range 9 {
		h, err := f.table.Submit(f.submission(1, options{}))
		is.NoErr(err)
		is.Equal(awaitResult(is, h).status, 200)

		placed := slices.ContainsFunc(h.Decisions(), func(d home.Decision) bool { return d.Event() == "task_placed" })
		is.True(placed) // Decisions returns each placement, as only the log is sampled

		_, err = f.table.Submit(f.submission(1, options{kind: "x"}))
		is.True(err != nil)
	}

	events := map[string]int{}

	for line := range bytes.Lines(out.Bytes()) {
		var l struct{ Event string }

		is.NoErr(json.Unmarshal(line, &l))
		events[l.Event]++
	}

	is.Equal(events["task_placed"], 3)
	is.Equal(events["submission_ended"], 9)
	is.Equal(events["submission_refused"], 9)
}
