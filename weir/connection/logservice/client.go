// Package logservice is a client of the platform's log service. It appends records and keeps a replica up to date with
// the log.
package logservice

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/skylarkweir/skylarkweir/weir/connection/httppool"
	"github.com/skylarkweir/skylarkweir/weir/request/fault"
	"github.com/skylarkweir/skylarkweir/weir/version/ledger"
)

const (
	// maxResponseBytes bounds the memory for one response of the log.
	maxResponseBytes = 64 << 20
	// maxErrorExcerptBytes bounds the part of an error response that is copied into an error text.
	maxErrorExcerptBytes = 200
	// readTimeoutMargin is the time that a read may take beyond the wait that it requests from the log.
	readTimeoutMargin = 2 * time.Second
)

// errRefused marks responses by which the log states that it appended nothing.
var errRefused = errors.New("refused by the log")

// Client is safe for concurrent use.
type Client struct {
	address string
	http    *http.Client
}

// NewClient returns a client of the log service at address, a host and port or a URL.
func NewClient(address string) *Client {
	if u, err := url.Parse(address); err != nil || u.Host == "" {
		address = "http://" + address
	}

	return &Client{address, &http.Client{Transport: &httppool.Transport{
		Transport: http.Transport{MaxIdleConnsPerHost: maxActiveAppends + 1},
	}}}
}

type appendRequest struct {
	Records [][]byte `json:"records"`
}

type appendResponse struct {
	First *int64 `json:"first"`
}

// Append adds records at consecutive offsets and returns the first offset. After an error the records may have been
// appended, unless IsRefused reports otherwise.
func (c *Client) Append(ctx context.Context, records ...[]byte) (first int64, err error) {
	body, err := json.Marshal(appendRequest{records})
	if err != nil {
		return 0, fault.Wrap(fault.Internal, err, "encode append")
	}

	r, err := http.NewRequestWithContext(ctx, http.MethodPost, c.address+"/v1/append", bytes.NewReader(body))
	if err != nil {
		return 0, fault.Wrap(fault.Internal, err, "append to the log")
	}

	r.Header.Set("Content-Type", "application/json")

	a := appendResponse{}
	if err := c.do(r, &a); err != nil {
		return 0, err
	}

	if a.First == nil || *a.First < 0 {
		return 0, fault.New(fault.LogUnavailable, "append to the log: response has no offset")
	}

	return *a.First, nil
}

// IsRefused reports whether the log answered that it appended nothing.
func IsRefused(err error) bool { return errors.Is(err, errRefused) }

// Page is a sequence of consecutive records of the log.
type Page struct {
	first, next int64
	records     []ledger.Record
}

// First returns the first offset that the log still holds.
func (p Page) First() int64 { return p.first }

// Next returns the offset after the last record of the page.
func (p Page) Next() int64 { return p.next }

// Records returns the records in the order of their offsets.
func (p Page) Records() []ledger.Record { return p.records }

type readResponse struct {
	First   int64        `json:"first"`
	Next    int64        `json:"next"`
	Records []readRecord `json:"records"`
}

type readRecord struct {
	Offset int64  `json:"offset"`
	TimeMS int64  `json:"time_ms"`
	Data   []byte `json:"data"`
}

// TruncatedError is returned by Read if the log has dropped the offset.
type TruncatedError struct{ first int64 }

// First returns the first offset that the log still holds.
func (e *TruncatedError) First() int64 { return e.first }

func (e *TruncatedError) Error() string {
	return fmt.Sprintf("the log no longer holds records below offset %d", e.first)
}

// Read returns up to limit records, starting at offset from. If there are none, the log waits up to wait for one.
func (c *Client) Read(ctx context.Context, from int64, wait time.Duration, limit int) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+readTimeoutMargin)
	defer cancel()

	query := url.Values{}
	query.Set("from", strconv.FormatInt(from, 10))
	query.Set("wait_ms", strconv.FormatInt(wait.Milliseconds(), 10))
	query.Set("limit", strconv.Itoa(limit))

	r, err := http.NewRequestWithContext(ctx, http.MethodGet, c.address+"/v1/read?"+query.Encode(), http.NoBody)
	if err != nil {
		return Page{}, fault.Wrap(fault.Internal, err, "read the log")
	}

	a := readResponse{}
	if err := c.do(r, &a); err != nil {
		return Page{}, err
	}

	return a.page(from, limit)
}

// page validates the response and converts it. A wrong response would corrupt the state permanently.
func (a readResponse) page(from int64, limit int) (Page, error) {
	if a.Next != from+int64(len(a.Records)) || len(a.Records) > limit || a.First > from {
		return Page{}, fault.New(fault.LogUnavailable, "read the log: response does not match the requested offset or limit")
	}

	p := Page{first: a.First, next: a.Next, records: make([]ledger.Record, 0, len(a.Records))}

	for i, r := range a.Records {
		if r.Offset != from+int64(i) {
			return Page{}, fault.New(
				fault.LogUnavailable, "read the log: response has offset %d where %d was expected", r.Offset, from+int64(i),
			)
		}

		p.records = append(p.records, ledger.NewRecord(r.Offset, time.UnixMilli(r.TimeMS), r.Data))
	}

	return p, nil
}

func (c *Client) do(r *http.Request, into any) error {
	w, err := c.http.Do(r)
	if err != nil {
		return fault.Wrap(fault.LogUnavailable, err, "call the log")
	}
	defer w.Body.Close()

	body, err := io.ReadAll(io.LimitReader(w.Body, maxResponseBytes))

	switch {
	case err != nil:
		return fault.Wrap(fault.LogUnavailable, err, "read the response of the log")
	case w.StatusCode == http.StatusGone:
		return parseTruncated(body)
	case w.StatusCode >= http.StatusBadRequest && w.StatusCode < http.StatusInternalServerError:
		return fault.Wrap(fault.LogUnavailable, errRefused, "status %d: %s", w.StatusCode, excerpt(body))
	case w.StatusCode != http.StatusOK:
		return fault.New(fault.LogUnavailable, "the log responded with status %d: %s", w.StatusCode, excerpt(body))
	}

	if err := json.Unmarshal(body, into); err != nil {
		return fault.Wrap(fault.LogUnavailable, err, "decode the response of the log")
	}

	return nil
}

func parseTruncated(body []byte) error {
	a := appendResponse{}
	if err := json.Unmarshal(body, &a); err != nil || a.First == nil {
		return fault.New(fault.LogUnavailable, "the log dropped the offset and does not report the first one that it holds")
	}

	return fault.Wrap(fault.LogUnavailable, &TruncatedError{*a.First}, "read the log")
}

func excerpt(body []byte) string {
	return string(bytes.ToValidUTF8(body[:min(len(body), maxErrorExcerptBytes)], nil))
}
