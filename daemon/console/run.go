// Package console runs a program with commands: its arguments, help, version and exit codes.
package console

import (
	"errors"
	"fmt"
	"io"
	"runtime/debug"

	"github.com/jessevdk/go-flags"
)

// The exit codes that all programs share.
const (
	ExitOK     = 0
	ExitFailed = 1
	ExitUsage  = 2
)

// UsageError is a mistake in the arguments that the parser cannot see.
type UsageError struct{ text string }

// NewUsageError returns a usage error.
func NewUsageError(text string) UsageError { return UsageError{text} }

func (e UsageError) Error() string { return e.text }

// Coder is an error with an exit code of its own.
type ExitCoder interface {
	error
	// ExitCode returns the exit code.
	ExitCode() int
}

// Command is a command with its help.
type Command struct {
	name, summary, description string
	commander                  flags.Commander
}

// NewCommand returns a command that the data executes.
func NewCommand(name, summary, description string, commander flags.Commander) Command {
	return Command{name, summary, description, commander}
}

// Name returns the name of the command.
func (c Command) Name() string { return c.name }

// Program is a program with commands.
type Program struct {
	name, description string
	// general is a struct with the options of all commands, and version points to the one that asks for the version.
	globalOptions any
	showVersion   *bool
	commands      []Command
}

// NewProgram returns a program with general options, of which version asks for the version.
func NewProgram(name, description string, globalOptions any, showVersion *bool, commands []Command) Program {
	return Program{name, description, globalOptions, showVersion, commands}
}

// Run executes the command line and returns the exit code: 0 done, 1 failed, 2 wrong usage, or that of a Coder.
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

// report prints the error and returns its exit code.
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

// Version returns the version of the program that runs.
func Version() string {
	if b, ok := debug.ReadBuildInfo(); ok && b.Main.Version != "" {
		return b.Main.Version
	}

	return "(devel)"
}
