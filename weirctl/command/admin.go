package command

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
)

// maxAnswer bounds an answer of an entry in bytes.
const maxAnswer = 16 << 20

// admin is the option that names the admin addresses of entries.
type admin struct {
	Entries []string      `long:"entry" env:"WEIRCTL_ENTRIES" env-delim:"," required:"yes" value-name:"URL" description:"Admin address of an entry, for example http://127.0.0.1:7101; repeatable"`
	Timeout time.Duration `long:"timeout" default:"5s" description:"Longest wait for an answer"`
}

// call sends a request without a body to one entry and decodes the JSON answer.
func (a admin) call(method, entry, path string, into any) error {
	ctx, cancel := context.WithTimeout(context.Background(), a.Timeout)
	defer cancel()

	q, err := http.NewRequestWithContext(ctx, method, baseURL(entry)+path, nil)
	if err != nil {
		return merry.Prependf(err, "entry %s", entry)
	}

	r, err := http.DefaultClient.Do(q)
	if err != nil {
		return merry.Prependf(err, "entry %s", entry)
	}
	defer r.Body.Close()

	text, err := io.ReadAll(io.LimitReader(r.Body, maxAnswer))
	if err != nil {
		return merry.Prependf(err, "entry %s", entry)
	}

	if r.StatusCode/100 != 2 {
		return merry.Errorf("entry %s: %s: %s", entry, r.Status, strings.TrimSpace(string(text)))
	}

	if err := json.Unmarshal(text, into); err != nil {
		return merry.Prependf(err, "entry %s: answer to %s", entry, path)
	}

	return nil
}

// baseURL adds the scheme to a host and port.
func baseURL(address string) string {
	if !strings.Contains(address, "://") {
		address = "http://" + address
	}

	return strings.TrimSuffix(address, "/")
}
