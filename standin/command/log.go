package command

import (
	"github.com/skylarkweir/skylarkweir/daemon/console"
	"github.com/skylarkweir/skylarkweir/standin/logservice"
)

func newLog() console.Command {
	return console.NewCommand(
		"log", "Stand in for the platform's log service",
		"Serves the log's HTTP API from memory. POST /admin/faults sets the faults down, silent, delay_ms, "+
			"lose_answers and reject_appends. POST /admin/trim drops records.\n\n"+
			"Example:\n  standin log --listen 127.0.0.1:7000 --keep-for 1h", &logservice.Command{},
	)
}
