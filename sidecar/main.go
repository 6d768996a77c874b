// Command sidecar runs beside a backend server and starts the tasks that entries send to it.
package main

import (
	"os"

	"github.com/skylarkweir/skylarkweir/sidecar/process"
)

func main() { os.Exit(process.Main(os.Args[1:], os.Stdout, os.Stderr)) }
