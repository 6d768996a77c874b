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

// Response is what a caller received for one HTTP request.
type Response struct {
	status             int
	ticket, code, ran  string
	sentAt, receivedAt time.Time
	output             []byte
}

// Status returns the HTTP status.
func (r Response) Status() int { return r.status }

// Ticket returns the ticket of the submission, or an empty string if the response does not name it.
func (r Response) Ticket() string { return r.ticket }

// Code returns the error code of a refusal, or an empty string.
func (r Response) Code() string { return r.code }

// Ran returns whether tasks started before the refusal: none, some or unknown.
func (r Response) Ran() string { return r.ran }

// Output returns the output of the first task.
func (r Response) Output() []byte { return r.output }

// ReceivedAt returns the time at which the body had been read.
func (r Response) ReceivedAt() time.Time { return r.receivedAt }

// Latency returns the time from sending the request to having read the response.
func (r Response) Latency() time.Duration { return r.receivedAt.Sub(r.sentAt) }

// responseBody holds the fields of results and refusals that scenarios check.
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

// SendRequest sends one request with the credential Token and does not retry it. The idempotency key may be empty.
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
		// Without GetBody, net/http cannot resend a request with this header on its own. The scenarios count attempts,
		// so a hidden resend would distort the count.
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
		return Response{}, merry.Prependf(err, "decode response with status %d", httpResponse.StatusCode)
	}

	response.receivedAt, response.status = time.Now(), httpResponse.StatusCode
	response.ticket, response.code, response.ran =
		decoded.Submission+decoded.Error.Submission, decoded.Error.Code, decoded.Error.Ran

	if len(decoded.Results) > 0 {
		response.output = decoded.Results[0].Output
	}

	return response, nil
}
