// Package command holds the commands of weirctl, one file each.
package command

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"runtime/debug"

	"github.com/jessevdk/go-flags"
)

// The exit codes.
const (
	exitOK       = 0
	exitFailed   = 1
	exitUsage    = 2
	exitConflict = 3
)

// usageError is a mistake in the arguments that the parser cannot see.
type usageError struct{ text string }

func (e usageError) Error() string { return e.text }

// console is what the commands share: their output and the global options.
type console struct {
	out     io.Writer
	JSON    bool `long:"json" description:"Print JSON for programs instead of text"`
	Version bool `long:"version" description:"Print the version and exit"`
}

// noun is a command with its help.
type noun struct {
	name, short, long string
	data              flags.Commander
}

// Run executes the command line and returns the exit code: 0 done, 1 failed, 2 wrong usage, 3 conflict.
func Run(args []string, out, errOut io.Writer) int {
	c := &console{out: out}

	p := flags.NewNamedParser("weirctl", flags.HelpFlag|flags.PassDoubleDash)
	p.LongDescription = "The operator's command line of skylarkweir.\n\n" +
		"Exit codes: 0 done, 1 failed, 2 wrong usage, 3 another publication won.\n\n" +
		"Examples:\n  weirctl check ./agreements\n  weirctl publish ./agreements --log http://127.0.0.1:7000\n" +
		"  weirctl status --entry http://127.0.0.1:7101"
	p.SubcommandsOptional = true

	if _, err := p.AddGroup("General options", "", c); err != nil {
		return report(errOut, err)
	}

	for _, n := range nouns(c) {
		if _, err := p.AddCommand(n.name, n.short, n.long, n.data); err != nil {
			return report(errOut, err)
		}
	}

	_, err := p.ParseArgs(args)

	var f *flags.Error

	switch {
	case errors.As(err, &f) && f.Type == flags.ErrHelp:
		fmt.Fprintln(out, f.Message)

		return exitOK
	case err != nil:
		return report(errOut, err)
	case c.Version:
		fmt.Fprintln(out, "weirctl", version())
	case p.Active == nil:
		p.WriteHelp(errOut)

		return exitUsage
	}

	return exitOK
}

// report prints the error and returns its exit code.
func report(errOut io.Writer, err error) int {
	fmt.Fprintln(errOut, "weirctl:", err)

	var (
		f *flags.Error
		u usageError
		l conflictError
	)

	switch {
	case errors.As(err, &f), errors.As(err, &u):
		return exitUsage
	case errors.As(err, &l):
		return exitConflict
	default:
		return exitFailed
	}
}

// nouns lists the commands in the order of the help.
func nouns(c *console) []noun {
	return []noun{
		newCheck(c), newPublish(c), newShow(c), newStatus(c), newExplain(c),
		newDrain(c), newKeys(c), newSettings(c), newCompletion(c),
	}
}

// print writes v as JSON if that was asked for, and else calls text.
func (c *console) print(v any, text func(w io.Writer)) error {
	if !c.JSON {
		text(c.out)

		return nil
	}

	e := json.NewEncoder(c.out)
	e.SetIndent("", "  ")

	return e.Encode(v)
}

func version() string {
	if b, ok := debug.ReadBuildInfo(); ok && b.Main.Version != "" {
		return b.Main.Version
	}

	return "(devel)"
}
