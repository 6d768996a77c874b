// Package httppool keeps HTTP connections that have gone silent from being used one after the other.
package httppool

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"
)

// Transport is an http.Transport that closes its idle connections when a request gets no response and no other request
// has got one meanwhile: they may have gone silent together with the one that the request used, and only the time limit of
// another request would show it. The next request then opens a connection. If others are answered, the path works, and the
// idle connections are kept. A request whose caller has cancelled it shows nothing. The zero value is ready for use.
type Transport struct {
	http.Transport

	// lastResponse is when the latest response arrived, in nanoseconds since the first use of this package.
	lastResponse atomic.Int64
}

// start is the origin of the times in Transport, on the monotonic clock.
var start = time.Now()

// RoundTrip sends a request and returns its response. Errors are those of http.Transport.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	sent := int64(time.Since(start))

	resp, err := t.Transport.RoundTrip(r)

	switch {
	case err == nil:
		t.lastResponse.Store(int64(time.Since(start)))
	case !errors.Is(err, context.Canceled) && t.lastResponse.Load() < sent:
		t.CloseIdleConnections()
	}

	return resp, err
}
