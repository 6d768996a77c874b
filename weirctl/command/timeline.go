package command

import (
	"fmt"
	"io"
	"os"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/skylarkweir/skylarkweir/weirctl/logs"
)

// timelineOutput is the JSON output for collected logs.
type timelineOutput struct {
	Request string            `json:"request"`
	Skews   []clockSkewOutput `json:"skews"`
	Steps   []stepOutput      `json:"steps"`
	Skipped int               `json:"skipped_lines"`
}

type clockSkewOutput struct {
	Process string  `json:"process"`
	AheadMS float64 `json:"ahead_ms"`
	Pairs   int     `json:"pairs"`
}

type stepOutput struct {
	At      time.Time `json:"at"`
	Logged  time.Time `json:"logged"`
	Process string    `json:"process"`
	Event   string    `json:"event"`
	Own     bool      `json:"own"`
	Details string    `json:"details"`
}

// explainFromLogs prints the timeline of a request from collected logs.
func (e *explain) explainFromLogs() error {
	var index logs.Index

	for _, name := range e.Logs {
		if err := readLog(&index, name, e.Args.Submission); err != nil {
			return err
		}
	}

	timeline := index.Timeline(e.Args.Submission)
	if len(timeline.Steps()) == 0 {
		return merry.Errorf("no log line is about %s; %d lines could not be parsed", e.Args.Submission, index.Skipped())
	}

	output := timelineOutput{Request: e.Args.Submission, Skipped: index.Skipped(), Skews: []clockSkewOutput{}}

	for _, s := range timeline.ClockSkews() {
		output.Skews = append(output.Skews, clockSkewOutput{
			s.Process(), float64(s.Ahead().Microseconds()) / 1000, s.Sessions(),
		})
	}

	for _, s := range timeline.Steps() {
		output.Steps = append(output.Steps, stepOutput{
			s.At(), s.Time(), s.Process(), s.Event(), s.IsAboutRequest(), s.Details(),
		})
	}

	return e.options.print(output, output.print)
}

func readLog(index *logs.Index, name, id string) error {
	if name == "-" {
		return index.AddLog(os.Stdin, id)
	}

	f, err := os.Open(name) //nolint:gosec // the operator names the file
	if err != nil {
		return merry.Wrap(err)
	}
	defer func() { _ = f.Close() }()

	return merry.Prepend(index.AddLog(f, id), name)
}

func (o timelineOutput) print(w io.Writer) {
	for _, s := range o.Skews {
		fmt.Fprintf(w, "clock of %s: %+.1f ms, from %d sessions\n", s.Process, s.AheadMS, s.Pairs)
	}

	if o.Skipped > 0 {
		fmt.Fprintf(w, "lines that could not be parsed: %d\n", o.Skipped)
	}

	first := o.Steps[0].At
	rows := make([][]string, 0, len(o.Steps))

	for _, s := range o.Steps {
		marker := ""
		if s.Own {
			marker = "*"
		}

		since := strconv.FormatFloat(s.At.Sub(first).Seconds(), 'f', 4, 64)
		rows = append(rows, []string{s.Logged.Format("15:04:05.000"), since, marker, s.Process, s.Event, s.Details})
	}

	printTable(w, []string{"logged", "since", "own", "process", "event", "details"}, rows)
}
