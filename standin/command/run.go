// Package command holds the commands of standin, one file each.
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

// shared is what the commands share: their output and the global options.
type globalOptions struct {
	out     io.Writer
	Version bool `long:"version" description:"Print the version and exit"`
}

// Run executes the command line and returns the exit code: 0 done, 1 failed, 2 wrong usage.
func Run(args []string, out, errOut io.Writer) int {
	g := &globalOptions{out: out}

	const long = "Stand-ins for what surrounds skylarkweir, for tests and for the demo.\n\n" +
		"Exit codes: 0 done, 1 failed, 2 wrong usage.\n\n" +
		"Examples:\n  standin demo\n  standin log --listen 127.0.0.1:7000"

	return console.NewProgram("standin", long, g, &g.Version, commands(g)).Run(args, out, errOut)
}

// commands lists the commands in the order of the help.
func commands(g *globalOptions) []console.Command {
	return []console.Command{newDemo(g), newLog(), newBackend(), newCaller(g), newRelay(g), newCapacity(g), newEmulate(g)}
}

// interrupted returns a context that ends with SIGINT or SIGTERM.
func signalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
}

// announce tells the starter of the process its addresses, as one line of JSON.
func (g *globalOptions) printAddresses(addresses map[string]string) {
	text, _ := json.Marshal(addresses)
	fmt.Fprintf(g.out, "%s\n", text)
}
