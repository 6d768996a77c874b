// Package command implements the commands of standin, one per file.
package command

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os/signal"
	"syscall"

	"github.com/skylarkweir/skylarkweir/daemon/console"
)

// globalOptions are the options that apply to all commands, and the output that the commands write to.
type globalOptions struct {
	out     io.Writer
	Version bool `long:"version" description:"Print the version and exit"`
}

// Run executes the command line and returns the exit code: 0 for success, 1 for a failure, 2 for wrong usage.
func Run(args []string, out, errOut io.Writer) int {
	g := &globalOptions{out: out}

	const long = "Stand-ins for what surrounds skylarkweir, for tests and for the demo.\n\n" +
		"Exit codes: 0 done, 1 failed, 2 wrong usage.\n\n" +
		"Examples:\n  standin demo\n  standin log --listen 127.0.0.1:7000"

	return console.NewProgram("standin", long, g, &g.Version, commands(g)).Run(args, out, errOut)
}

// commands returns the commands in the order in which the help lists them.
func commands(g *globalOptions) []console.Command {
	return []console.Command{newDemo(g), newLog(), newBackend(), newCaller(g), newRelay(g), newCapacity(g), newEmulate(g),
		newExperiment(g)}
}

// signalContext returns a context that is canceled by SIGINT or SIGTERM.
func signalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
}

// printAddresses prints the listen addresses as one line of JSON, for the program that started this process.
func (g *globalOptions) printAddresses(addresses map[string]string) {
	text, _ := json.Marshal(addresses)
	fmt.Fprintf(g.out, "%s\n", text)
}
