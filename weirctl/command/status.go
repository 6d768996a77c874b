package command

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/skylarkweir/skylarkweir/daemon/console"
	"github.com/skylarkweir/skylarkweir/weir/connection/adminapi"
)

// status prints workers, members and queues.
type status struct {
	options *globalOptions
	adminClient
	sidecarOptions
}

// statusOutput is the JSON output.
type statusOutput struct {
	Entries []adminapi.EntryStatus `json:"entries"`
	Workers []workerRow            `json:"workers"`
	Members []memberRow            `json:"members"`
	Queues  []queueRow             `json:"queues"`
	// Sidecars is the number of sidecars that were queried for the members' usage.
	Sidecars int `json:"sidecars"`
}

type workerRow struct {
	adminapi.Worker
	// Connected is the number of queried entries that are connected to the worker.
	Connected int `json:"connected"`
}

type memberRow struct {
	Member    string `json:"member"`
	HeldSlots int    `json:"held_slots"`
	Limit     int    `json:"limit_slots"`
}

type queueRow struct {
	Process string  `json:"process"`
	Queue   string  `json:"queue"`
	Value   float64 `json:"value"`
}

func newStatus(options *globalOptions) console.Command {
	return console.NewCommand(
		"status", "Show workers, members' usage and queues",
		"Shows the entries, the workers that they are connected to, the slots that members hold against their limits, and "+
			"the queues. Only sidecars report the members' usage; it is shown for the sidecars that are named.\n\n"+
			"Example:\n  weirctl status --entry http://127.0.0.1:7101 --sidecar http://127.0.0.1:7201",
		&status{options: options},
	)
}

// Execute runs the command.
func (s *status) Execute([]string) error {
	b := statusOutput{Sidecars: len(s.Sidecars)}
	workers := map[string]*workerRow{}

	for _, e := range s.Entries {
		var a adminapi.EntryStatus
		if err := s.call(http.MethodGet, e, "/v1/status", &a); err != nil {
			return err
		}

		b.Entries = append(b.Entries, a)
		mergeWorkers(workers, a.Workers)

		queues, err := s.queueRows(e, a.Entry.Name)
		if err != nil {
			return err
		}

		b.Queues = append(b.Queues, queues...)
	}

	for _, name := range slices.Sorted(maps.Keys(workers)) {
		b.Workers = append(b.Workers, *workers[name])
	}

	if err := s.addMembers(&b); err != nil {
		return err
	}

	return s.options.print(b, b.print)
}

// mergeWorkers adds the workers that one entry reports. Outstanding starts are summed up, as each entry counts only
// its own.
func mergeWorkers(rows map[string]*workerRow, workers []adminapi.Worker) {
	for _, w := range workers {
		r := rows[w.Name]
		if r == nil {
			rows[w.Name] = &workerRow{w, 1}

			continue
		}

		r.Connected++
		r.Outstanding += w.Outstanding

		// The entry with the most recent contact has the newest state of the worker.
		if w.SinceContactMS < r.SinceContactMS {
			outstanding := r.Outstanding
			r.Worker = w
			r.Outstanding = outstanding
		}
	}
}

// addMembers adds the slots that members hold according to the sidecars, with the limits that the first entry reports,
// and the sidecars' queues.
func (s *status) addMembers(b *statusOutput) error {
	var a adminapi.Show
	if err := s.call(http.MethodGet, s.Entries[0], "/v1/show", &a); err != nil {
		return err
	}

	held := map[string]int{}

	for _, address := range s.Sidecars {
		var answer adminapi.SidecarStatus
		if err := s.call(http.MethodGet, address, "/v1/status", &answer); err != nil {
			return err
		}

		for _, m := range answer.Members {
			held[m.Member] += m.HeldSlots
		}

		for _, k := range answer.Kinds {
			b.Queues = append(b.Queues, queueRow{answer.Worker, k.Kind, float64(k.QueuedSlots)})
		}
	}

	allowed, _ := memberLimits(a)
	for _, l := range allowed {
		b.Members = append(b.Members, memberRow{l.name, held[l.name], l.slots})
	}

	return nil
}

