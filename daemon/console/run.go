// Package console runs a command-line program with subcommands: its arguments, help, version and exit codes.
package console

import (
	"errors"
	"fmt"
	"io"
	"runtime/debug"

	"github.com/jessevdk/go-flags"
)

// Exit codes that all programs share.
const (
	ExitOK     = 0
	ExitFailed = 1
	ExitUsage  = 2
)

// UsageError is an error in the arguments that the option parser cannot detect.
type UsageError struct{ text string }

// NewUsageError returns a UsageError with the text that is printed.
func NewUsageError(text string) UsageError { return UsageError{text} }

func (e UsageError) Error() string { return e.text }

// ExitCoder is an error with its own exit code.
type ExitCoder interface {
	error
	ExitCode() int
}

// Command is a subcommand with its help texts.
type Command struct {
	name, summary, description string
	commander                  flags.Commander
}

// NewCommand returns a command that commander executes. Its options are the tagged fields of commander.
func NewCommand(name, summary, description string, commander flags.Commander) Command {
	return Command{name, summary, description, commander}
}

// Name returns the name by which the command is called.
func (c Command) Name() string { return c.name }

// Program is a command-line program with subcommands.
type Program struct {
	name, description string
	// globalOptions points to a struct with the options of all commands, and showVersion to its field for the version.
	globalOptions any
	showVersion   *bool
	commands      []Command
}

// NewProgram returns a program. globalOptions points to a struct with the options of all commands, and showVersion to
// its field that is set if the version is requested.
func NewProgram(name, description string, globalOptions any, showVersion *bool, commands []Command) Program {
	return Program{name, description, globalOptions, showVersion, commands}
}

// Run executes the command line and returns the exit code: 0 done, 1 failed, 2 usage error, or that of an
// ExitCoder.
func (p Program) Run(args []string, out, errOut io.Writer) int {
	parser := flags.NewNamedParser(p.name, flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = p.description
	parser.SubcommandsOptional = true

	if _, err := parser.AddGroup("General options", "", p.globalOptions); err != nil {
		return p.reportError(errOut, err)
	}

	for _, c := range p.commands {
		if _, err := parser.AddCommand(c.name, c.summary, c.description, c.commander); err != nil {
			return p.reportError(errOut, err)
		}
	}

	_, err := parser.ParseArgs(args)

	var f *flags.Error

	switch {
	case errors.As(err, &f) && f.Type == flags.ErrHelp:
		fmt.Fprintln(out, f.Message)
	case err != nil:
		return p.reportError(errOut, err)
	case *p.showVersion:
		fmt.Fprintln(out, p.name, Version())
	case parser.Active == nil:
		parser.WriteHelp(errOut)

		return ExitUsage
	}

	return ExitOK
}

// reportError prints the error and returns its exit code.
func (p Program) reportError(errOut io.Writer, err error) int {
	fmt.Fprintln(errOut, p.name+":", err)

	var (
		f *flags.Error
		u UsageError
		c ExitCoder
	)

	switch {
	case errors.As(err, &f), errors.As(err, &u):
		return ExitUsage
	case errors.As(err, &c):
		return c.ExitCode()
	default:
		return ExitFailed
	}
}

// Version returns the version of the running program.
func Version() string {
	if b, ok := debug.ReadBuildInfo(); ok && b.Main.Version != "" {
		return b.Main.Version
	}

	return "(devel)"
}
