package callerlimit_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/skylarkweir/skylarkweir/weir/connection/callerlimit"
)

const (
	// maxFields is the largest number of fields of a header without Host.
	maxFields = 256
	get       = "GET / HTTP/1.1\r\nHost: a\r\n"
	chunked   = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n"
)

// fields returns n lines of a header.
func fields(n int) string { return strings.Repeat("a:b\r\n", n) }

// Guards against headers of legal size whose fields take many times their size in memory, before and after their end and behind
// other requests, and against the refusal of callers that send many lines in bodies.
func TestHeaderFields(t *testing.T) {
	const end = "\r\n"

	lines := strings.Repeat("\n", 10) + strings.Repeat("{}\n", 400)
	post := request("/", len(lines), lines)
	chunks := chunked + end + fmt.Sprintf("%x\r\n%s\r\n", len(lines), lines) + "0\r\n\r\n"

	for name, c := range map[string]struct {
		// parts are sent one by one, each after the answer to the part before.
		parts    []string
		statuses []int
	}{
		"most fields":           {[]string{get + fields(maxFields) + end}, []int{200}},
		"too many":              {[]string{get + fields(maxFields+1) + end}, []int{431}},
		"too many, POST":        {[]string{chunked + fields(maxFields+1) + end}, []int{431}},
		"not ended":             {[]string{get + fields(maxFields+1)}, []int{431}},
		"line feeds alone":      {[]string{get + strings.Repeat("a:b\n", maxFields+1)}, []int{431}},
		"many lines in a body":  {[]string{post, post, get + end, post}, []int{200, 200, 200, 200}},
		"many lines in chunks":  {[]string{chunks, chunks, post, get + end}, []int{200, 200, 200, 200}},
		"second request":        {[]string{post, get + fields(maxFields+1)}, []int{200, 431}},
		"sent ahead":            {[]string{get + end + get + end + post}, []int{200, 200, 200}},
		"ahead, too many":       {[]string{get + end + get + end + get + fields(maxFields+1)}, []int{200, 200, 431}},
		"behind a body":         {[]string{request("/", 2, "{}") + get + fields(maxFields+1)}, []int{200, 431}},
		"behind a body, ended":  {[]string{request("/", 2, "{}") + get + fields(maxFields+1) + end}, []int{200, 431}},
		"behind chunks":         {[]string{chunks + get + fields(maxFields+1)}, []int{200, 431}},
		"behind a long trailer": {[]string{chunked + end + "0\r\n" + fields(500) + end + get + end}, []int{200, 200}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, callerlimit.NewLimits(10, 1<<20), io.Discard)
			conn := f.open("")
			r := bufio.NewReader(conn)

			_ = conn.SetReadDeadline(time.Now().Add(20 * time.Second))

			for n, status := range c.statuses {
				if n < len(c.parts) {
					_, err := io.WriteString(conn, c.parts[n])
					is.NoErr(err)
				}

				resp, err := http.ReadResponse(r, nil)
				is.NoErr(err)
				is.Equal(resp.StatusCode, status)
				is.NoErr(resp.Body.Close())
			}

			if c.statuses[len(c.statuses)-1] != http.StatusOK {
				is.True(f.registry.Get(`refusals_total{server="test",reason="header"}`) != nil)
			}
		})
	}
}

// Guards against a request for all resources, whose body the HTTP server reads for any time by itself.
func TestGeneralOptionsDrawFromTheBudget(t *testing.T) {
	f := newFixture(t, callerlimit.NewLimits(10, 1<<20), io.Discard)
	text := strings.Replace(request("*", 1<<20, ""), "POST", "OPTIONS", 1)

	is.New(t).Equal(f.status(f.open(text)), http.StatusRequestEntityTooLarge)
}
