// Command entry accepts submissions from callers and dispatches their tasks to the sidecars.
package main

import (
	"os"

	"github.com/skylarkweir/skylarkweir/entry/process"
)

func main() { os.Exit(process.Main(os.Args[1:], os.Stdout, os.Stderr)) }
