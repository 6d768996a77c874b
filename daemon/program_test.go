package daemon_test

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"go.uber.org/fx"

	"github.com/skylarkweir/skylarkweir/daemon"
)

// Guards against exit codes that differ from the documented ones, on which operators' scripts rely, and against runs
// that exit without any output before the application has started.
func TestMainExitCodes(t *testing.T) {
	load := func(file string) (string, error) {
		if file == "bad" {
			return "", errors.New("bad:1: wrong")
		}

		return file, nil
	}
	log := func(_ string, out io.Writer) zerolog.Logger { return zerolog.New(out) }
	options := func(s string, _ zerolog.Logger) fx.Option {
		if s == "broken" {
			return fx.Options(fx.NopLogger, fx.Error(errors.New("cannot start")))
		}

		return fx.Options(fx.NopLogger, fx.Invoke(func(s fx.Shutdowner) error { return s.Shutdown(fx.ExitCode(1)) }))
	}
	p := daemon.New("example", "An example.", load, log, options)

	for args, want := range map[string]int{
		"--help": 0, "--version": 0, "": 2, "--nothing": 2, "--settings good more": 2, "--settings bad": 2,
		"--settings good --check-settings": 0, "--settings broken": 1, "--settings good": 1,
	} {
		t.Run(args, func(t *testing.T) {
			is := is.New(t)

			var out, errOut bytes.Buffer
			is.Equal(p.Main(strings.Fields(args), &out, &errOut), want)
			is.True(out.Len()+errOut.Len() > 0 || args == "--settings good")
		})
	}
}
