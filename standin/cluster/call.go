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
	pollInterval     = 20 * time.Millisecond
	requestTimeout   = 5 * time.Second
	maxResponseBytes = 256 << 20
)

// sendJSON sends body as JSON unless it is nil, and decodes the response into result unless that is nil.
func sendJSON(ctx context.Context, method, url string, body, result any) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()

	var text []byte

	if body != nil {
		var err error
		if text, err = json.Marshal(body); err != nil {
			return merry.Wrap(err)
		}
	}

	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(text))
	if err != nil {
		return merry.Wrap(err)
	}

	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return merry.Wrap(err)
	}
	defer response.Body.Close()

	text, err = io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))

	switch {
	case err != nil:
		return merry.Prepend(err, url)
	case response.StatusCode/100 != 2:
		return merry.Errorf("%s: %s: %s", url, response.Status, bytes.TrimSpace(text))
	case result != nil:
		return merry.Prepend(json.Unmarshal(text, result), url)
	}

	return nil
}

// runProgram runs a program until it exits and returns its combined output. A non-zero exit code is not an error.
func runProgram(ctx context.Context, program string, args ...string) (output string, code int, err error) {
	out, err := exec.CommandContext(ctx, program, args...).CombinedOutput()

	var exit *exec.ExitError
	if errors.As(err, &exit) {
		return string(out), exit.ExitCode(), nil
	}

	return string(out), 0, merry.Wrap(err)
}
