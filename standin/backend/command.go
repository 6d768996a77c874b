package backend

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"
)

// Command is the command "standin backend" for go-flags.
type Command struct {
	Listen string `long:"listen" value-name:"ADDRESS" default:"127.0.0.1:0" description:"address to listen on; port 0 lets the kernel choose"`
}

// Execute serves until SIGINT or SIGTERM and prints the chosen address as the first line.
func (c *Command) Execute([]string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()

	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", c.Listen)
	if err != nil {
		return merry.Prepend(err, "backend")
	}

	fmt.Fprintf(os.Stdout, "listening %s\n", l.Addr())

	server := &http.Server{Handler: (&Server{}).Handler(), ReadHeaderTimeout: 10 * time.Second}
	context.AfterFunc(ctx, func() { _ = server.Close() })

	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return merry.Prepend(err, "backend")
	}

	return nil
}
