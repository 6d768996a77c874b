// Command weirctl is the operator's command line of skylarkweir.
package main

import (
	"os"

	"github.com/skylarkweir/skylarkweir/weirctl/command"
)

func main() {
	os.Exit(command.Run(os.Args[1:], os.Stdout, os.Stderr))
}
