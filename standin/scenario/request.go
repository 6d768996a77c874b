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
type Response struct {
	status             int
	ticket, code, ran  string
	sentAt, receivedAt time.Time
	output             []byte
}

// Status returns the HTTP status.
func (r Response) Status() int { return r.status }

// Submission returns the ticket of the submission, if the answer names it.
func (r Response) Ticket() string { return r.ticket }

// Code returns the error code of a refusal.
func (r Response) Code() string { return r.code }

// Ran returns what a refusal says about started tasks.
func (r Response) Ran() string { return r.ran }

// Output returns the output of the first task.
func (r Response) Output() []byte { return r.output }

// Received returns the time at which the answer was there.
func (r Response) ReceivedAt() time.Time { return r.receivedAt }

// Took returns the time from the request to the answer.
func (r Response) Latency() time.Duration { return r.receivedAt.Sub(r.sentAt) }

// answerBody holds the fields of answers and refusals that scenarios look at.
type responseBody struct {
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
func SendRequest(ctx context.Context, entry *cluster.Entry, method, path, key string, body any) (Response, error) {
	payload, err := json.Marshal(body)
	if err != nil {
		return Response{}, merry.Wrap(err)
	}

	if body == nil {
		payload = nil
	}

	request, err := http.NewRequestWithContext(ctx, method, entry.URL()+path, bytes.NewReader(payload))
	if err != nil {
		return Response{}, merry.Wrap(err)
	}

	request.Header.Set("Authorization", "Bearer "+Token)

	if key != "" {
		// Without GetBody, net/http does not repeat a request with this header by itself; attempts have to be counted.
		request.GetBody = nil
		request.Header.Set("Idempotency-Key", key)
	}

	response := Response{sentAt: time.Now()}

	httpResponse, err := http.DefaultClient.Do(request)
	if err != nil {
		return Response{}, merry.Wrap(err)
	}
	defer httpResponse.Body.Close()

	payload, err = io.ReadAll(httpResponse.Body)
	if err != nil {
		return Response{}, merry.Wrap(err)
	}

	var decoded responseBody
	if err := json.Unmarshal(payload, &decoded); err != nil {
		return Response{}, merry.Prependf(err, "status %d", httpResponse.StatusCode)
	}

	response.receivedAt, response.status = time.Now(), httpResponse.StatusCode
	response.ticket, response.code, response.ran = decoded.Submission+decoded.Error.Submission, decoded.Error.Code, decoded.Error.Ran

	if len(decoded.Results) > 0 {
		response.output = decoded.Results[0].Output
	}

	return response, nil
}
