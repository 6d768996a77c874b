package scenario

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/skylarkweir/skylarkweir/standin/cluster"
)

// Answer is the answer to one HTTP request of a caller.
type Answer struct {
	status                int
	submission, code, ran string
	sent, received        time.Time
	output                []byte
}

// Status returns the HTTP status.
func (a Answer) Status() int { return a.status }

// Submission returns the ticket of the submission, if the answer names it.
func (a Answer) Submission() string { return a.submission }

// Code returns the error code of a refusal.
func (a Answer) Code() string { return a.code }

// Ran returns what a refusal says about started tasks.
func (a Answer) Ran() string { return a.ran }

// Output returns the output of the first task.
func (a Answer) Output() []byte { return a.output }

// Received returns the time at which the answer was there.
func (a Answer) Received() time.Time { return a.received }

// Took returns the time from the request to the answer.
func (a Answer) Took() time.Duration { return a.received.Sub(a.sent) }

// answerBody holds the fields of answers and refusals that scenarios look at.
type answerBody struct {
	Submission string `json:"submission"`
	Results    []struct {
		Output []byte `json:"output"`
	} `json:"results"`
	Error struct {
		Code       string `json:"code"`
		Ran        string `json:"ran"`
		Submission string `json:"submission"`
	} `json:"error"`
}

// Ask sends one request of the member of WriteAgreement, without a repetition. The key may be empty.
func Ask(ctx context.Context, e *cluster.Entry, method, path, key string, body any) (Answer, error) {
	text, err := json.Marshal(body)
	if err != nil {
		return Answer{}, merry.Wrap(err)
	}

	if body == nil {
		text = nil
	}

	q, err := http.NewRequestWithContext(ctx, method, e.URL()+path, bytes.NewReader(text))
	if err != nil {
		return Answer{}, merry.Wrap(err)
	}

	q.Header.Set("Authorization", "Bearer "+Token)

	if key != "" {
		// Without GetBody, net/http does not repeat a request with this header by itself; attempts have to be counted.
		q.GetBody = nil
		q.Header.Set("Idempotency-Key", key)
	}

	a := Answer{sent: time.Now()}

	r, err := http.DefaultClient.Do(q)
	if err != nil {
		return Answer{}, merry.Wrap(err)
	}
	defer r.Body.Close()

	text, err = io.ReadAll(r.Body)
	if err != nil {
		return Answer{}, merry.Wrap(err)
	}

	var b answerBody
	if err := json.Unmarshal(text, &b); err != nil {
		return Answer{}, merry.Prependf(err, "status %d", r.StatusCode)
	}

	a.received, a.status = time.Now(), r.StatusCode
	a.submission, a.code, a.ran = b.Submission+b.Error.Submission, b.Error.Code, b.Error.Ran

	if len(b.Results) > 0 {
		a.output = b.Results[0].Output
	}

	return a, nil
}
