package process

import (
	"context"
	"errors"
	"fmt"
	"io"
	"runtime"
	"runtime/debug"

	"github.com/jessevdk/go-flags"
	"github.com/rs/zerolog"
	"go.uber.org/fx"
)

// Exit codes.
const (
	exitFine     = 0
	exitFailure  = 1
	exitSettings = 2
)

const description = `The entry takes submissions from callers and dispatches their tasks to the sidecars.

Example:

  entry --settings /etc/skylarkweir/entry.jsonc

SIGTERM and SIGINT start the graceful shutdown. The exit code is 0 after it, 1 after a failure, and 2 if the arguments
or the settings are wrong.`

type command struct {
	Settings      string `long:"settings" value-name:"FILE" description:"settings file, JSON with comments"`
	CheckSettings bool   `long:"check-settings" description:"check the settings file and exit"`
	Version       bool   `long:"version" description:"print the version and exit"`
}

// Main runs the entry with the arguments and returns the exit code.
func Main(arguments []string, stdout, stderr io.Writer) int {
	var c command

	p := flags.NewNamedParser("entry", flags.HelpFlag|flags.PassDoubleDash)
	p.LongDescription = description

	if _, err := p.AddGroup("Options", "", &c); err != nil {
		fmt.Fprintln(stderr, err)

		return exitFailure
	}

	rest, err := p.ParseArgs(arguments)

	var e *flags.Error
	if errors.As(err, &e) && e.Type == flags.ErrHelp {
		fmt.Fprintln(stdout, e.Message)

		return exitFine
	}

	switch {
	case err != nil:
		fmt.Fprintln(stderr, err)

		return exitSettings
	case len(rest) > 0:
		fmt.Fprintf(stderr, "unexpected argument %q\n", rest[0])

		return exitSettings
	case c.Version:
		fmt.Fprintln(stdout, version())

		return exitFine
	case c.Settings == "":
		fmt.Fprintln(stderr, "--settings is required, see --help")

		return exitSettings
	}

	s, err := Load(c.Settings)
	if err != nil {
		fmt.Fprintln(stderr, err)

		return exitSettings
	}

	if c.CheckSettings {
		fmt.Fprintf(stdout, "%s: fine\n", c.Settings)

		return exitFine
	}

	return run(s, stderr)
}

// run runs the entry until a signal, an operator or a failure ends it.
func run(s Settings, stderr io.Writer) int {
	runtime.GOMAXPROCS(min(s.Slots(), runtime.GOMAXPROCS(0)))

	log := zerolog.New(stderr).Level(s.LogLevel()).With().Timestamp().Str("entry", s.Name()).Logger()
	app := fx.New(Options(s, log))

	starting, cancel := context.WithTimeout(context.Background(), app.StartTimeout())
	defer cancel()

	if err := app.Start(starting); err != nil {
		log.Error().Err(err).Str("event", "start_failed").Msg("the entry does not start")

		return exitFailure
	}

	end := <-app.Wait()

	stopping, cancel := context.WithTimeout(context.Background(), app.StopTimeout())
	defer cancel()

	if err := app.Stop(stopping); err != nil {
		log.Error().Err(err).Str("event", "stop_failed").Msg("the graceful shutdown is not complete")

		return exitFailure
	}

	return end.ExitCode
}

func version() string {
	if b, ok := debug.ReadBuildInfo(); ok {
		return "entry " + b.Main.Version
	}

	return "entry"
}
