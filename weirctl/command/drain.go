package command

import (
	"fmt"
	"io"
	"net/http"

	"github.com/skylarkweir/skylarkweir/daemon/console"
)

// drain starts the graceful shutdown of entries.
type drain struct {
	options *globalOptions
	adminClient
}

// drainOutput is the JSON output for one entry.
type drainOutput struct {
	Entry    string `json:"entry"`
	Draining bool   `json:"draining"`
}

func newDrain(options *globalOptions) console.Command {
	return console.NewCommand(
		"drain", "Shut entries down gracefully",
		"Starts the shutdown of each entry, which completes its submissions, hands its answers over and exits.\n\n"+
			"Example:\n  weirctl drain --entry http://127.0.0.1:7101", &drain{options: options},
	)
}

// Execute runs the command.
func (d *drain) Execute([]string) error {
	var output []drainOutput

	for _, e := range d.Entries {
		b := drainOutput{Entry: e}
		if err := d.call(http.MethodPost, e, "/v1/drain", &b); err != nil {
			return err
		}

		b.Entry = e
		output = append(output, b)
	}

	return d.options.print(output, func(w io.Writer) {
		for _, b := range output {
			fmt.Fprintf(w, "%s is draining\n", b.Entry)
		}
	})
}
