package console_test

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/skylarkweir/skylarkweir/daemon/console"
)

type globalOptions struct {
	Version bool `long:"version" description:"Print the version and exit"`
}

// command returns err when it is executed.
type command struct{ err error }

func (c *command) Execute([]string) error { return c.err }

// errorWithExitCode implements console.ExitCoder.
type errorWithExitCode struct{ error }

func (errorWithExitCode) ExitCode() int { return 3 }

// Guards against an exit code or a message that does not match the outcome of the command.
func TestExitCodes(t *testing.T) {
	for name, c := range map[string]struct {
		args []string
		err  error
		code int
		text string
	}{
		"done":            {[]string{"do"}, nil, 0, ""},
		"failed":          {[]string{"do"}, errors.New("broken"), 1, "tool: broken"},
		"wrong use":       {[]string{"do"}, console.NewUsageError("not so"), 2, "tool: not so"},
		"own code":        {[]string{"do"}, errorWithExitCode{errors.New("lost")}, 3, "tool: lost"},
		"unknown command": {[]string{"undo"}, nil, 2, "Does things"},
		"unknown option":  {[]string{"do", "--x"}, nil, 2, "x"},
		"no command":      {nil, nil, 2, "Does things"},
		"help":            {[]string{"--help"}, nil, 0, "Does things"},
		"version":         {[]string{"--version"}, nil, 0, "tool "},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)

			var (
				options globalOptions
				out     bytes.Buffer
			)

			p := console.NewProgram("tool", "Does things.", &options, &options.Version, []console.Command{
				console.NewCommand("do", "Do", "Do it", &command{c.err}),
			})
			is.Equal(p.Run(c.args, &out, &out), c.code)
			is.True(strings.Contains(out.String(), c.text))
		})
	}
}
