// Package daemon runs a long-running program: arguments, the check of its settings, start and graceful shutdown.
package daemon

import (
	"context"
	"errors"
	"fmt"
	"io"
	"runtime/debug"

	"github.com/jessevdk/go-flags"
	"github.com/rs/zerolog"
	"go.uber.org/fx"
)

// Exit codes of a daemon.
const (
	exitOK = 0
	// ExitFailure is the exit code of a program that ended because of a failure.
	ExitFailure = 1
	exitUsage   = 2
)

// Program is a daemon with settings of type S.
type Program[S any] struct {
	name, description string
	load              func(file string) (S, error)
	log               func(s S, out io.Writer) zerolog.Logger
	options           func(s S, log zerolog.Logger) fx.Option
}

// New returns a program. The description is shown by --help; load reads and checks a settings file, log creates the
// logger and options wires the application.
func New[S any](
	name, description string, load func(file string) (S, error),
	log func(s S, out io.Writer) zerolog.Logger, options func(s S, log zerolog.Logger) fx.Option,
) Program[S] {
	return Program[S]{name, description, load, log, options}
}

// commandLineOptions are the options of every daemon.
type commandLineOptions struct {
	Settings      string `long:"settings" value-name:"FILE" description:"settings file, JSON with comments"`
	CheckSettings bool   `long:"check-settings" description:"check the settings file and exit"`
	Version       bool   `long:"version" description:"print the version and exit"`
}

// Main runs the program and returns the exit code: 0 after a graceful shutdown, 1 after a failure, 2 for invalid
// arguments or settings.
func (p Program[S]) Main(args []string, stdout, stderr io.Writer) int {
	var options commandLineOptions

	parser := flags.NewNamedParser(p.name, flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = p.description

	if _, err := parser.AddGroup("Options", "", &options); err != nil {
		fmt.Fprintln(stderr, err)

		return ExitFailure
	}

	positional, err := parser.ParseArgs(args)

	var flagsErr *flags.Error
	if errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp {
		fmt.Fprintln(stdout, flagsErr.Message)

		return exitOK
	}

	switch {
	case err != nil:
		fmt.Fprintln(stderr, err)

		return exitUsage
	case len(positional) > 0:
		fmt.Fprintf(stderr, "unexpected argument %q\n", positional[0])

		return exitUsage
	case options.Version:
		fmt.Fprintln(stdout, p.version())

		return exitOK
	case options.Settings == "":
		fmt.Fprintln(stderr, "--settings is required, see --help")

		return exitUsage
	}

	s, err := p.load(options.Settings)
	if err != nil {
		fmt.Fprintln(stderr, err)

		return exitUsage
	}

	if options.CheckSettings {
		fmt.Fprintf(stdout, "%s: fine\n", options.Settings)

		return exitOK
	}

	return p.serve(s, stderr)
}

// serve runs the application until a signal, an operator or a failure stops it.
func (p Program[S]) serve(s S, stderr io.Writer) int {
	log := p.log(s, stderr)
	app := fx.New(p.options(s, log))

	startCtx, cancel := context.WithTimeout(context.Background(), app.StartTimeout())
	defer cancel()

	if err := app.Start(startCtx); err != nil {
		log.Error().Err(err).Str("event", "start_failed").Msg("start failed; exiting")

		return ExitFailure
	}

	shutdown := <-app.Wait()

	stopCtx, cancel := context.WithTimeout(context.Background(), app.StopTimeout())
	defer cancel()

	if err := app.Stop(stopCtx); err != nil {
		log.Error().Err(err).Str("event", "stop_failed").Msg("graceful shutdown did not complete; exiting")

		return ExitFailure
	}

	return shutdown.ExitCode
}

func (p Program[S]) version() string {
	if b, ok := debug.ReadBuildInfo(); ok {
		return p.name + " " + b.Main.Version
	}

	return p.name
}
