package command

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"
)

const (
	headerTimeout = 5 * time.Second
	// shutdownTimeout bounds how long active requests may continue after SIGTERM.
	shutdownTimeout = 10 * time.Second
)

// listen opens a TCP listener.
func listen(ctx context.Context, address string) (net.Listener, error) {
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		return nil, merry.Prependf(err, "listen on %s", address)
	}

	return l, nil
}

// serveHTTP serves until ctx is done and then waits up to shutdownTimeout for active requests.
func serveHTTP(ctx context.Context, l net.Listener, h http.Handler) error {
	s := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}

	stop := context.AfterFunc(ctx, func() {
		bounded, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
		defer cancel()

		_ = s.Shutdown(bounded)
	})
	defer stop()

	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return merry.Prepend(err, "serve")
	}

	return nil
}
