package command

import (
	"github.com/skylarkweir/skylarkweir/daemon/console"
	"github.com/skylarkweir/skylarkweir/standin/backend"
)

func newBackend() console.Command {
	return console.NewCommand(
		"backend", "Stand in for a backend server",
		"Runs tasks by sleeping and records each start. GET /admin/starts lists the starts, POST /admin/faults sets the "+
			"faults fail_all, slow_factor and refuse.\n\n"+
			"Example:\n  standin backend --listen 127.0.0.1:8080", &backend.Command{},
	)
}
