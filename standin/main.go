// Command standin provides stand-ins for the systems around skylarkweir, for tests and for the demo.
package main

import (
	"os"

	"github.com/skylarkweir/skylarkweir/standin/command"
)

func main() {
	os.Exit(command.Run(os.Args[1:], os.Stdout, os.Stderr))
}
