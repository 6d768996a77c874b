package command

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/skylarkweir/skylarkweir/weir/connection/adminapi"
)

// maxResponseBytes limits how much of a response is read.
const maxResponseBytes = 16 << 20

// adminClient sends requests to the admin API. It holds the options of the commands that query entries.
type adminClient struct {
	Entries []string `long:"entry" env:"WEIRCTL_ENTRIES" env-delim:"," required:"yes" value-name:"URL" description:"Admin address of an entry, for example http://127.0.0.1:7101; repeatable"`
	credentialOptions
	Timeout time.Duration `long:"timeout" default:"5s" description:"Longest wait for an answer"`
}

// credentialOptions is the option for the file with the operators' token.
type credentialOptions struct {
	TokenFile string `long:"token-file" env:"WEIRCTL_TOKEN_FILE" value-name:"FILE" description:"File with the operators' token of the admin API"`
}

// authorize adds the token to the request, if one is configured.
func (c credentialOptions) authorize(request *http.Request) error {
	token, err := adminapi.ReadToken(c.TokenFile)
	if err == nil && token != "" {
		request.Header.Set("Authorization", "Bearer "+token)
	}

	return err
}

// call sends a request without a body to one process and decodes the JSON response into result.
func (a adminClient) call(method, address, path string, result any) error {
	text, err := a.send(method, address, path)
	if err != nil {
		return err
	}

	if err := json.Unmarshal(text, result); err != nil {
		return merry.Prependf(err, "%s: decode the response to %s", address, path)
	}

	return nil
}

// getText returns the response to a GET request as text.
func (a adminClient) getText(address, path string) (string, error) {
	text, err := a.send(http.MethodGet, address, path)

	return string(text), err
}

func (a adminClient) send(method, address, path string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), a.Timeout)
	defer cancel()

	request, err := http.NewRequestWithContext(ctx, method, baseURL(address)+path, nil)
	if err != nil {
		return nil, merry.Prepend(err, address)
	}

	if err := a.authorize(request); err != nil {
		return nil, err
	}

	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, merry.Prepend(err, address)
	}
	defer response.Body.Close()

	text, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return nil, merry.Prepend(err, address)
	}

	if response.StatusCode/100 != 2 {
		return nil, merry.Errorf("%s: %s: %s", address, response.Status, strings.TrimSpace(string(text)))
	}

	return text, nil
}

// baseURL prepends the scheme http to an address that has none.
func baseURL(address string) string {
	if !strings.Contains(address, "://") {
		address = "http://" + address
	}

	return strings.TrimSuffix(address, "/")
}
