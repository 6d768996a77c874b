package repeatable_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/skylarkweir/skylarkweir/entry/repeatable"
	"github.com/skylarkweir/skylarkweir/weir/request/job"
	"github.com/skylarkweir/skylarkweir/weir/version/routes"
)

// Guards against a refusal whose cause cannot be found afterwards: an entry that is shutting down refused the job.
func TestRefusalDuringShutdownIsLogged(t *testing.T) {
	is := is.New(t)

	var out bytes.Buffer

	d := repeatable.NewDispatcher(&routes.Current{}, nil, zerolog.New(&out))
	d.RefuseNewJobs()

	_, refused := d.Submit(t.Context(), newJob("job-7", "5ms", 1)).(job.Refused)
	is.True(refused)
	is.True(strings.Contains(out.String(), `"event":"job_refused","job":"job-7"`))
	is.True(strings.Contains(out.String(), `"reason":"the entry is shutting down"`))
}
