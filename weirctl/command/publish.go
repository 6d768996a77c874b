package command

import (
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"os/user"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/rs/zerolog"

	"github.com/skylarkweir/skylarkweir/daemon/console"
	"github.com/skylarkweir/skylarkweir/weir/connection/logservice"
	"github.com/skylarkweir/skylarkweir/weir/version/agreement"
	"github.com/skylarkweir/skylarkweir/weir/version/ledger"
)

const (
	nonceBytes = 16
	// snapshotRetention is so long that the follower of a short-lived command never appends a snapshot.
	snapshotRetention = 100 * 365 * 24 * time.Hour
)

// conflictError reports that another publication came into force instead.
type conflictError struct {
	base, version int64
	operator      string
}

// ExitCode implements console.ExitCoder.
func (conflictError) ExitCode() int { return exitConflict }

func (e conflictError) Error() string {
	return fmt.Sprintf("conflict: version %d by %s came into force instead; this publication was based on version %d",
		e.version, e.operator, e.base)
}

// publish appends an agreement to the log.
type publish struct {
	options  *globalOptions
	Log      string        `long:"log" env:"WEIRCTL_LOG" required:"yes" value-name:"URL" description:"Address of the log service"`
	Operator string        `long:"as" value-name:"NAME" description:"Name of the operator, by default that of the user"`
	Base     int64         `long:"base" default:"-1" default-mask:"the version in force" description:"Version that the agreement was based on"`
	Timeout  time.Duration `long:"timeout" default:"30s" description:"Longest wait for the log"`
	Args     struct {
		Directory string `positional-arg-name:"DIR" description:"Directory with agreement.weir.jsonc and service.weir.jsonc files"`
	} `positional-args:"yes" required:"yes"`
}

// publishOutput is the JSON output.
type publishOutput struct {
	Outcome  string `json:"outcome"`
	Version  int64  `json:"version"`
	Base     int64  `json:"base"`
	Operator string `json:"operator"`
}

func newPublish(options *globalOptions) console.Command {
	return console.NewCommand(
		"publish", "Put an agreement in force",
		"Collects and checks the agreement files, appends the agreement to the log with the version that it was based on, and "+
			"reads it back. Prints \"accepted\" only if the record came into force, and exits with 3 if another publication "+
			"won. If the log does not answer in time, the outcome is unknown and the exit code is 1; \"weirctl show\" reports "+
			"it later.\n\nExamples:\n  weirctl publish ./agreements --log http://127.0.0.1:7000\n"+
			"  weirctl publish ./agreements --log http://127.0.0.1:7000 --base 41", &publish{options: options},
	)
}

// Execute runs the command.
func (p *publish) Execute([]string) error {
	a, err := agreement.LoadDir(p.Args.Directory)
	if err != nil {
		return err
	}

	if p.Operator == "" {
		p.Operator = userName()
	}

	ctx, cancel := context.WithTimeout(context.Background(), p.Timeout)
	defer cancel()

	replica := &ledger.Replica{}
	client := logservice.NewClient(p.Log)
	appender := logservice.NewAppender(client, replica, 0)

	// Without this, the empty state before the first read would be taken for that of an empty log.
	replica.BeginLoad()

	go logservice.NewFollower(client, replica, snapshotRetention, zerolog.Nop()).Run(ctx)
	go appender.Run(ctx)

	if err := waitUntilComplete(ctx, replica); err != nil {
		return merry.Prepend(err, "nothing was published: the log could not be read")
	}

	return p.append(ctx, replica, appender, a)
}

func (p *publish) append(
	ctx context.Context, replica *ledger.Replica, appender *logservice.Appender, a *agreement.Agreement,
) error {
	base := p.Base
	if base < 0 {
		base = replica.State().Version()
	}

	nonce := make([]byte, nonceBytes)
	if _, err := rand.Read(nonce); err != nil {
		return merry.Prepend(err, "generate a nonce")
	}

	err := appender.Append(ctx, ledger.PublicationRecord(base, nonce, p.Operator, a))

	switch {
	case logservice.IsRefused(err):
		return merry.Prepend(err, "nothing was published: the log refused the record")
	case err != nil:
		return merry.Prepend(err, "the outcome is unknown")
	}

	inForce, known := replica.State().PublicationOutcome(nonce)
	version := replica.State().Version()
	operator, _ := replica.State().Published()

	switch {
	case !known:
		return merry.New("the outcome is unknown: the record was read back, but the log state does not hold it")
	case !inForce:
		c := conflictError{base, version, operator}

		return p.conflict(c)
	}

	b := publishOutput{"accepted", base + 1, base, p.Operator}

	return p.options.print(b, func(w io.Writer) { fmt.Fprintf(w, "accepted: version %d\n", b.Version) })
}

func (p *publish) conflict(c conflictError) error {
	if p.options.JSON {
		if err := p.options.print(publishOutput{"conflict", c.version, c.base, c.operator}, nil); err != nil {
			return err
		}
	}

	return c
}

// waitUntilComplete waits until the replica has read the log to its end.
func waitUntilComplete(ctx context.Context, replica *ledger.Replica) error {
	for {
		changed := replica.Changed()
		if replica.State().Complete() {
			return nil
		}

		select {
		case <-changed:
		case <-ctx.Done():
			return merry.Wrap(ctx.Err())
		}
	}
}

func userName() string {
	u, err := user.Current()
	if err != nil || u.Username == "" {
		return "unknown"
	}

	return u.Username
}
