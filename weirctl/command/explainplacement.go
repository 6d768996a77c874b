package command

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/skylarkweir/skylarkweir/daemon/console"
	"github.com/skylarkweir/skylarkweir/weir/connection/adminapi"
)

// explainPlacement prints what each entry would do now with a repeatable job.
type explainPlacement struct {
	options *globalOptions
	adminClient

	Kind           string        `long:"kind" required:"yes" description:"Kind of the job"`
	Tasks          int           `long:"tasks" default:"1" description:"Number of tasks"`
	Cores          int           `long:"cores" default:"1" description:"Cores of each task"`
	MemoryMB       int           `long:"memory-mb" default:"0" description:"Memory of each task in MB"`
	Estimate       time.Duration `long:"estimate" description:"Run time of a task as a caller would state it, for example 60ms"`
	Deadline       time.Duration `long:"deadline" description:"How long the caller would wait"`
	Objective      time.Duration `long:"objective" description:"Time that the objective allows beside the run time"`
	RequiredLabel  string        `long:"required-label" value-name:"LABEL" description:"Label that a server must have"`
	PreferredLabel string        `long:"preferred-label" value-name:"LABEL" description:"Label that a server should have"`
	MaxPerServer   int           `long:"max-per-server" value-name:"N" description:"Most tasks of the job on one server; 0: no limit"`
}

func newExplainPlacement(options *globalOptions) console.Command {
	return console.NewCommand(
		"explain-placement", "Explain where a repeatable job would go now, without sending it",
		"Asks each entry whether it would admit a job now, which servers would get how many requests, and why not the others.\n\n"+
			"Example:\n  weirctl explain-placement --entry http://127.0.0.1:7101 --kind scan --tasks 8 --estimate 60ms",
		&explainPlacement{options: options},
	)
}

// placementAnswer is the JSON output for one entry.
type placementAnswer struct {
	Admin string `json:"admin"`
	// Explanation is the answer as the entry sent it.
	Explanation json.RawMessage `json:"explanation,omitempty"`
	Error       string          `json:"error,omitempty"`

	decoded adminapi.PlacementExplanation
}

// Execute asks all entries, since each decides on what it knows.
func (e *explainPlacement) Execute([]string) error {
	var (
		output   []placementAnswer
		firstErr error
	)

	path := "/v1/explain-placement?" + e.query().Encode()

	for _, address := range e.Entries {
		a := placementAnswer{Admin: address}

		err := e.call(http.MethodGet, address, path, &a.Explanation)
		if err == nil {
			err = json.Unmarshal(a.Explanation, &a.decoded)
		}

		if err != nil {
			a.Error = err.Error()

			if firstErr == nil {
				firstErr = err
			}
		}

		output = append(output, a)
	}

	err := e.options.print(output, func(w io.Writer) {
		for _, a := range output {
			if a.Error == "" {
				printPlacement(w, a.Admin, a.decoded)
			}
		}
	})
	if err != nil {
		return err
	}

	return firstErr
}

func (e *explainPlacement) query() url.Values {
	q := url.Values{
		"kind": {e.Kind}, "tasks": {strconv.Itoa(e.Tasks)}, "cores": {strconv.Itoa(e.Cores)},
		"memory_mb": {strconv.Itoa(e.MemoryMB)}, "max_per_server": {strconv.Itoa(e.MaxPerServer)},
		"required_label": {e.RequiredLabel}, "preferred_label": {e.PreferredLabel},
	}

	for name, d := range map[string]time.Duration{
		"estimate_ms": e.Estimate, "deadline_ms": e.Deadline, "objective_ms": e.Objective,
	} {
		if d != 0 {
			q.Set(name, strconv.FormatInt(d.Milliseconds(), 10))
		}
	}

	return q
}

func printPlacement(w io.Writer, address string, p adminapi.PlacementExplanation) {
	a, l := p.Admission, p.Admission.Load

	fmt.Fprintf(w, "entry     %s\n", address)
	fmt.Fprintf(w, "job       kind %s, service %s, tasks %d, expected run %d ms\n", p.Kind, p.Service, p.Tasks, p.ExpectedRunMS)

	if a.Admitted {
		fmt.Fprintf(w, "decision  admitted, waits up to %d ms; tasks without free capacity: %d\n", a.MaxWaitMS, p.Shortfall)
	} else {
		fmt.Fprintf(w, "decision  refused: %s; retry after %d ms\n", a.Reason, a.RetryAfterMS)
	}

	fmt.Fprintf(w, "wait      expected %d ms, usable slack %d ms, objective %d ms\n",
		a.ExpectedWaitMS, a.UsableSlackMS, a.ObjectiveMS)
	fmt.Fprintf(w, "load      servers %d, free %s, queued %s, capacity %s (%s beside more urgent), running %s, released per s %s\n",
		l.Servers, cores(l.Free), cores(l.Queued), cores(l.Capacity), cores(l.PriorityCapacity), cores(l.Running),
		cores(l.ReleaseRate))
	fmt.Fprintf(w, "largest   %s cores, %d MB; servers in other regions %d; warm-up %d ms\n",
		cores(l.LargestCPU), l.LargestMemoryMB, l.Elsewhere, l.WarmUpMS)
	printCandidates(w, p)
	printLeftOut(w, p)
	fmt.Fprintf(w, "\n%s\n\n", p.Note)
}

func printCandidates(w io.Writer, p adminapi.PlacementExplanation) {
	if len(p.Candidates) == 0 {
		return
	}

	rows := make([][]string, 0, len(p.Candidates))
	for _, c := range p.Candidates {
		rows = append(rows, []string{
			c.Sidecar, c.FailureDomain, strconv.Itoa(c.Requests), strconv.Itoa(c.FreeTasks), cores(c.FreeCPU),
			strconv.FormatInt(c.FreeMemoryMB, 10), cores(c.QueuedCPU), cores(c.CapacityCPU), formatFactor(c.Slowness),
			formatFactor(c.Slowdown), marks(c), c.Reason,
		})
	}

	fmt.Fprintln(w)
	printTable(w, []string{
		"candidate", "domain", "requests", "tasks fit", "free", "free mb", "queued", "capacity", "slowness", "slowdown",
		"marks", "reason",
	}, rows)
	printNotListed(w, p.CandidatesNotListed)
}

func printLeftOut(w io.Writer, p adminapi.PlacementExplanation) {
	if len(p.LeftOut) == 0 {
		return
	}

	rows := make([][]string, 0, len(p.LeftOut))
	for _, s := range p.LeftOut {
		rows = append(rows, []string{s.Sidecar, s.FailureDomain, s.Reason})
	}

	fmt.Fprintln(w)
	printTable(w, []string{"left out", "domain", "reason"}, rows)
	printNotListed(w, p.LeftOutNotListed)
}

func printNotListed(w io.Writer, n int) {
	if n > 0 {
		fmt.Fprintf(w, "%d more are not listed\n", n)
	}
}

// marks returns the properties of a candidate that change its rank.
func marks(c adminapi.PlacementCandidate) string {
	var all []string

	if c.Preferred {
		all = append(all, "preferred")
	}

	if c.Suspect {
		all = append(all, "suspect")
	}

	if c.LastResort {
		all = append(all, "last resort")
	}

	return strings.Join(all, ", ")
}

// cores returns millicores in cores.
func cores(millicores int64) string {
	return strconv.FormatFloat(float64(millicores)/1000, 'f', -1, 64)
}

func formatFactor(f float64) string { return strconv.FormatFloat(f, 'f', 2, 64) }
