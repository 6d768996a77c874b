package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
)

const (
	// maxAnswerBytes limits what is read of an answer.
	maxAnswerBytes = 256 << 20
	// maxTicketAge is less than the drain_delay of an entry, so that no ticket is used after its entry has left.
	maxTicketAge = time.Second
	// avoidDuration is how long an entry that was unreachable or leaving receives no submissions if another is available.
	avoidDuration = time.Second
	// maxIdleConnections applies to each entry.
	maxIdleConnections = 512
)

// Client submits to several entries with one member's token.
type Client struct {
	token           string
	attemptLimit    int
	answerGrace     time.Duration
	ticketBatch     int
	entries         []*entry
	http            *http.Client
	submissionCount atomic.Uint64
}

// entry is the state that a client keeps for one entry.
type entry struct {
	url string
	// avoidUntil is in nanoseconds since the Unix epoch.
	avoidUntil atomic.Int64

	mutex    sync.Mutex
	tickets  []string
	issuedAt time.Time
}

// NewClient returns a client with the entries, the token and the limits of the load.
func NewClient(l *Load) *Client {
	c := &Client{
		token: l.Token, attemptLimit: max(l.AttemptLimit, 1), answerGrace: l.AnswerGrace.Value(),
		ticketBatch: max(l.TicketBatch, 1),
		http: &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: maxIdleConnections,
			IdleConnTimeout:     time.Minute,
			DisableCompression:  true,
		}},
	}

	for _, e := range l.Entries {
		c.entries = append(c.entries, &entry{url: strings.TrimSuffix(e, "/")})
	}

	return c
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Submit sends s until it is answered, ctx has ended or the attempts are used up. After a broken connection or a
// timeout it sends the same ticket to another entry, so that the tasks do not run twice. If a leaving entry refused s
// and no task of it ran, it takes a ticket of another entry.
func (c *Client) Submit(ctx context.Context, s Submission) *Record {
	r := &Record{submission: s, arrived: time.Now()}
	c.submitUntilAnswered(ctx, r)
	r.answered = time.Now()

	return r
}

// Resubmit sends the submission of a record once more with the same ticket, to another entry than the last one if there
// are several.
func (c *Client) Resubmit(ctx context.Context, previous *Record) *Record {
	r := &Record{submission: previous.submission, arrived: time.Now(), ticket: previous.ticket}

	var last *entry

	for _, e := range c.entries {
		if e.url == previous.Entry() {
			last = e
		}
	}

	c.sendAttempt(ctx, r, c.chooseEntry(int(c.submissionCount.Add(1)), last))
	r.answered = time.Now()

	return r
}

func (c *Client) submitUntilAnswered(ctx context.Context, r *Record) {
	first := int(c.submissionCount.Add(1))

	var e *entry

	for n := range c.attemptLimit {
		if r.ticket == "" {
			e = c.chooseEntry(first+n, nil)

			ticket, err := c.takeTicket(ctx, e)
			if err != nil {
				r.addAttempt(Attempt{
					entry: e.url, sentAt: time.Now(), err: merry.Prepend(err, "could not obtain a ticket"), neverSent: true,
				})
				e.avoid()

				continue
			}

			r.ticket = ticket
		} else {
			e = c.chooseEntry(first+n, e)
		}

		if a := c.sendAttempt(ctx, r, e); a.isFinal() {
			return
		} else if a.refusedByLeavingEntry() {
			r.ticket = ""
		}

		if ctx.Err() != nil {
			return
		}
	}
}

// chooseEntry returns the first entry from offset on that is not avoided and not the last one. If there is none, it
// prefers an avoided entry to the last one.
func (c *Client) chooseEntry(offset int, last *entry) *entry {
	now := time.Now().UnixNano()

	var fallback *entry

	for i := range c.entries {
		e := c.entries[(offset+i)%len(c.entries)]

		switch {
		case e == last:
		case e.avoidUntil.Load() <= now:
			return e
		case fallback == nil:
			fallback = e
		}
	}

	if fallback == nil {
		return last
	}

	return fallback
}

func (e *entry) avoid() { e.avoidUntil.Store(time.Now().Add(avoidDuration).UnixNano()) }

func (c *Client) sendAttempt(ctx context.Context, r *Record, e *entry) Attempt {
	limit := r.submission.deadline + c.answerGrace

	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()

	a := Attempt{entry: e.url, ticket: r.ticket, sentAt: time.Now()}
	body, status, err := c.post(ctx, e, r.submission.path(), r.ticket, r.submission.body())

	switch {
	case err != nil:
		a.err = err
		e.avoid()
	case status == http.StatusOK:
		a.status = status
		r.outputs, a.err = verify(r.submission, r.ticket, body)
		a.wrongAnswer = a.err != nil
	default:
		a.status = status
		a.setRefusal(body)

		if a.refusedByLeavingEntry() {
			e.avoid()
		}
	}

	a.duration = time.Since(a.sentAt)
	r.addAttempt(a)

	return a
}

// ticketsBody is the JSON form of a request for tickets and of its answer.
type ticketsBody struct {
	Count   int      `json:"count,omitempty"`
	Tickets []string `json:"tickets,omitempty"`
}

func (c *Client) takeTicket(ctx context.Context, e *entry) (string, error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()

	if len(e.tickets) == 0 || time.Since(e.issuedAt) > maxTicketAge {
		ctx, cancel := context.WithTimeout(ctx, c.answerGrace)
		defer cancel()

		// Drops the old tickets before the request, so that no later submission uses them if the request fails.
		e.tickets, e.issuedAt = nil, time.Now()
		requestBody, _ := json.Marshal(ticketsBody{Count: c.ticketBatch})

		text, status, err := c.post(ctx, e, "/v1/tickets", "", requestBody)
		if err != nil {
			return "", err
		}

		var b ticketsBody
		if err := json.Unmarshal(text, &b); err != nil || len(b.Tickets) == 0 {
			return "", merry.Errorf("request for tickets answered with status %d: %s", status, text)
		}

		e.tickets = b.Tickets
	}

	ticket := e.tickets[0]
	e.tickets = e.tickets[1:]

	return ticket, nil
}

func (c *Client) post(ctx context.Context, e *entry, path, key string, body []byte) ([]byte, int, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, e.url+path, bytes.NewReader(body))
	if err != nil {
		return nil, 0, merry.Wrap(err)
	}

	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Authorization", "Bearer "+c.token)

	if key != "" {
		// If GetBody is set, net/http resends a request with this header by itself, and the attempt is not counted.
		request.GetBody = nil
		request.Header.Set("Idempotency-Key", key)
	}

	response, err := c.http.Do(request)
	if err != nil {
		return nil, 0, merry.Wrap(err)
	}
	defer response.Body.Close()

	text, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return nil, 0, merry.Prepend(err, "connection broke while the answer was read")
	}

	return text, response.StatusCode, nil
}
