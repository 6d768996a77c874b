package logservice

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"
)

// readHeaderTimeout keeps broken clients from holding connections.
const readHeaderTimeout = 10 * time.Second

// Command runs the stand-in: standin log --listen HOST:PORT.
type Command struct {
	Listen  string        `long:"listen" value-name:"HOST:PORT" default:"127.0.0.1:7000" description:"address to serve on; port 0 lets the kernel choose"`
	KeepFor time.Duration `long:"keep-for" value-name:"TIME" description:"drop records that are older, such as 10m; 0 keeps all"`
}

// Execute serves until SIGINT or SIGTERM, and prints the chosen address.
func (c *Command) Execute([]string) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()

	return c.serve(ctx)
}

func (c *Command) serve(ctx context.Context) error {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", c.Listen)
	if err != nil {
		return merry.Prependf(err, "listen on %s", c.Listen)
	}

	l := &Log{}
	l.SetRetention(c.KeepFor)

	s := &http.Server{Handler: l, ReadHeaderTimeout: readHeaderTimeout}
	// Long polls can outlast the shutdown by up to maxPollWait, so connections are closed at once.
	defer context.AfterFunc(ctx, func() { _ = s.Close() })()

	fmt.Printf("log service stand-in listens on %s\n", listener.Addr())

	if err := s.Serve(listener); err != nil && ctx.Err() == nil {
		return merry.Prepend(err, "serve")
	}

	return nil
}
