package process

import (
	"io"
	"runtime"

	"github.com/rs/zerolog"
	"go.uber.org/fx"

	"github.com/skylarkweir/skylarkweir/daemon"
)

const description = `The entry accepts submissions from callers and dispatches their tasks to the sidecars.

Example:

  entry --settings /etc/skylarkweir/entry.jsonc

SIGTERM and SIGINT start a graceful shutdown. The exit code is 0 after a graceful shutdown, 1 after a failure, and 2
if the arguments or the settings are invalid.`

// Main runs the entry with the arguments and returns the exit code.
func Main(arguments []string, stdout, stderr io.Writer) int {
	newLogger := func(s Settings, out io.Writer) zerolog.Logger {
		return zerolog.New(out).Level(s.LogLevel()).With().Timestamp().Str("entry", s.Name()).Logger()
	}
	options := func(s Settings, log zerolog.Logger) fx.Option {
		runtime.GOMAXPROCS(min(s.Slots(), runtime.GOMAXPROCS(0)))

		return Options(s, log)
	}

	return daemon.New("entry", description, Load, newLogger, options).Main(arguments, stdout, stderr)
}
