package repeatable_test

import (
	"bytes"
	"context"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/skylarkweir/skylarkweir/entry/repeatable"
	"github.com/skylarkweir/skylarkweir/weir/version/routes"
)

// Guards against a job whose caller leaves, or is told that it never ran, before a task was launched, and of which no line
// tells the end.
func TestEndOfWaitingJobIsLogged(t *testing.T) {
	is := is.New(t)

	var out bytes.Buffer

	d := repeatable.NewDispatcher(&routes.Current{}, nil, zerolog.New(&out))

	ctx, cancel := context.WithCancel(t.Context())
	cancel()

	// A new entry lets jobs wait for its first sidecars.
	d.Submit(ctx, newJob("left", "5ms", 1))

	is.True(strings.Contains(out.String(), `"event":"job_ended"`))
	is.True(strings.Contains(out.String(), `"reason":"the caller has left","started":false`))
}
