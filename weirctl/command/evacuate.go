package command

import (
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/rs/zerolog"

	"github.com/skylarkweir/skylarkweir/daemon/console"
	"github.com/skylarkweir/skylarkweir/weir/connection/logservice"
	"github.com/skylarkweir/skylarkweir/weir/version/ledger"
)

// evacuate appends the evacuation of a failure domain, or its end, to the log.
type evacuate struct {
	options  *globalOptions
	Log      string        `long:"log" env:"WEIRCTL_LOG" required:"yes" value-name:"URL" description:"Address of the log service"`
	End      bool          `long:"end" description:"End the evacuation, so that tasks start in the domain again"`
	Operator string        `long:"as" value-name:"NAME" description:"Name of the operator, by default that of the user"`
	Timeout  time.Duration `long:"timeout" default:"30s" description:"Longest wait for the log"`
	Args     struct {
		Domain string `positional-arg-name:"DOMAIN" description:"Failure domain, as the settings of its processes name it"`
	} `positional-args:"yes" required:"yes"`
}

// evacuateOutput is the JSON output.
type evacuateOutput struct {
	Domain    string `json:"domain"`
	Evacuated bool   `json:"evacuated"`
	// Position is that of the evacuations in the log, which "weirctl status" shows for each process.
	Position int64    `json:"position"`
	Domains  []string `json:"domains"`
	Operator string   `json:"operator"`
	// Processes is the number of registered entries and sidecars in the domain. Zero is a sign of a wrong name.
	Processes int `json:"processes"`
}

func newEvacuate(options *globalOptions) console.Command {
	return console.NewCommand(
		"evacuate", "Evacuate a failure domain, or end that",
		"Appends the evacuation to the log and reads it back. From then on no task starts in the domain; tasks that run there "+
			"finish normally. With --end, tasks start there again. The command may be repeated. If the log does not answer in time, the outcome is unknown and the exit code is 1; \"weirctl status\" "+
			"reports it later.\n\nExamples:\n  weirctl evacuate zone-a --log http://127.0.0.1:7000\n"+
			"  weirctl evacuate --end zone-a --log http://127.0.0.1:7000", &evacuate{options: options},
	)
}

// Execute runs the command.
func (e *evacuate) Execute([]string) error {
	if e.Operator == "" {
		e.Operator = userName()
	}

	ctx, cancel := context.WithTimeout(context.Background(), e.Timeout)
	defer cancel()

	replica := &ledger.Replica{}
	client := logservice.NewClient(e.Log)
	appender := logservice.NewAppender(client, replica, 0)

	// Without this, the empty state before the first read would be taken for that of an empty log.
	replica.BeginLoad()

	go logservice.NewFollower(client, replica, snapshotRetention, zerolog.Nop()).Run(ctx)
	go appender.Run(ctx)

	if err := waitUntilComplete(ctx, replica); err != nil {
		return merry.Prepend(err, "nothing was changed: the log could not be read")
	}

	return e.append(ctx, replica, appender)
}

// countProcesses returns the number of registered sidecars and entries in the domain.
func (e *evacuate) countProcesses(s *ledger.State) int {
	n := 0

	for _, w := range s.Workers() {
		if w.FailureDomain() == e.Args.Domain {
			n++
		}
	}

	for _, x := range s.Entries() {
		if x.FailureDomain() == e.Args.Domain {
			n++
		}
	}

	return n
}

func (e *evacuate) append(ctx context.Context, replica *ledger.Replica, appender *logservice.Appender) error {
	nonce := make([]byte, nonceBytes)
	if _, err := rand.Read(nonce); err != nil {
		return merry.Prepend(err, "generate a nonce")
	}

	err := appender.Append(ctx, ledger.EvacuationRecord(e.Args.Domain, e.End, nonce, e.Operator))

	switch {
	case logservice.IsRefused(err):
		return merry.Prepend(err, "nothing was changed: the log refused the record")
	case err != nil:
		return merry.Prepend(err, "the outcome is unknown")
	}

	v := replica.State().Evacuations()
	b := evacuateOutput{
		e.Args.Domain, v.Has(e.Args.Domain), v.Position(), append([]string{}, v.Domains()...), e.Operator,
		e.countProcesses(replica.State()),
	}

	if b.Evacuated == e.End {
		return merry.Errorf("another operator has changed the failure domain %q meanwhile, at position %d", b.Domain, b.Position)
	}

	return e.options.print(b, b.print)
}

func (b evacuateOutput) print(w io.Writer) {
	verb := "is evacuated"
	if !b.Evacuated {
		verb = "is not evacuated any more"
	}

	fmt.Fprintf(w, "failure domain %s, which has %d registered processes, %s, position %d\n", b.Domain, b.Processes, verb, b.Position)
}
