package process

import (
	"io"

	"github.com/rs/zerolog"

	"github.com/skylarkweir/skylarkweir/daemon"
)

const description = `The sidecar runs beside a backend server and starts the tasks that entries send to it.

Example:

  sidecar --settings /etc/skylarkweir/sidecar.jsonc

SIGTERM and SIGINT start a graceful shutdown. The exit code is 0 after a graceful shutdown, 1 after a failure, and 2
if the arguments or the settings are invalid.`

// Main runs the sidecar with the arguments and returns the exit code.
func Main(arguments []string, stdout, stderr io.Writer) int {
	newLogger := func(s Settings, out io.Writer) zerolog.Logger {
		return zerolog.New(out).Level(s.LogLevel()).With().Timestamp().Str("worker", s.file.Name).Logger()
	}

	return daemon.New("sidecar", description, Load, newLogger, Options).Main(arguments, stdout, stderr)
}
