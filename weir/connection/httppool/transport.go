// Package httppool keeps HTTP connections that have gone silent from being used one after the other.
package httppool

import (
	"context"
	"errors"
	"net/http"
)

// Transport is an http.Transport that closes its idle connections when a request gets no response: they may have gone
// silent together with the one that the request used, and only the time limit of another request would show it. The next
// request then opens a connection. A request whose caller has cancelled it shows nothing. The zero value is ready for use.
type Transport struct {
	http.Transport
}

// RoundTrip sends a request and returns its response. Errors are those of http.Transport.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.Transport.RoundTrip(r)
	if err != nil && !errors.Is(err, context.Canceled) {
		t.CloseIdleConnections()
	}

	return resp, err
}
