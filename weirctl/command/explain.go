package command

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/skylarkweir/skylarkweir/daemon/console"
	"github.com/skylarkweir/skylarkweir/weir/connection/adminapi"
)

// explain prints the decisions about a submission from entries, or its timeline from collected logs.
type explain struct {
	options *globalOptions

	Entries []string `long:"entry" env:"WEIRCTL_ENTRIES" env-delim:"," value-name:"URL" description:"Admin address of an entry, for example http://127.0.0.1:7101; repeatable"`
	Logs    []string `long:"logs" value-name:"FILE" description:"Collected logs of processes, - for standard input; repeatable. No entry is queried then"`
	credentialOptions
	Timeout time.Duration `long:"timeout" default:"5s" description:"Longest wait for an answer"`
	Args    struct {
		Submission string `positional-arg-name:"SUBMISSION" description:"Ticket of the submission, or id of a repeatable job with --logs"`
	} `positional-args:"yes" required:"yes"`
}

func newExplain(options *globalOptions) console.Command {
	return console.NewCommand(
		"explain", "Explain the outcome of a submission",
		"Asks the entries why a submission was refused or placed where it was, or finds it in collected logs.\n\n"+
			"Examples:\n  weirctl explain --entry http://127.0.0.1:7101 SUBMISSION\n  cat *.log | weirctl explain --logs - JOB",
		&explain{options: options},
	)
}

// Execute queries the entries in order until one reports that the home holds the submission.
func (e *explain) Execute([]string) error {
	if len(e.Logs) > 0 {
		return e.explainFromLogs()
	}

	if len(e.Entries) == 0 {
		return console.NewUsageError("either --entry or --logs is required")
	}

	var (
		found   adminapi.Explanation
		raw     json.RawMessage
		lastErr error
	)

	client := adminClient{credentialOptions: e.credentialOptions, Timeout: e.Timeout}
	path := "/v1/explain/" + url.PathEscape(e.Args.Submission)

	for _, address := range e.Entries {
		var text json.RawMessage
		if lastErr = client.call(http.MethodGet, address, path, &text); lastErr != nil {
			continue
		}

		var a adminapi.Explanation
		if lastErr = json.Unmarshal(text, &a); lastErr != nil {
			continue
		}

		if found, raw = a, text; a.Held {
			break
		}
	}

	if raw == nil {
		return lastErr
	}

	return e.options.print(raw, func(w io.Writer) { printExplanation(w, found) })
}

func printExplanation(w io.Writer, a adminapi.Explanation) {
	fmt.Fprintf(w, "home      %s, incarnation %d, sequence %d\n", a.Home, a.Incarnation, a.Sequence)
	fmt.Fprintf(w, "member    %s\n", a.Member)
	fmt.Fprintf(w, "position  %d\n", a.Position)
	fmt.Fprintf(w, "workers   %s\n", strings.Join(a.Workers, ", "))
	fmt.Fprintf(w, "expiry    %s\n", a.Expiry.Format(time.RFC3339))

	if !a.Held {
		fmt.Fprintln(w, "state     the home does not hold it, or cannot be reached")

		return
	}

	fmt.Fprintf(w, "state     %s, %d of %d tasks ended\n", a.State, a.Ended, a.Total)

	rows := make([][]string, 0, len(a.Decisions))
	for _, d := range a.Decisions {
		task := "all"
		if d.Task >= 0 {
			task = strconv.Itoa(d.Task)
		}

		rows = append(rows, []string{d.Time.Format("15:04:05.000"), d.Event, task, d.Choice, d.Reason})
	}

	if len(rows) > 0 {
		printTable(w, []string{"time", "event", "task", "choice", "reason"}, slices.Clip(rows))
	}
}
