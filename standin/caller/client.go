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
	// maxAnswer bounds an answer in bytes.
	maxAnswerBytes = 256 << 20
	// ticketAge is below an entry's drain_delay, so that no ticket of an entry that leaves is used after it left.
	maxTicketAge = time.Second
	// avoidTime is how long an entry gets no new submissions after it could not be reached or was leaving.
	avoidDuration = time.Second
	// maxConnections is the number of idle connections kept to each entry.
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

// entry is what a client knows of one entry.
type entry struct {
	url string
	// avoidUntil is a time in nanoseconds since the epoch.
	avoidUntil atomic.Int64

	mutex    sync.Mutex
	tickets  []string
	issuedAt time.Time
}

// NewClient returns a client with the limits of the load.
func NewClient(l *Load) *Client {
	c := &Client{
		token: l.Token, attemptLimit: max(l.AttemptLimit, 1), answerGrace: l.AnswerGrace.Value(), ticketBatch: max(l.TicketBatch, 1),
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

// Submit sends s until it is answered: through another entry with the same ticket after a broken connection or a
// timeout, and with a new ticket if an entry that is leaving refused it as not run.
func (c *Client) Submit(ctx context.Context, s Submission) *Record {
	r := &Record{submission: s, arrived: time.Now()}
	c.submitUntilAnswered(ctx, r)
	r.answered = time.Now()

	return r
}

// Resubmit sends the submission of a record again with its ticket, through another entry than the last one.
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
				r.addAttempt(Attempt{entry: e.url, sentAt: time.Now(), err: merry.Prepend(err, "no ticket"), neverSent: true})
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

// choose returns an entry that is not avoided, other than the last one if there are several.
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

// ticketsBody is the JSON form of a batch of tickets.
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

		// Old tickets are dropped first: if the entry is lost, they must not be used by the next submission.
		e.tickets, e.issuedAt = nil, time.Now()
		requestBody, _ := json.Marshal(ticketsBody{Count: c.ticketBatch})

		text, status, err := c.post(ctx, e, "/v1/tickets", "", requestBody)
		if err != nil {
			return "", err
		}

		var b ticketsBody
		if err := json.Unmarshal(text, &b); err != nil || len(b.Tickets) == 0 {
			return "", merry.Errorf("tickets refused with status %d: %s", status, text)
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
		// Without GetBody, net/http does not repeat a request with this header by itself; attempts have to be counted.
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
		return nil, 0, merry.Prepend(err, "answer broken off")
	}

	return text, response.StatusCode, nil
}
