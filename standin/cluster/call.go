package cluster

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"os/exec"
	"time"

	"github.com/ansel1/merry/v2"
)

const (
	pollInterval = 20 * time.Millisecond
	callTimeout  = 5 * time.Second
	maxAnswer    = 256 << 20
)

// call sends body, if any, as JSON and decodes the answer, if asked for.
func call(ctx context.Context, method, url string, body, into any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()

	var text []byte

	if body != nil {
		var err error
		if text, err = json.Marshal(body); err != nil {
			return merry.Wrap(err)
		}
	}

	q, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(text))
	if err != nil {
		return merry.Wrap(err)
	}

	a, err := http.DefaultClient.Do(q)
	if err != nil {
		return merry.Wrap(err)
	}
	defer a.Body.Close()

	text, err = io.ReadAll(io.LimitReader(a.Body, maxAnswer))

	switch {
	case err != nil:
		return merry.Prepend(err, url)
	case a.StatusCode/100 != 2:
		return merry.Errorf("%s: %s: %s", url, a.Status, bytes.TrimSpace(text))
	case into != nil:
		return merry.Prepend(json.Unmarshal(text, into), url)
	}

	return nil
}

// run runs a program to its end and returns what it printed.
func run(ctx context.Context, program string, args ...string) (output string, code int, err error) {
	out, err := exec.CommandContext(ctx, program, args...).CombinedOutput()

	var exit *exec.ExitError
	if errors.As(err, &exit) {
		return string(out), exit.ExitCode(), nil
	}

	return string(out), 0, merry.Wrap(err)
}