func (b statusOutput) print(w io.Writer) {
	var rows [][]string

	for _, e := range b.Entries {
		state := "ready"
		if !e.Ready {
			state = e.Reason
		}

		rows = append(rows, []string{
			e.Entry.Name, e.Entry.Address, e.Entry.FailureDomain, state, strconv.FormatInt(e.AgreementVersion, 10),
			strconv.FormatInt(e.Position, 10), strconv.FormatBool(e.LogHealthy), strconv.Itoa(len(e.Peers)),
		})
	}

	printTable(w, []string{"entry", "address", "failure domain", "state", "version", "position", "log", "peers"}, rows)
	fmt.Fprintln(w)

	rows = nil
	for _, r := range b.Workers {
		rows = append(rows, []string{
			r.Name, r.FailureDomain, r.Rack, strconv.Itoa(r.Slots), strconv.Itoa(r.Load), strconv.Itoa(r.Outstanding),
			workerState(r.Worker), strconv.Itoa(r.Connected), strconv.FormatInt(r.SinceContactMS, 10) + "ms",
		})
	}

	printTable(w, []string{
		"worker", "failure domain", "rack", "slots", "load", "started by entries", "state", "entries", "last contact",
	}, rows)
	fmt.Fprintln(w)

	rows = nil
	for _, m := range b.Members {
		held := cmp.Or(map[bool]string{true: strconv.Itoa(m.HeldSlots)}[b.Sidecars > 0], "unknown")
		rows = append(rows, []string{m.Member, held, strconv.Itoa(m.Limit)})
	}

	printTable(w, []string{"member", "held slots", "limit"}, rows)
	fmt.Fprintln(w)

	rows = nil
	for _, q := range b.Queues {
		rows = append(rows, []string{q.Process, q.Queue, strconv.FormatFloat(q.Value, 'f', -1, 64)})
	}

	printTable(w, []string{"process", "queue of", "waiting"}, rows)
	b.printPairs(w)
	b.printEvacuations(w)
}

// printPairs prints the kinds that slow each other down, if there are any.
func (b statusOutput) printPairs(w io.Writer) {
	var rows [][]string

	for _, e := range b.Entries {
		for _, p := range e.InterferingPairs {
			rows = append(rows, []string{
				e.Entry.Name, p.Kind, p.Beside, strconv.FormatFloat(p.Factor, 'f', 2, 64), strconv.FormatFloat(p.Score, 'f', 1, 64),
				strconv.Itoa(p.Tasks), (time.Duration(p.AgeMS) * time.Millisecond).Round(time.Second).String(),
			})
		}
	}

	if len(rows) > 0 {
		fmt.Fprintln(w)
		printTable(w, []string{"entry", "kind", "runs longer beside", "factor", "score", "tasks", "age"}, rows)
	}
}

// printEvacuations prints the evacuated failure domains as each entry knows them, unless no log record ever evacuated one.
func (b statusOutput) printEvacuations(w io.Writer) {
	var rows [][]string

	for _, e := range b.Entries {
		if v := e.Evacuations; v.Position > 0 {
			rows = append(rows, []string{
				e.Entry.Name, cmp.Or(strings.Join(v.Domains, ","), "none"), strconv.FormatInt(v.Position, 10),
				strconv.FormatInt(v.AgeMS, 10) + "ms",
			})
		}
	}

	if len(rows) > 0 {
		fmt.Fprintln(w)
		printTable(w, []string{"entry", "evacuated failure domains", "position", "age"}, rows)
	}
}

// workerState returns the first that applies of leaving, not registered, evacuated, ejected and suspect, or else up.
func workerState(w adminapi.Worker) string {
	switch {
	case w.Leaving:
		return "leaving"
	case !w.Registered:
		return "not registered"
	case w.Evacuated:
		return "evacuated"
	case w.Ejected:
		return "ejected"
	case w.Suspect:
		return "suspect"
	default:
		return "up"
	}
}
