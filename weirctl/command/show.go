package command

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"

	"github.com/skylarkweir/skylarkweir/daemon/console"
	"github.com/skylarkweir/skylarkweir/weir/connection/adminapi"
	"github.com/skylarkweir/skylarkweir/weir/version/agreement"
)

// show prints the agreement version in force at each process.
type show struct {
	options *globalOptions
	adminClient
	sidecarOptions
	Agreement bool `long:"agreement" description:"Print the agreement in force as JSON"`
}

// showOutput is the JSON output for one process.
type showOutput struct {
	Program     string `json:"program"`
	Name        string `json:"name"`
	Admin       string `json:"admin"`
	Version     int64  `json:"version"`
	Position    int64  `json:"position"`
	Operator    string `json:"operator,omitempty"`
	PublishedAt string `json:"published_at,omitempty"`
	Error       string `json:"error,omitempty"`
}

func newShow(options *globalOptions) console.Command {
	return console.NewCommand(
		"show", "Show the version in force at each process",
		"Asks each process for the version of the agreement that it applies and for its log position. The exit code is 1 "+
			"if a process does not answer.\n\nExample:\n"+
			"  weirctl show --entry http://127.0.0.1:7101 --entry http://127.0.0.1:7102 --sidecar http://127.0.0.1:7201",
		&show{options: options},
	)
}

// Execute runs the command.
func (s *show) Execute([]string) error {
	if s.Agreement {
		return s.printAgreement()
	}

	var (
		output   []showOutput
		firstErr error
	)

	for _, e := range s.Entries {
		b, err := s.showEntry(e)
		if err != nil && firstErr == nil {
			firstErr = err
		}

		output = append(output, b)
	}

	for _, address := range s.Sidecars {
		b := showOutput{Program: "sidecar", Admin: address}

		var a adminapi.SidecarStatus
		if err := s.call(http.MethodGet, address, "/v1/status", &a); err != nil {
			b.Error = err.Error()

			if firstErr == nil {
				firstErr = err
			}
		}

		b.Name, b.Version, b.Position = a.Worker, a.Version, a.Position
		output = append(output, b)
	}

	err := s.options.print(output, func(w io.Writer) {
		rows := make([][]string, 0, len(output))
		for _, b := range output {
			rows = append(rows, []string{
				b.Program, b.Name, b.Admin, strconv.FormatInt(b.Version, 10), strconv.FormatInt(b.Position, 10),
				b.Operator, b.PublishedAt, b.Error,
			})
		}

		printTable(w, []string{"program", "name", "admin", "version", "position", "operator", "published", "error"}, rows)
	})
	if err != nil {
		return err
	}

	return firstErr
}

func (s *show) showEntry(address string) (showOutput, error) {
	b := showOutput{Program: "entry", Admin: address}

	var (
		a  adminapi.Show
		st adminapi.EntryStatus
	)

	if err := s.call(http.MethodGet, address, "/v1/show", &a); err != nil {
		b.Error = err.Error()

		return b, err
	}

	if err := s.call(http.MethodGet, address, "/v1/status", &st); err != nil {
		b.Error = err.Error()

		return b, err
	}

	b.Name, b.Version, b.Position = st.Entry.Name, a.Version, a.Position
	b.Operator, b.PublishedAt = a.Operator, a.PublishedAt

	return b, nil
}

// printAgreement prints the agreement with the highest version that the entries report.
func (s *show) printAgreement() error {
	var newest adminapi.Show

	for _, e := range s.Entries {
		var a adminapi.Show
		if err := s.call(http.MethodGet, e, "/v1/show", &a); err != nil {
			return err
		}

		if a.Version > newest.Version {
			newest = a
		}
	}

	_, err := fmt.Fprintf(s.options.out, "%s\n", newest.Agreement)

	return err
}

// memberLimits returns the members' limits in slots of the registered fleet, and the total slots of the fleet.
func memberLimits(a adminapi.Show) (members []memberLimit, slots int) {
	for _, w := range a.Workers {
		slots += w.Slots
	}

	parsed, err := agreement.Parse(a.Agreement)
	if err != nil {
		return nil, slots
	}

	for _, m := range parsed.Members() {
		members = append(members, memberLimit{m.Name(), m.Limit(slots)})
	}

	return slices.Clip(members), slots
}

type memberLimit struct {
	name  string
	slots int
}
